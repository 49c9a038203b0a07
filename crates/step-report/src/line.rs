//! Parsing of one log line of a gateway node.

use chrono::DateTime;
use serde::Deserialize;
use thiserror::Error;

/// The fields of a log line that describe training steps; all are optional, as each event has only
/// some of them.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct LogLine {
    /// Time of the line in seconds, on a clock that all lines share.
    #[serde(skip)]
    pub at_s: f64,
    /// Name of the event that the line reports.
    pub event: String,
    timestamp: Option<String>,
    /// Id of the batch that holds the step's items.
    pub batch: Option<String>,
    /// Request id of the item.
    pub request: Option<String>,
    /// Group that the item belongs to.
    pub group: Option<String>,
    /// Number of the training step.
    pub step: Option<u64>,
    /// Number of complete groups that the step's trainer waits for.
    pub desired_groups: Option<usize>,
    /// HTTP status of the answer to a call.
    pub status: Option<u16>,
    /// Number of events in the item's output.
    pub events: Option<u32>,
    /// Position after the last result returned to a reader.
    pub next: Option<usize>,
}

/// Why a line cannot be read as a log line.
#[derive(Debug, Error)]
pub enum UnreadableLine {
    /// The line contains no JSON object; it may come from another program.
    #[error("no JSON object in the line")]
    NoObject,
    /// The JSON object is invalid or has a field of the wrong type.
    #[error("not a log line: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The line has neither a time prefix nor a timestamp.
    #[error("the line has neither a time prefix nor a timestamp")]
    NoTime,
}

impl LogLine {
    /// Parses a line. The JSON object may follow a prefix whose first word is the time in seconds;
    /// without it the line's timestamp is used.
    ///
    /// # Errors
    ///
    /// Returns [`UnreadableLine`] if the line has no JSON object, the object is malformed, or the
    /// line has no time.
    pub fn parse(text: &str) -> Result<Self, UnreadableLine> {
        let start = text.find('{').ok_or(UnreadableLine::NoObject)?;
        let (prefix, object) = text.split_at(start);
        let mut line: LogLine = serde_json::from_str(object.trim_end())?;
        let first_word = prefix.split_whitespace().next();
        let prefix_time = first_word.and_then(|word| word.parse().ok());
        line.at_s = prefix_time
            .or_else(|| line.timestamp.as_deref().and_then(parse_seconds))
            .ok_or(UnreadableLine::NoTime)?;
        Ok(line)
    }
}

fn parse_seconds(timestamp: &str) -> Option<f64> {
    let time = DateTime::parse_from_rfc3339(timestamp).ok()?;
    Some(time.timestamp_millis() as f64 / 1_000.0)
}
