//! `POST /v1/models/MODEL/versions`: publishes a version of a model's weights.

use std::time::Duration;

use axum::Json;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, State};
use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_gateway::context::Context;
use havenstage_rollout::ids::{ModelName, Version};
use serde::{Deserialize, Serialize};

use super::error::OperatorError;
use super::router::OperatorState;

/// Longest wait until a version is in force.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// Pause between two looks at what the node believes.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// The version.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PublishBody {
    number: Version,
    /// Where weights are kept; emulated engines have none to fetch.
    #[serde(rename = "location")]
    _location: String,
}

/// How long to wait until it is in force.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WaitQuery {
    #[serde(default)]
    wait_ms: Option<u64>,
}

/// A published version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Published {
    /// Where it stands in the directory.
    revision: u64,
    /// Whether the node works by it, if that was waited for.
    in_force: Option<InForce>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct InForce {
    everywhere: bool,
    /// Nodes that do not work by it yet are not named: there is one, which answers.
    lagging: Vec<String>,
}

pub(super) async fn publish(
    State(state): State<OperatorState>,
    Path(model): Path<String>,
    query: Result<Query<WaitQuery>, QueryRejection>,
    body: Bytes,
) -> Result<Json<Published>, OperatorError> {
    let Query(query) = query.map_err(|error| OperatorError::Malformed {
        reason: error.body_text(),
    })?;
    let body: PublishBody = read(&body)?;
    let model = ModelName::from(model);
    let revision = state.versions.name(model.clone(), body.number)?;
    let in_force = match query.wait_ms {
        Some(wait_ms) => {
            let wait = Duration::from_millis(wait_ms).min(LONGEST_WAIT);
            Some(InForce {
                everywhere: wait_until_named(&state.context, &model, body.number, wait).await,
                lagging: Vec::new(),
            })
        }
        None => None,
    };
    Ok(Json(Published { revision, in_force }))
}

fn read(body: &[u8]) -> Result<PublishBody, OperatorError> {
    let document = &mut serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(document).map_err(|error| OperatorError::Malformed {
        reason: format!("{}: {}", error.path(), error.inner()),
    })
}

/// Whether the node was told of the version within the time.
async fn wait_until_named(
    context: &Context,
    model: &ModelName,
    version: Version,
    wait: Duration,
) -> bool {
    let until = Instant::now() + wait;
    loop {
        let named = context.named_versions().get(model).copied();
        if named.is_some_and(|named| named >= version) {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}
