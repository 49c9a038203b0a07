//! Readers for the heads of callers' requests.

use std::time::Duration;

use http::header::{HOST, HeaderMap};
use http::request::Parts;

/// Duration that a header gives in whole milliseconds; `None` if the header is absent or not a number.
pub(crate) fn header_ms(headers: &HeaderMap, name: &http::HeaderName) -> Option<Duration> {
    let milliseconds: u64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(milliseconds))
}

/// Host from the request target or else from the `host` header, with the port if one is given there; `None` if
/// neither is present.
pub(crate) fn request_host(head: &Parts) -> Option<String> {
    let named = head.uri.host().map(str::to_owned);
    named.or_else(|| Some(head.headers.get(HOST)?.to_str().ok()?.to_owned()))
}
