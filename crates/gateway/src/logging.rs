//! Logs JSON lines to standard output, with a bounded rate and without blocking the caller.
//!
//! Lines go through a bounded queue to a writer thread. A line is dropped and counted if the queue is full or its
//! rate budget is used up; a later line reports how many were dropped. Warnings have a separate budget, so that many
//! ordinary lines never hide a failure.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, Record};
use serde_json::{Map, Value as Json};

/// Lines that may wait to be written.
const MAX_QUEUED_LINES: usize = 4_096;
/// Time for which lines are collected before they are written together.
const COLLECT_TIME: Duration = Duration::from_millis(100);
/// Most bytes of one write: writes of this size to a pipe are atomic, so that lines are not split.
const MAX_WRITE_BYTES: usize = 4_096;
/// Size of the budget, in seconds at the permitted rate: this many lines may be written at once.
const BURST_SECONDS: f64 = 5.0;
const TIMESTAMP: &str = "%Y-%m-%dT%H:%M:%S%.3f%:z";

/// Starts logging to standard output. `lines_per_s` limits ordinary lines and, separately, warnings. Fails if a
/// logger is installed already.
pub fn start(lines_per_s: u32) -> Result<LoggerHandle, FlexiLoggerError> {
    start_with(writer(lines_per_s))
}

/// Starts logging to a given writer. Fails if a logger is installed already.
pub fn start_with(writer: Box<dyn LogWriter>) -> Result<LoggerHandle, FlexiLoggerError> {
    let specification = LogSpecification::builder()
        .default(log::LevelFilter::Info)
        .build();
    Logger::with(specification).log_to_writer(writer).start()
}

/// Creates a writer to standard output and its thread. `lines_per_s` limits ordinary lines and, separately, warnings.
pub fn writer(lines_per_s: u32) -> Box<dyn LogWriter> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    thread::spawn(move || write_lines(&receiver));
    Box::new(QueueWriter {
        sender,
        ordinary: Mutex::new(Budget::new(lines_per_s)),
        warnings: Mutex::new(Budget::new(lines_per_s)),
    })
}

fn write_lines(receiver: &Receiver<String>) {
    while let Ok(first) = receiver.recv() {
        thread::sleep(COLLECT_TIME);
        let mut text = first;
        while let Ok(line) = receiver.try_recv() {
            if text.len() + line.len() > MAX_WRITE_BYTES {
                write_now(&text);
                text.clear();
            }
            text.push_str(&line);
        }
        write_now(&text);
    }
}

fn write_now(text: &str) {
    let mut output = io::stdout().lock();
    // A failure to write to the log cannot be logged.
    let _ = output.write_all(text.as_bytes());
    let _ = output.flush();
}

/// A token bucket that limits the lines of one kind and counts the dropped ones.
#[derive(Debug)]
pub struct Budget {
    per_second: f64,
    remaining: f64,
    refilled: Instant,
    dropped: u64,
}

impl Budget {
    /// Creates a full budget for this many lines per second.
    pub fn new(lines_per_s: u32) -> Self {
        let per_second = f64::from(lines_per_s);
        Self {
            per_second,
            remaining: per_second * BURST_SECONDS,
            refilled: Instant::now(),
            dropped: 0,
        }
    }

    /// Takes the budget of one line. Returns how many lines were dropped before it, or `None` if it must be dropped too.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        let elapsed_s = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let capacity = self.per_second * BURST_SECONDS;
        self.remaining = (self.remaining + elapsed_s * self.per_second).min(capacity);
        if self.remaining < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.remaining -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }

    /// Counts lines that were dropped although they were within the budget, as the queue was full.
    pub fn add_dropped(&mut self, lines: u64) {
        self.dropped += lines;
    }
}

struct QueueWriter {
    sender: SyncSender<String>,
    ordinary: Mutex<Budget>,
    warnings: Mutex<Budget>,
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let is_warning = record.level() <= Level::Warn;
        let budget = if is_warning {
            &self.warnings
        } else {
            &self.ordinary
        };
        let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(dropped) = budget.take(Instant::now()) else {
            return Ok(());
        };
        let line = format_line(now.format(TIMESTAMP).to_string(), record, dropped);
        if self.sender.try_send(line).is_err() {
            budget.add_dropped(dropped + 1);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Formats a record as one JSON line: its key-value pairs beside the fixed fields.
fn format_line(timestamp: String, record: &Record<'_>, dropped: u64) -> String {
    let mut fields = Fields(Map::new());
    // Pairs that cannot be visited are omitted.
    let _ = record.key_values().visit(&mut fields);
    let mut line = Map::new();
    line.insert("timestamp".into(), timestamp.into());
    line.insert("level".into(), record.level().as_str().into());
    line.append(&mut fields.0);
    let message = record.args().to_string();
    if !message.is_empty() {
        line.insert("message".into(), message.into());
    }
    if dropped > 0 {
        line.insert("lines_dropped_before".into(), dropped.into());
    }
    format!("{}\n", Json::Object(line))
}

struct Fields(Map<String, Json>);

impl<'a> VisitSource<'a> for Fields {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), Error> {
        let json = serde_json::to_value(&value).unwrap_or(Json::Null);
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Waits long enough for the writer thread to write the last lines; called before the process exits.
pub fn wait_until_written() {
    thread::sleep(COLLECT_TIME * 2);
}
