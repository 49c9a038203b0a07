//! `POST /v1/models/MODEL/versions`: publishes a version of a model's weights.

use std::time::Duration;

use axum::Json;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, State};
use bytes::Bytes;
use havenstage_rollout::ids::{ModelName, Version};
use serde::Deserialize;

use super::changes::{Changed, InForce, read_query, wait_until};
use super::configuration::ChangeRefusal;
use super::error::OperatorError;
use super::manifest;
use super::router::OperatorState;

/// Maximum time that a call waits until the version is in force.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Body of a call that publishes a version.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct PublishBody {
    number: Version,
    /// Where the weights are stored. It is required but not used: emulated engines load no weights.
    #[serde(rename = "location")]
    _location: String,
}

/// Query parameters of a call that publishes a version.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WaitQuery {
    /// Maximum wait until the version is in force, in milliseconds. Without it the call does not wait.
    #[serde(default)]
    wait_ms: Option<u64>,
}

pub(super) async fn publish(
    State(state): State<OperatorState>,
    Path(model): Path<String>,
    query: Result<Query<WaitQuery>, QueryRejection>,
    body: Bytes,
) -> Result<Json<Changed>, OperatorError> {
    let wait_ms = read_query(query)?.wait_ms;
    let body = serde_json::from_slice(&body).map_err(|error| ChangeRefusal::Malformed {
        reason: error.to_string(),
    })?;
    let PublishBody { number, .. } = manifest::read(body)?;
    let model = ModelName::from(model);
    let revision = state.versions.publish(model.clone(), number)?;
    let is_in_force = || {
        let named = state.context.named_versions().get(&model).copied();
        named.is_some_and(|named| named >= number)
    };
    let in_force = match wait_ms.map(Duration::from_millis) {
        Some(wait) => InForce::from_applied(wait_until(wait.min(MAX_WAIT), is_in_force).await),
        None => None,
    };
    Ok(Json(Changed { revision, in_force }))
}
