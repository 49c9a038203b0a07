//! Names of headers and paths.

use havenstage_gateway::edge::HeaderNames;
use http::HeaderName;

/// Asks whether the node takes requests.
pub const READY_PATH: &str = "/readyz";
/// Batches of samples.
pub const BATCHES_PATH: &str = "/v1/batches/";
/// Completions, at the node and at engines.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Orders to an engine.
pub const ENGINE_ORDER_PATH: &str = "/engine/order";
/// An engine's report of itself.
pub const ENGINE_REPORT_PATH: &str = "/engine/report";

/// Headers between callers, the node and engines.
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
