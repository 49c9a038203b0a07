//! JSON bodies in which trainers read the results of a batch.

use bytes::Bytes;
use havenstage_gateway::edge::ResultPage;
use havenstage_rollout::batch_state::ItemResult;
use havenstage_rollout::ids::{ItemId, Version};
use havenstage_rollout::record::{Outcome, OutputEvent};
use log::error;
use serde::{Deserialize, Serialize};

use super::completion::CompletionChunk;

/// Maximum size of a result without its text, in bytes.
const RESULT_OVERHEAD_BYTES: usize = 256;

/// A page of results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Results {
    /// Number of samples in the batch.
    pub total: usize,
    /// Position after the last result of this page; the next page is read from it.
    pub next: usize,
    /// Results of finished samples, in the order in which the batch listed them.
    pub results: Vec<SampleResult>,
}

/// Result of one sample.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleResult {
    /// Id of the sample.
    pub sample: String,
    /// Whether the sample is complete or was given up.
    pub state: SampleState,
    /// Text that the engines generated.
    pub text: String,
    /// Weight versions that generated the text, the oldest first.
    pub weight_versions: Vec<Version>,
    /// Answer of the sample's scoring call; `None` without such a call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<String>,
    /// Why the sample was given up; `None` for a complete one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// Final state of a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SampleState {
    /// The sample is complete.
    Completed,
    /// The gateway stopped trying to generate the sample.
    GivenUp,
}

/// Upper bound of the bytes that a result takes in a page: its text is a part of the data of its events.
pub(super) fn max_bytes(result: &ItemResult) -> usize {
    let events = result.events.iter().map(|event| event.data.len());
    events.sum::<usize>() + RESULT_OVERHEAD_BYTES
}

/// Serializes a page of results; the body is empty if that fails.
pub(super) fn write(page: &ResultPage<'_>) -> Bytes {
    let results = page.results.iter();
    let body = Results {
        total: page.total,
        next: page.next,
        results: results
            .map(|(item, result)| sample_result(item, result))
            .collect(),
    };
    match serde_json::to_vec(&body) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => {
            error!(event = "results_not_written", reason = error.to_string().as_str(); "");
            Bytes::new()
        }
    }
}

fn sample_result(item: &ItemId, result: &ItemResult) -> SampleResult {
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

/// Returns the text of an event. The gateway stores events as engines send them, so an event in another
/// format is logged and left out.
fn text(event: &OutputEvent) -> Option<String> {
    match serde_json::from_slice::<CompletionChunk>(&event.data) {
        Ok(chunk) => chunk.choices.into_iter().next().map(|choice| choice.text),
        Err(error) => {
            error!(event = "output_unreadable", reason = error.to_string().as_str(); "");
            None
        }
    }
}
