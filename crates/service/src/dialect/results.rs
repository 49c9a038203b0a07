//! Results of a batch as trainers read them.

use bytes::Bytes;
use havenstage_gateway::edge::ResultPage;
use havenstage_rollout::batch_state::ItemResult;
use havenstage_rollout::ids::{ItemId, Version};
use havenstage_rollout::record::{Outcome, OutputEvent};
use log::error;
use serde::{Deserialize, Serialize};

use super::completion::CompletionChunk;

/// Bytes of a result besides its text, at most.
const RESULT_OVERHEAD: usize = 256;

/// A page of results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Results {
    /// Samples of the batch.
    pub total: usize,
    /// Position behind the last result of the page, from which the next page is read.
    pub next: usize,
    /// The results, in the order in which they were listed.
    pub results: Vec<SampleResult>,
}

/// What became of a sample.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleResult {
    /// The sample.
    pub sample: String,
    /// Whether it is whole.
    pub state: SampleState,
    /// Its text.
    pub text: String,
    /// Weight versions that made it, the oldest first.
    pub weight_versions: Vec<Version>,
    /// What its scoring call answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<String>,
    /// Why there will be no sample.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// Whether a sample is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SampleState {
    /// It is whole.
    Completed,
    /// There will be none.
    GivenUp,
}

/// Bytes that a result takes in a page, at most: its text is a part of what its events hold.
pub(super) fn most_bytes(result: &ItemResult) -> usize {
    let events = result.events.iter().map(|event| event.data.len());
    events.sum::<usize>() + RESULT_OVERHEAD
}

/// Writes a page.
pub(super) fn write(page: &ResultPage<'_>) -> Bytes {
    let results = page.results.iter();
    let body = Results {
        total: page.total,
        next: page.next,
        results: results.map(|(item, result)| sample(item, result)).collect(),
    };
    match serde_json::to_vec(&body) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => {
            error!(event = "results_not_written", reason = error.to_string().as_str(); "");
            Bytes::new()
        }
    }
}

fn sample(item: &ItemId, result: &ItemResult) -> SampleResult {
    let (state, score, reason) = match &result.outcome {
        Outcome::Completed { score } => (SampleState::Completed, score.clone(), None),
        Outcome::GivenUp(reason) => (SampleState::GivenUp, None, Some(format!("{reason:?}"))),
    };
    SampleResult {
        sample: item.to_string(),
        state,
        text: result.events.iter().filter_map(text).collect(),
        weight_versions: result.versions().into_iter().collect(),
        score,
        reason,
    }
}

/// The text in an event. The gateway keeps events as they come, so one that an engine wrote otherwise is
/// told and left out.
fn text(event: &OutputEvent) -> Option<String> {
    match serde_json::from_slice::<CompletionChunk>(&event.data) {
        Ok(chunk) => chunk.choices.into_iter().next().map(|choice| choice.text),
        Err(error) => {
            error!(event = "output_unreadable", reason = error.to_string().as_str(); "");
            None
        }
    }
}
