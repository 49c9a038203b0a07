//! Routes of trainers: samples, acknowledgements and new versions.

use axum::Json;
use axum::extract::State;
use havenstage_types::ids::{
    JobName, LogOffset, ModelName, StepNumber, TrainerName, VersionNumber,
};
use havenstage_types::job::SampleBatch;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::error::ApiError;
use crate::extract::{ApiJson, ApiPath, ApiQuery};
use crate::routes::operators::{ChangeAnswer, WaitQuery, change_answer};
use crate::state::ApiState;

/// Query of a read of samples.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SamplesQuery {
    /// Cursor from the batch before; absent for the first.
    pub cursor: Option<u64>,
    /// Most samples wanted.
    pub max: Option<u64>,
    /// Longest wait for the first sample, in milliseconds.
    pub wait_ms: Option<u64>,
}

/// `GET /v1/jobs/{job}/steps/{step}/samples`
pub async fn samples(
    State(state): State<ApiState>,
    ApiPath((job, step)): ApiPath<(String, u64)>,
    ApiQuery(query): ApiQuery<SamplesQuery>,
) -> Result<Json<SampleBatch>, ApiError> {
    let highest = state.settings().max_batch_samples;
    let max = query.max.unwrap_or(highest).clamp(1, highest);
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    let cursor = LogOffset(query.cursor.unwrap_or(0));
    let wait = state.settings().wait(query.wait_ms);
    let read = |wait| {
        let job = JobName(job.clone());
        state
            .node()
            .samples(job, StepNumber(step), cursor, max, wait)
    };
    let batch = tokio::select! {
        batch = read(wait) => batch?,
        () = state.long_polls_ended() => read(std::time::Duration::ZERO).await?,
    };
    Ok(Json(batch))
}

/// Body of an acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcknowledgeBody {
    /// Trainer that has the samples.
    pub trainer: TrainerName,
    /// Version the trainer trains from.
    pub version_in_use: VersionNumber,
}

/// `POST /v1/jobs/{job}/steps/{step}/ack`
pub async fn acknowledge(
    State(state): State<ApiState>,
    ApiPath((job, step)): ApiPath<(String, u64)>,
    ApiJson(body): ApiJson<AcknowledgeBody>,
) -> Result<StatusCode, ApiError> {
    let job = JobName(job);
    state
        .node()
        .acknowledge(job, StepNumber(step), body.trainer, body.version_in_use)
        .await?;
    Ok(StatusCode::NO_CONTENT)
}

/// Body of a published version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishBody {
    /// Number of the version.
    pub number: VersionNumber,
    /// Where the weight store keeps it.
    pub location: String,
}

/// `POST /v1/models/{model}/versions`
pub async fn publish_version(
    State(state): State<ApiState>,
    ApiPath(model): ApiPath<String>,
    ApiQuery(query): ApiQuery<WaitQuery>,
    ApiJson(body): ApiJson<PublishBody>,
) -> Result<Json<ChangeAnswer>, ApiError> {
    let wait = query.wait(&state);
    let report = state
        .node()
        .publish_version(ModelName(model), body.number, body.location, wait)
        .await?;
    change_answer(None, report).map(Json)
}
