//! The routes of operators, and what they read.

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
use super::known::KnownDirectory;
use super::publish::publish;
use super::resources::{self, KnownResources, ResourceKind, WatchAnswer};
use super::versions::NamedVersions;
use crate::engines::EmulatedEngines;
use crate::explain::DecisionRecords;

/// Longest wait of a watch.
const LONGEST_WATCH: Duration = Duration::from_secs(30);
/// Pause between two looks of a watch.
const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// What operators are answered from, and what they change.
#[derive(Clone)]
pub(crate) struct OperatorState {
    pub(crate) context: Arc<Context>,
    pub(crate) directory: Arc<KnownDirectory>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) engines: Arc<EmulatedEngines>,
    pub(crate) versions: Arc<NamedVersions>,
    pub(crate) records: Arc<DecisionRecords>,
}

/// The interface for operators.
pub(crate) fn router(state: OperatorState) -> Router {
    Router::new()
        .route("/apis/v1/{kind}", get(list))
        .route("/apis/v1/watch/{kind}", get(watch))
        .route("/apis/v1/{kind}/{name}", get(one).put(put).delete(delete))
        .route("/apis/v1/explain/{*subject}", get(explain))
        .route("/v1/models/{model}/versions", post(publish))
        .fallback(unknown_path)
        .with_state(state)
}

async fn list(
    State(state): State<OperatorState>,
    Path(kind): Path<String>,
) -> Result<Json<KnownResources>, OperatorError> {
    Ok(Json(state.known(kind.parse()?)?))
}

async fn one(
    State(state): State<OperatorState>,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Json<KnownResources>, OperatorError> {
    let mut known = state.known(kind.parse()?)?;
    known.items.retain(|item| item.name == name);
    match known.items.is_empty() {
        true => Err(OperatorError::UnknownName { name }),
        false => Ok(Json(known)),
    }
}

/// Query of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct WatchQuery {
    /// `state` of the answer before; absent to be answered at once.
    #[serde(default)]
    seen: Option<u64>,
    /// Longest wait in milliseconds.
    #[serde(default)]
    wait_ms: Option<u64>,
}

/// Answers once the resources differ from those that were seen, or the wait is over.
async fn watch(
    State(state): State<OperatorState>,
    Path(kind): Path<String>,
    query: Result<Query<WatchQuery>, QueryRejection>,
) -> Result<Json<WatchAnswer>, OperatorError> {
    let query = read_query(query)?;
    let kind = kind.parse()?;
    let wait = query.wait_ms.map_or(LONGEST_WATCH, Duration::from_millis);
    let until = Instant::now() + wait.min(LONGEST_WATCH);
    loop {
        let known = state.known(kind)?;
        let digest = digest(&known);
        if query.seen != Some(digest) || Instant::now() >= until {
            return Ok(Json(WatchAnswer {
                state: digest,
                known,
            }));
        }
        tokio::time::sleep(WATCH_PAUSE).await;
    }
}

/// Differs where resources differ; their age is no change.
fn digest(known: &KnownResources) -> u64 {
    let mut hasher = DefaultHasher::new();
    for item in &known.items {
        item.name.hash(&mut hasher);
        item.revision.hash(&mut hasher);
        item.spec.to_string().hash(&mut hasher);
    }
    hasher.finish()
}

impl OperatorState {
    /// What the node knows of a kind, and how old that is.
    fn known(&self, kind: ResourceKind) -> Result<KnownResources, OperatorError> {
        let config = self.directory.routing();
        let config = config.ok_or(OperatorError::NothingKnown)?;
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
        let age = age.ok_or(OperatorError::NothingKnown)?;
        Ok(KnownResources {
            items,
            age_ms: age.as_millis() as u64,
        })
    }

    /// The age of what is known of both directories; a pool is told from both.
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
