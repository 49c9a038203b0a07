//! `PUT` and `DELETE` of resources.

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

/// Longest wait until a change is in force, and the wait where none is asked for: the next change of an
/// operator is made against what the node was told.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
const DEFAULT_WAIT: Duration = Duration::from_secs(5);
/// Pause between two looks at what the node believes.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Query of a change.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChangeQuery {
    /// Longest wait until it is in force, in milliseconds.
    #[serde(default)]
    wait_ms: Option<u64>,
    /// Revision that a deletion is made against.
    #[serde(default)]
    revision: Option<u64>,
}

/// A change that was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Changed {
    /// The revision it led to.
    pub(super) revision: u64,
    /// Whether the node works by it.
    pub(super) in_force: Option<InForce>,
}

/// Whether a change is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct InForce {
    pub(super) everywhere: bool,
    /// Nodes that don't work by it yet are not named: there is one, which answers.
    pub(super) lagging: Vec<String>,
}

impl InForce {
    pub(super) fn is(everywhere: bool) -> Option<Self> {
        Some(Self {
            everywhere,
            lagging: Vec::new(),
        })
    }
}

impl ChangeQuery {
    fn wait(&self) -> Duration {
        let wait = self.wait_ms.map(Duration::from_millis);
        wait.unwrap_or(DEFAULT_WAIT).min(LONGEST_WAIT)
    }
}

/// Reads a query; its error names what is allowed.
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
        in_force: InForce::is(in_force),
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
    /// The answer to a change of the configuration, once the node works by it or the wait is over.
    async fn routing_changed(&self, revision: u64, wait: Duration) -> Json<Changed> {
        let is_in_force = || {
            let table = self.context.routes();
            table.is_some_and(|table| table.version() >= revision)
        };
        Json(Changed {
            revision,
            in_force: InForce::is(wait_until(wait, is_in_force).await),
        })
    }
}

/// Whether something becomes so within a time.
pub(super) async fn wait_until(wait: Duration, is_so: impl Fn() -> bool) -> bool {
    let until = Instant::now() + wait;
    while !is_so() {
        if Instant::now() >= until {
            return false;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    true
}
