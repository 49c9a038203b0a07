//! Parts that the answers to all kinds of calls are made of.

use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use crate::relay::StreamBroken;

/// Body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, StreamBroken>;

/// Time after which callers whose call could not be served at this moment may come back.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A body that is there whole.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// A refusal that tells the caller when to come back, in seconds with fractions.
pub(crate) fn refuse(status: StatusCode, retry_after: Duration) -> Response<Body> {
    let mut response = empty_response(status);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
