//! The routes of operators.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, State};
use axum::http::Uri;
use axum::routing::{get, post};
use axum::{Json, Router};
use havenstage_gateway::context::Context;
use havenstage_gateway::edge::DirectoryKind;

use super::error::OperatorError;
use super::known::KnownDirectory;
use super::publish::publish;
use super::resources::{self, KnownResources, ResourceKind};
use super::versions::NamedVersions;

/// What operators are answered from.
#[derive(Clone)]
pub(crate) struct OperatorState {
    pub(crate) context: Arc<Context>,
    pub(crate) directory: Arc<KnownDirectory>,
    pub(crate) versions: Arc<NamedVersions>,
}

/// The interface for operators.
pub(crate) fn router(state: OperatorState) -> Router {
    Router::new()
        .route("/apis/v1/{kind}", get(list))
        .route("/v1/models/{model}/versions", post(publish))
        .fallback(unknown_path)
        .with_state(state)
}

async fn list(
    State(state): State<OperatorState>,
    Path(kind): Path<String>,
) -> Result<Json<KnownResources>, OperatorError> {
    let kind: ResourceKind = kind.parse()?;
    let config = state.directory.routing();
    let config = config.ok_or(OperatorError::NothingKnown)?;
    let (items, age) = match kind {
        ResourceKind::Pools => (
            resources::pools(&config, &state.context),
            state.oldest_age(),
        ),
        ResourceKind::Routes => (
            resources::routes(&config),
            state.directory.age(DirectoryKind::Operators),
        ),
        ResourceKind::Engines => (
            resources::engines(&state.context),
            state.directory.age(DirectoryKind::Backends),
        ),
    };
    let age = age.ok_or(OperatorError::NothingKnown)?;
    Ok(Json(KnownResources {
        items,
        age_ms: age.as_millis() as u64,
    }))
}

impl OperatorState {
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
