//! Long poll for changes of resources.

use axum::Json;
use axum::extract::State;
use havenstage_config::manifest::Manifest;
use havenstage_types::ids::LogOffset;
use serde::{Deserialize, Serialize};

use crate::error::ApiError;
use crate::extract::{ApiPath, ApiQuery};
use crate::kinds::parse_kind;
use crate::routes::operators::manifests;
use crate::state::ApiState;

/// Query of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WatchQuery {
    /// `next` of the answer before; absent to be answered with the present state.
    pub from: Option<u64>,
    /// Longest wait in milliseconds; the longest allowed when absent.
    pub wait_ms: Option<u64>,
}

/// Resources of a kind after a change, or unchanged when the wait ended first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Offset to ask with next.
    pub next: LogOffset,
    /// All resources of the kind by name, at least as new as `next`.
    pub items: Vec<Manifest>,
}

/// `GET /apis/v1/watch/{kind}`
pub async fn watch(
    State(state): State<ApiState>,
    ApiPath(kind): ApiPath<String>,
    ApiQuery(query): ApiQuery<WatchQuery>,
) -> Result<Json<WatchAnswer>, ApiError> {
    let kind = parse_kind(&kind)?;
    let from = LogOffset(query.from.unwrap_or(0));
    let wait_ms = query.wait_ms.unwrap_or(state.settings().max_wait_ms);
    let wait = state.settings().wait(Some(wait_ms));
    let next = tokio::select! {
        next = state.node().config_changed(from, wait) => next,
        () = state.long_polls_ended() => from,
    };
    // Read after the offset: a change in between is shown early and once more, never missed.
    let items = manifests(&state.node().list(kind))?;
    Ok(Json(WatchAnswer { next, items }))
}
