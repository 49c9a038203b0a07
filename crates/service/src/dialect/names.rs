//! Header names and paths of the HTTP protocol.

use havenstage_gateway::edge::HeaderNames;
use http::HeaderName;

/// Readiness endpoint: whether the node can accept requests.
pub const READY_PATH: &str = "/readyz";
/// Prefix of the paths of batches of samples.
pub const BATCHES_PATH: &str = "/v1/batches/";
/// Endpoint for completions, on the node and on engines.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Endpoint of an engine that receives orders to load a version.
pub const ENGINE_ORDER_PATH: &str = "/engine/order";
/// Endpoint of an engine that reports its models and state.
pub const ENGINE_REPORT_PATH: &str = "/engine/report";

/// Names of the headers that callers, the node and engines exchange.
pub fn headers() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("x-request-id"),
        deadline_ms: HeaderName::from_static("x-deadline-ms"),
        expected_backend: HeaderName::from_static("x-expected-engine"),
        not_run: HeaderName::from_static("x-not-run"),
        signature: HeaderName::from_static("x-engine"),
        weight_version: HeaderName::from_static("x-weight-version"),
        urgency: HeaderName::from_static("x-urgency"),
        last_event_id: HeaderName::from_static("last-event-id"),
        wait_ms: HeaderName::from_static("x-wait-ms"),
        api_key: HeaderName::from_static("x-api-key"),
        tenant: HeaderName::from_static("x-tenant"),
    }
}
