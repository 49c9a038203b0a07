//! The outcome of a batch API call, before it becomes an HTTP response.

use bytes::Bytes;
use http::StatusCode;

/// Status and body with which a batch API call is answered.
#[derive(Debug, Clone)]
pub(crate) struct BatchAnswer {
    /// HTTP status of the response.
    pub(crate) status: StatusCode,
    /// Response body; empty unless the call succeeded and returns data.
    pub(crate) body: Bytes,
    /// Whether the gateway wrote the body in its own format, so that the response states the content type; false for
    /// bytes that the caller submitted.
    pub(crate) is_own_format: bool,
}

impl BatchAnswer {
    /// An answer without a body.
    pub(crate) fn empty(status: StatusCode) -> Self {
        Self {
            status,
            body: Bytes::new(),
            is_own_format: false,
        }
    }
}
