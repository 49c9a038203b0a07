//! Batches of samples as trainers hand them in.

use std::sync::Arc;

use bytes::Bytes;
use havenstage_gateway::edge::UnreadableSubmission;
use havenstage_rollout::batch::{Item, RewardCall, Submission};
use havenstage_rollout::ids::{BatchId, GroupId, ItemId, ModelName, Version};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::completion::CompletionRequest;
use super::names::COMPLETIONS_PATH;

/// A batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchBody {
    /// The model.
    pub model: String,
    /// Training step that the samples are for.
    #[serde(default)]
    pub step: Option<u64>,
    /// Oldest weight version that may make any token of a sample.
    #[serde(default)]
    pub minimum_version: Version,
    /// Whole groups that the trainer waits for; all where it is left out.
    #[serde(default)]
    pub wanted_groups: Option<u32>,
    /// The samples.
    pub samples: Vec<SampleBody>,
}

/// A sample to be made.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SampleBody {
    /// Its id, unique within the batch.
    pub id: String,
    /// Its group, if it has one.
    #[serde(default)]
    pub group: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// Most tokens of the sample.
    pub max_tokens: u32,
    /// The call that scores it, if it is to be scored.
    #[serde(default)]
    pub score: Option<ScoreBody>,
}

/// A call that scores a sample.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScoreBody {
    /// Request id of the call.
    pub id: String,
    /// Host that selects its route.
    pub host: String,
    /// Path.
    pub path: String,
    /// Body.
    #[serde(default)]
    pub body: Value,
}

/// Reads a batch.
pub(super) fn read(
    id: BatchId,
    host: &str,
    path: &str,
    body: &[u8],
) -> Result<Submission, UnreadableSubmission> {
    let document = &mut serde_json::Deserializer::from_slice(body);
    let batch: BatchBody = serde_path_to_error::deserialize(document)
        .map_err(|error| UnreadableSubmission(format!("{}: {}", error.path(), error.inner())))?;
    let model = batch.model;
    let items = batch.samples.into_iter();
    let items = items.map(|sample| item(&model, sample));
    let items: Vec<Arc<Item>> = items.collect::<Result<_, _>>()?;
    Ok(Submission {
        id,
        host: host.to_owned(),
        path: path.to_owned(),
        step: batch.step,
        model: Some(ModelName::from(model)),
        minimum_version: batch.minimum_version,
        desired_groups: batch.wanted_groups.unwrap_or(items.len() as u32),
        items,
    })
}

fn item(model: &str, sample: SampleBody) -> Result<Arc<Item>, UnreadableSubmission> {
    let request = CompletionRequest {
        model: model.to_owned(),
        prompt: sample.prompt,
        max_tokens: sample.max_tokens,
        stream: true,
        has_end_mark: false,
    };
    Ok(Arc::new(Item {
        id: ItemId::from(sample.id),
        path: COMPLETIONS_PATH.to_owned(),
        headers: Vec::new(),
        body: write(&request)?,
        group: sample.group.map(GroupId::from),
        expected_tokens: sample.max_tokens.max(1),
        reward: sample.score.map(reward).transpose()?,
    }))
}

fn reward(score: ScoreBody) -> Result<RewardCall, UnreadableSubmission> {
    Ok(RewardCall {
        body: write(&score.body)?,
        id: score.id,
        host: score.host,
        path: score.path,
    })
}

fn write(value: &impl Serialize) -> Result<Bytes, UnreadableSubmission> {
    let written = serde_json::to_vec(value);
    written
        .map(Bytes::from)
        .map_err(|error| UnreadableSubmission(error.to_string()))
}
