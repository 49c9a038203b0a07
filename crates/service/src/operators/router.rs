//! HTTP routes of the operators' interface, and the handlers that read resources.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, State};
use axum::http::Uri;
use axum::routing::{get, post};
use axum::{Json, Router};
use havenstage_clock::Instant;
use havenstage_gateway::context::Context;
use havenstage_gateway::edge::DirectoryKind;
use serde::Deserialize;

use super::changes::{delete, put, read_query};
use super::configuration::Configuration;
use super::error::OperatorError;
use super::explain::explain;
use super::publish::publish;
use super::recording_directory::RecordingDirectory;
use super::resources::{self, KnownResources, ResourceKind, WatchAnswer};
use super::versions::NamedVersions;
use crate::engines::EmulatedEngines;
use crate::explain::DecisionRecords;

/// Maximum time that a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);
/// Interval at which a watch polls the resources.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// State that the handlers of the operators' interface share.
#[derive(Clone)]
pub(crate) struct OperatorState {
    pub(crate) context: Arc<Context>,
    pub(crate) directory: Arc<RecordingDirectory>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) engines: Arc<EmulatedEngines>,
    pub(crate) versions: Arc<NamedVersions>,
    pub(crate) records: Arc<DecisionRecords>,
}

/// Builds the router of the operators' interface.
pub(crate) fn router(state: OperatorState) -> Router {
    Router::new()
        .route("/apis/v1/{kind}", get(list))
        .route("/apis/v1/watch/{kind}", get(watch))
        .route(
            "/apis/v1/{kind}/{name}",
            get(get_one).put(put).delete(delete),
        )
        .route("/apis/v1/explain/{*subject}", get(explain))
        .route("/v1/models/{model}/versions", post(publish))
        .fallback(unknown_path)
        .with_state(state)
}

async fn list(
    State(state): State<OperatorState>,
    Path(kind): Path<String>,
) -> Result<Json<KnownResources>, OperatorError> {
    Ok(Json(state.known_resources(kind.parse()?)?))
}

async fn get_one(
    State(state): State<OperatorState>,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Json<KnownResources>, OperatorError> {
    let mut known = state.known_resources(kind.parse()?)?;
    known.items.retain(|item| item.name == name);
    match known.items.is_empty() {
        true => Err(OperatorError::UnknownName { name }),
        false => Ok(Json(known)),
    }
}

/// Query parameters of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct WatchQuery {
    /// `state` of the previous answer. Without it the watch answers at once.
    #[serde(default)]
    seen: Option<u64>,
    /// Maximum wait in milliseconds.
    #[serde(default)]
    wait_ms: Option<u64>,
}

/// Answers once the resources differ from those of the previous answer, or the wait is over.
async fn watch(
    State(state): State<OperatorState>,
    Path(kind): Path<String>,
    query: Result<Query<WatchQuery>, QueryRejection>,
) -> Result<Json<WatchAnswer>, OperatorError> {
    let query = read_query(query)?;
    let kind = kind.parse()?;
    let wait = query.wait_ms.map_or(MAX_WATCH_WAIT, Duration::from_millis);
    let deadline = Instant::now() + wait.min(MAX_WATCH_WAIT);
    loop {
        let known = state.known_resources(kind)?;
        let digest = compute_digest(&known);
        if query.seen != Some(digest) || Instant::now() >= deadline {
            return Ok(Json(WatchAnswer {
                state: digest,
                known,
            }));
        }
        tokio::time::sleep(WATCH_POLL_INTERVAL).await;
    }
}

/// Computes a digest of the resources. Their age is left out, so that a watch does not answer when only the
/// age has changed.
fn compute_digest(known: &KnownResources) -> u64 {
    let mut hasher = DefaultHasher::new();
    for item in &known.items {
        item.name.hash(&mut hasher);
        item.revision.hash(&mut hasher);
        item.spec.to_string().hash(&mut hasher);
    }
    hasher.finish()
}

impl OperatorState {
    /// Returns the resources of a kind that the node knows, with the age of this knowledge. Fails until the
    /// node has read its directories.
    fn known_resources(&self, kind: ResourceKind) -> Result<KnownResources, OperatorError> {
        let config = self.directory.routing();
        let config = config.ok_or(OperatorError::DirectoriesNotRead)?;
        let (items, age) = match kind {
            ResourceKind::Pools => (resources::pools(&config, &self.context), self.oldest_age()),
            ResourceKind::Routes => (
                resources::routes(&config),
                self.directory.age(DirectoryKind::Operators),
            ),
            ResourceKind::Engines => (
                resources::engines(&self.context),
                self.directory.age(DirectoryKind::Backends),
            ),
        };
        let age = age.ok_or(OperatorError::DirectoriesNotRead)?;
        Ok(KnownResources {
            items,
            age_ms: age.as_millis() as u64,
        })
    }

    /// Returns the higher age of the two directories; the description of a pool uses both.
    fn oldest_age(&self) -> Option<Duration> {
        let operators = self.directory.age(DirectoryKind::Operators)?;
        let backends = self.directory.age(DirectoryKind::Backends)?;
        Some(operators.max(backends))
    }
}

async fn unknown_path(uri: Uri) -> OperatorError {
    OperatorError::UnknownPath {
        path: uri.path().to_owned(),
    }
}
