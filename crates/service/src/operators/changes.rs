//! Handlers for `PUT` and `DELETE` of resources.

use std::time::Duration;

use axum::Json;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, State};
use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_rollout::ids::BackendName;
use log::info;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::configuration::ChangeRefusal;
use super::error::OperatorError;
use super::manifest::{self, EngineSpec, EngineState, ServedManifest};
use super::resources::ResourceKind;
use super::router::OperatorState;

/// Maximum time that a call waits until its change is in force.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Wait of a call that does not ask for one. It is not zero because an operator bases the next change on
/// what the node has read from its directories.
const DEFAULT_WAIT: Duration = Duration::from_secs(5);
/// Interval at which a waiting call polls the node's state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Query parameters of a change.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChangeQuery {
    /// Maximum wait until the change is in force, in milliseconds.
    #[serde(default)]
    wait_ms: Option<u64>,
    /// Revision on which a deletion is based.
    #[serde(default)]
    revision: Option<u64>,
}

/// Answer to a change that was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Changed {
    /// Revision after the change.
    pub(super) revision: u64,
    /// Whether the node has applied the change; `None` if the call did not wait for that.
    pub(super) in_force: Option<InForce>,
}

/// Whether the node has applied a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct InForce {
    pub(super) everywhere: bool,
    /// Names of nodes that have not applied the change. Always empty here: the node that answers is the
    /// only one.
    pub(super) lagging: Vec<String>,
}

impl InForce {
    pub(super) fn from_applied(everywhere: bool) -> Option<Self> {
        Some(Self {
            everywhere,
            lagging: Vec::new(),
        })
    }
}

impl ChangeQuery {
    fn wait(&self) -> Duration {
        let wait = self.wait_ms.map(Duration::from_millis);
        wait.unwrap_or(DEFAULT_WAIT).min(MAX_WAIT)
    }
}

/// Returns the parsed query, or an error that says what is wrong with it.
pub(super) fn read_query<T>(query: Result<Query<T>, QueryRejection>) -> Result<T, OperatorError> {
    match query {
        Ok(Query(query)) => Ok(query),
        Err(error) => Err(ChangeRefusal::Malformed {
            reason: error.body_text(),
        }
        .into()),
    }
}

/// `PUT /apis/v1/KIND/NAME`
pub(super) async fn put(
    State(state): State<OperatorState>,
    Path((kind, name)): Path<(String, String)>,
    query: Result<Query<ChangeQuery>, QueryRejection>,
    body: Bytes,
) -> Result<Json<Changed>, OperatorError> {
    let wait = read_query(query)?.wait();
    let kind: ResourceKind = kind.parse()?;
    let manifest = read_manifest(kind, &name, &body)?;
    let ServedManifest { revision, spec, .. } = manifest;
    match kind {
        ResourceKind::Routes => {
            let revision = state.configuration.put_route(&name, revision, spec).await?;
            Ok(state.routing_changed(revision, wait).await)
        }
        ResourceKind::Pools => {
            let revision = state.configuration.put_pool(&name, revision, spec).await?;
            Ok(state.routing_changed(revision, wait).await)
        }
        ResourceKind::Engines => put_engine(&state, name, spec, wait).await,
    }
}

fn read_manifest(
    kind: ResourceKind,
    name: &str,
    body: &[u8],
) -> Result<ServedManifest, ChangeRefusal> {
    let body: Value = serde_json::from_slice(body).map_err(|error| ChangeRefusal::Malformed {
        reason: error.to_string(),
    })?;
    let manifest: ServedManifest = manifest::read(body)?;
    if manifest.kind == kind && manifest.name == name {
        return Ok(manifest);
    }
    Err(ChangeRefusal::Malformed {
        reason: format!(
            "the path names {kind} {name}, the manifest {} {}",
            manifest.kind, manifest.name
        ),
    })
}

async fn put_engine(
    state: &OperatorState,
    name: String,
    spec: Value,
    wait: Duration,
) -> Result<Json<Changed>, OperatorError> {
    let EngineSpec { desired_state } = manifest::read(spec)?;
    let is_draining = desired_state == EngineState::Draining;
    state.engines.set_draining(&name, is_draining)?;
    info!(event = "engine_state_wanted", engine = name.as_str(), is_draining = is_draining; "");
    let backend = BackendName::from(name);
    let is_in_force = || {
        let backends = state.context.backends.lock();
        let record = backends.list.by_name(&backend);
        record.is_some_and(|record| record.draining == is_draining)
    };
    let in_force = wait_until(wait, is_in_force).await;
    Ok(Json(Changed {
        revision: state.configuration.revision().await,
        in_force: InForce::from_applied(in_force),
    }))
}

/// `DELETE /apis/v1/KIND/NAME?revision=`
pub(super) async fn delete(
    State(state): State<OperatorState>,
    Path((kind, name)): Path<(String, String)>,
    query: Result<Query<ChangeQuery>, QueryRejection>,
) -> Result<Json<Changed>, OperatorError> {
    let query = read_query(query)?;
    let (configuration, revision) = (&state.configuration, query.revision);
    let revision = match kind.parse()? {
        ResourceKind::Routes => configuration.delete_route(&name, revision).await?,
        ResourceKind::Pools => configuration.delete_pool(&name, revision).await?,
        ResourceKind::Engines => return Err(OperatorError::EnginesAreNotDeleted),
    };
    Ok(state.routing_changed(revision, query.wait()).await)
}

impl OperatorState {
    /// Answers a change of the configuration once the node has applied it or the wait is over.
    async fn routing_changed(&self, revision: u64, wait: Duration) -> Json<Changed> {
        let is_in_force = || {
            let table = self.context.routes();
            table.is_some_and(|table| table.version() >= revision)
        };
        Json(Changed {
            revision,
            in_force: InForce::from_applied(wait_until(wait, is_in_force).await),
        })
    }
}

/// Polls a condition; returns whether it became true before the wait was over.
pub(super) async fn wait_until(wait: Duration, is_met: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + wait;
    while !is_met() {
        if Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    true
}
