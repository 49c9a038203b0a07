//! Routes for the machine's own supervision: health, readiness and metrics.

use axum::extract::State;
use havenstage_types::refusal::Refusal;
use http::StatusCode;
use http::header::CONTENT_TYPE;

use crate::error::ApiError;
use crate::state::ApiState;

const PROMETHEUS_TEXT: &str = "text/plain; version=0.0.4";

/// `GET /healthz`: the process answers.
pub async fn healthz() -> StatusCode {
    StatusCode::NO_CONTENT
}

/// `GET /readyz`: the node takes new work; 503 with the reason when it does not.
pub async fn readyz(State(state): State<ApiState>) -> Result<StatusCode, ApiError> {
    state
        .node()
        .ready()
        .map(|()| StatusCode::NO_CONTENT)
        .map_err(|reason| Refusal::not_run(reason, None).into())
}

/// `GET /metrics`
pub async fn metrics(
    State(state): State<ApiState>,
) -> ([(http::HeaderName, &'static str); 1], String) {
    ([(CONTENT_TYPE, PROMETHEUS_TEXT)], state.render_metrics())
}
