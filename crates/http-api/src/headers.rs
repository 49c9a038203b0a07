//! Request and response headers of the callers' routes.

use std::time::Duration;

use havenstage_types::ids::{CallerName, IdempotencyKey};
use havenstage_types::request::Repeatability;
use havenstage_types::resource::PriorityClass;
use havenstage_types::version::VersionSegments;
use http::{HeaderMap, HeaderValue};

use crate::error::ApiError;
use crate::settings::HttpApiSettings;

/// Key under which a caller repeats one request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Whether the request must run at most once: `true` or `false`.
pub const AT_MOST_ONCE: &str = "x-havenstage-at-most-once";
/// Class asked for: `urgent` or `live`.
pub const PRIORITY: &str = "x-havenstage-priority";
/// Time the caller waits, in milliseconds.
pub const DEADLINE_MS: &str = "x-havenstage-deadline-ms";
/// Name of the caller.
pub const CALLER: &str = "x-havenstage-caller";
/// Names the request in every answer.
pub const REQUEST_ID: &str = "x-request-id";
/// Versions of a whole answer: `VERSION=TOKENS`, in token order, separated by commas.
pub const VERSIONS: &str = "x-havenstage-versions";

/// Caller of requests without a caller header.
const ANONYMOUS: &str = "anonymous";
const MAX_NAME_BYTES: usize = 256;

/// What the headers say about a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Who asks.
    pub caller: CallerName,
    /// Key for repeats.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether a second run would do harm.
    pub repeatability: Repeatability,
    /// Class asked for.
    pub class: PriorityClass,
    /// Time the caller waits.
    pub deadline: Option<Duration>,
}

impl CallerHeaders {
    /// Reads the headers; a value that is not allowed is refused, never ignored.
    pub fn read(headers: &HeaderMap, settings: &HttpApiSettings) -> Result<Self, ApiError> {
        let caller = name(headers, CALLER)?.unwrap_or(ANONYMOUS);
        Ok(Self {
            caller: CallerName::new(caller),
            idempotency_key: name(headers, IDEMPOTENCY_KEY)?.map(IdempotencyKey::new),
            repeatability: repeatability(headers)?,
            class: class(headers)?,
            deadline: deadline(headers, settings.max_deadline_ms)?,
        })
    }
}

/// The value of [`VERSIONS`] for an answer.
pub fn versions_value(segments: &VersionSegments) -> HeaderValue {
    let parts: Vec<String> = segments
        .0
        .iter()
        .map(|segment| format!("{}={}", segment.version, segment.token_count))
        .collect();
    HeaderValue::try_from(parts.join(",")).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn name<'a>(headers: &'a HeaderMap, header: &str) -> Result<Option<&'a str>, ApiError> {
    let Some(value) = text(headers, header)? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_NAME_BYTES {
        return Err(ApiError::header(header, value, "1 to 256 characters"));
    }
    Ok(Some(value))
}

fn repeatability(headers: &HeaderMap) -> Result<Repeatability, ApiError> {
    match text(headers, AT_MOST_ONCE)? {
        None | Some("false") => Ok(Repeatability::Repeatable),
        Some("true") => Ok(Repeatability::AtMostOnce),
        Some(other) => Err(ApiError::header(AT_MOST_ONCE, other, "true, false")),
    }
}

fn class(headers: &HeaderMap) -> Result<PriorityClass, ApiError> {
    match text(headers, PRIORITY)? {
        None | Some("live") => Ok(PriorityClass::Live),
        Some("urgent") => Ok(PriorityClass::Urgent),
        Some(other) => Err(ApiError::header(PRIORITY, other, "urgent, live")),
    }
}

fn deadline(headers: &HeaderMap, highest_ms: u64) -> Result<Option<Duration>, ApiError> {
    let Some(value) = text(headers, DEADLINE_MS)? else {
        return Ok(None);
    };
    match value.parse::<u64>() {
        Ok(milliseconds) if (1..=highest_ms).contains(&milliseconds) => {
            Ok(Some(Duration::from_millis(milliseconds)))
        }
        _ => Err(ApiError::header(
            DEADLINE_MS,
            value,
            &format!("1 to {highest_ms}"),
        )),
    }
}

/// The only value of a header. Two values are refused: either choice could be the wrong one.
fn text<'a>(headers: &'a HeaderMap, header: &str) -> Result<Option<&'a str>, ApiError> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(ApiError::header(header, "given twice", "one value"));
    }
    value.to_str().map(Some).map_err(|_| {
        let shown = String::from_utf8_lossy(value.as_bytes());
        ApiError::header(header, shown, "visible ASCII characters")
    })
}
