//! JSON bodies in which trainers submit batches of samples.

use std::sync::Arc;

use bytes::Bytes;
use havenstage_gateway::edge::UnreadableSubmission;
use havenstage_rollout::batch::{Item, RewardCall, Submission};
use havenstage_rollout::ids::{BatchId, GroupId, ItemId, ModelName, Version};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::completion::CompletionRequest;
use super::names::COMPLETIONS_PATH;

/// Body of a submitted batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchBody {
    /// Name of the model that generates the samples.
    pub model: String,
    /// Training step that uses the samples; `None` if the trainer does not give it.
    #[serde(default)]
    pub step: Option<u64>,
    /// Oldest weight version that may generate a token of a sample.
    #[serde(default)]
    pub minimum_version: Version,
    /// Number of complete groups that the trainer waits for. If it is left out, the number of samples is
    /// used.
    #[serde(default)]
    pub wanted_groups: Option<u32>,
    /// Samples to generate.
    pub samples: Vec<SampleBody>,
}

/// A sample to generate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SampleBody {
    /// Id of the sample, unique within the batch.
    pub id: String,
    /// Group of the sample; `None` if it belongs to none.
    #[serde(default)]
    pub group: Option<String>,
    /// Text that the model continues.
    pub prompt: String,
    /// Maximum number of tokens in the sample.
    pub max_tokens: u32,
    /// Call that scores the finished sample; `None` if it is not scored.
    #[serde(default)]
    pub score: Option<ScoreBody>,
}

/// A call that scores a sample.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScoreBody {
    /// Request id of the call.
    pub id: String,
    /// Host of the call, which selects its route.
    pub host: String,
    /// Path of the call.
    pub path: String,
    /// JSON body of the call; null if it is left out.
    #[serde(default)]
    pub body: Value,
}

/// Parses the body of a batch. An error names the key and what is wrong with it.
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
