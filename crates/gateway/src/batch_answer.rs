//! The answer to a caller's call on batches.

use bytes::Bytes;
use http::StatusCode;

/// The answer to a call on batches.
#[derive(Debug, Clone)]
pub(crate) struct BatchAnswer {
    /// Status.
    pub(crate) status: StatusCode,
    /// Body.
    pub(crate) body: Bytes,
    /// Whether the body is in the gateway's own format, not the caller's bytes.
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
