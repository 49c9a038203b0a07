//! All routes with their layers.

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{get, post};
use http::Uri;
use tower::ServiceBuilder;

use crate::error::ApiError;
use crate::record_requests::NewRecordRequests;
use crate::routes::{callers, operators, probes, trainers, watch};
use crate::state::ApiState;

/// The whole interface as one service.
pub fn router(state: ApiState) -> Router {
    let body_limit = usize::try_from(state.settings().max_body_bytes).unwrap_or(usize::MAX);
    let layers = ServiceBuilder::new()
        // Outermost, so that what the layers and extractors further in refuse is counted too. It
        // sits inside routing, because its route label is the matched route.
        .layer(NewRecordRequests)
        // Inside recording: it only notes the limit, which the body extractors enforce. An
        // oversize body is refused as it is read, before a handler runs.
        .layer(DefaultBodyLimit::max(body_limit));
    Router::new()
        .merge(caller_routes())
        .merge(trainer_routes())
        .merge(operator_routes())
        .merge(probe_routes())
        .fallback(unknown_route)
        .method_not_allowed_fallback(method_not_allowed)
        .layer(layers)
        .with_state(state)
}

fn caller_routes() -> Router<ApiState> {
    Router::new()
        .route("/v1/completions", post(callers::completions))
        .route("/v1/chat/completions", post(callers::chat_completions))
        .route("/v1/models", get(callers::models))
}

fn trainer_routes() -> Router<ApiState> {
    Router::new()
        .route(
            "/v1/jobs/{job}/steps/{step}/samples",
            get(trainers::samples),
        )
        .route(
            "/v1/jobs/{job}/steps/{step}/ack",
            post(trainers::acknowledge),
        )
        .route(
            "/v1/models/{model}/versions",
            post(trainers::publish_version),
        )
}

fn operator_routes() -> Router<ApiState> {
    let one_resource = get(operators::get)
        .put(operators::put)
        .delete(operators::delete);
    Router::new()
        .route("/apis/v1/status", get(operators::status))
        .route("/apis/v1/watch/{kind}", get(watch::watch))
        .route("/apis/v1/explain/{*subject}", get(operators::explain))
        .route("/apis/v1/{kind}", get(operators::list))
        .route("/apis/v1/{kind}/{name}", one_resource)
}

fn probe_routes() -> Router<ApiState> {
    Router::new()
        .route("/healthz", get(probes::healthz))
        .route("/readyz", get(probes::readyz))
        .route("/metrics", get(probes::metrics))
}

async fn unknown_route(uri: Uri) -> ApiError {
    ApiError::UnknownRoute {
        path: uri.path().to_owned(),
    }
}

async fn method_not_allowed(uri: Uri) -> ApiError {
    ApiError::MethodNotAllowed {
        path: uri.path().to_owned(),
    }
}
