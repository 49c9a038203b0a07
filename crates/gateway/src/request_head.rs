//! What the heads of callers' requests tell, whatever their kind.

use std::time::Duration;

use http::header::{HOST, HeaderMap};
use http::request::Parts;

/// Milliseconds that a header names.
pub(crate) fn header_ms(headers: &HeaderMap, name: &http::HeaderName) -> Option<Duration> {
    let milliseconds: u64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(milliseconds))
}

/// The host that a request names.
pub(crate) fn request_host(head: &Parts) -> Option<String> {
    let named = head.uri.host().map(str::to_owned);
    named.or_else(|| Some(head.headers.get(HOST)?.to_str().ok()?.to_owned()))
}
