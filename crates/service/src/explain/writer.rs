//! A log writer that records the node's decisions before it passes the lines on.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Value as Json;

use super::decisions::{Decision, DecisionRecords};

/// Log field that names the event.
const EVENT: &str = "event";

/// Records decisions and passes all log lines on to another writer.
pub struct RecordingWriter {
    output: Box<dyn LogWriter>,
    records: Arc<DecisionRecords>,
}

impl RecordingWriter {
    /// Records decisions in `records` and passes all lines on to `output`, which may drop some of them.
    pub fn new(output: Box<dyn LogWriter>, records: Arc<DecisionRecords>) -> Self {
        Self { output, records }
    }
}

impl LogWriter for RecordingWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        if let Some(decision) = parse_decision(now, record) {
            self.records.keep(decision);
        }
        self.output.write(now, record)
    }

    fn flush(&self) -> io::Result<()> {
        self.output.flush()
    }
}

fn parse_decision(now: &mut DeferredNow, record: &Record<'_>) -> Option<Decision> {
    let mut fields = Fields(BTreeMap::new());
    // If visiting fails, the pairs after the failure are left out.
    let _ = record.key_values().visit(&mut fields);
    let event = fields.0.remove(EVENT)?;
    Some(Decision {
        at_ms: u64::try_from(now.now().timestamp_millis()).unwrap_or(0),
        event: event.as_str()?.to_owned(),
        fields: fields.0,
    })
}

struct Fields(BTreeMap<String, Json>);

impl<'a> VisitSource<'a> for Fields {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), Error> {
        let json = serde_json::to_value(&value).unwrap_or(Json::Null);
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
