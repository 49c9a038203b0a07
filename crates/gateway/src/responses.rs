//! Helpers that build HTTP responses, shared by the servers for calls, batches and peers.

use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use crate::relay::StreamBroken;

/// Body of a response; an error in it breaks the connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, StreamBroken>;

/// Retry delay for callers whose call cannot be served now, where nothing better is known.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A body whose bytes are all in memory.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A response without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// A response without a body whose `retry-after` header gives the delay before a retry, in seconds with three
/// decimals.
pub(crate) fn refuse(status: StatusCode, retry_after: Duration) -> Response<Body> {
    let mut response = empty_response(status);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
