//! Logs: JSON lines on standard error.

use std::collections::BTreeMap;
use std::io::{self, Write};

use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde::{Deserialize, Serialize};

const TIMESTAMP: &str = "%Y-%m-%dT%H:%M:%S%.3f%:z";

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoggingSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
}

/// Levels of the log, the most severe first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Nothing is written.
    Off,
    /// Faults.
    Error,
    /// What may become a fault.
    Warn,
    /// What operators want to know.
    #[default]
    Info,
    /// What developers want to know.
    Debug,
    /// Everything.
    Trace,
}

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Off => Self::Off,
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
            LogLevel::Trace => Self::Trace,
        }
    }
}

/// Starts logging. Logging ends when the handle is dropped.
pub fn start(settings: &LoggingSettings) -> anyhow::Result<LoggerHandle> {
    let specification = LogSpecification::builder()
        .default(settings.level.into())
        .build();
    let handle = Logger::with(specification)
        .format(write_line)
        .log_to_stderr()
        .start()?;
    Ok(handle)
}

/// One line; the key-value pairs of the record stand beside the fixed fields.
#[derive(Serialize)]
struct LogLine<'a> {
    timestamp: String,
    level: &'static str,
    module: Option<&'a str>,
    message: String,
    #[serde(flatten)]
    fields: BTreeMap<Key<'a>, Value<'a>>,
}

fn write_line(
    output: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let mut fields = Fields(BTreeMap::new());
    record
        .key_values()
        .visit(&mut fields)
        .map_err(io::Error::other)?;
    let line = LogLine {
        timestamp: now.format(TIMESTAMP).to_string(),
        level: record.level().as_str(),
        module: record.module_path(),
        message: record.args().to_string(),
        fields: fields.0,
    };
    let text = serde_json::to_string(&line)?;
    output.write_all(text.as_bytes())
}

/// Names of the fixed fields; a pair with such a name would stand twice in the line.
const FIXED_FIELDS: [&str; 4] = ["timestamp", "level", "module", "message"];

struct Fields<'a>(BTreeMap<Key<'a>, Value<'a>>);

impl<'a> VisitSource<'a> for Fields<'a> {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), Error> {
        if !FIXED_FIELDS.contains(&key.as_str()) {
            self.0.insert(key, value);
        }
        Ok(())
    }
}
