//! One log line of a node.

use chrono::DateTime;
use serde::Deserialize;
use thiserror::Error;

/// The fields of a log line that tell about steps. Lines of other events have none of them.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct LogLine {
    /// Seconds, on any clock that all lines share.
    #[serde(skip)]
    pub at_s: f64,
    /// What happened.
    pub event: String,
    timestamp: Option<String>,
    /// Batch of the step.
    pub batch: Option<String>,
    /// Item, by the id of its request.
    pub request: Option<String>,
    /// Group of the item.
    pub group: Option<String>,
    /// Number of the step.
    pub step: Option<u64>,
    /// Groups that the step's trainer waits for.
    pub desired_groups: Option<usize>,
    /// Answer to a call.
    pub status: Option<u16>,
    /// Events of an item's output.
    pub events: Option<u32>,
    /// Position after the results that a reader was given.
    pub next: Option<usize>,
}

/// Why a line is left out.
#[derive(Debug, Error)]
pub enum UnreadableLine {
    /// It holds no JSON object, as lines of other programs do.
    #[error("no JSON object in the line")]
    NoObject,
    /// The object is not a log line.
    #[error("not a log line: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Neither a prefix nor the line tells its time.
    #[error("the line tells no time")]
    NoTime,
}

impl LogLine {
    /// Reads a line. Before the JSON object may stand the seconds since some moment, and more words.
    pub fn parse(text: &str) -> Result<Self, UnreadableLine> {
        let start = text.find('{').ok_or(UnreadableLine::NoObject)?;
        let (prefix, object) = text.split_at(start);
        let mut line: LogLine = serde_json::from_str(object.trim_end())?;
        let prefixed = prefix.split_whitespace().next();
        let prefixed = prefixed.and_then(|word| word.parse().ok());
        line.at_s = prefixed
            .or_else(|| line.timestamp.as_deref().and_then(seconds))
            .ok_or(UnreadableLine::NoTime)?;
        Ok(line)
    }
}

fn seconds(timestamp: &str) -> Option<f64> {
    let time = DateTime::parse_from_rfc3339(timestamp).ok()?;
    Some(time.timestamp_millis() as f64 / 1_000.0)
}
