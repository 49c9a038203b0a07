//! Logs: JSON lines on standard output, bounded in volume and never blocking.
//!
//! Lines go through a bounded queue to a thread of their own. A line that finds the queue full or
//! its budget used up is dropped and counted; a later line tells how many. Warnings have a budget
//! of their own, so that a flood of ordinary lines never hides a failure.

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
const QUEUE_LINES: usize = 4_096;
/// Pause in which lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(100);
/// Bytes that are written together: what a pipe takes whole, so that lines are not torn.
const WRITE_BYTES: usize = 4_096;
/// Seconds whose budget may be used at once.
const BURST_SECONDS: f64 = 5.0;
const TIMESTAMP: &str = "%Y-%m-%dT%H:%M:%S%.3f%:z";

/// Starts logging, with so many lines a second for ordinary lines and as many for warnings.
pub fn start(lines_per_s: u32) -> Result<LoggerHandle, FlexiLoggerError> {
    start_with(writer(lines_per_s))
}

/// Starts logging to a writer.
pub fn start_with(writer: Box<dyn LogWriter>) -> Result<LoggerHandle, FlexiLoggerError> {
    let specification = LogSpecification::builder()
        .default(log::LevelFilter::Info)
        .build();
    Logger::with(specification).log_to_writer(writer).start()
}

/// A writer to standard output, with so many lines a second for ordinary lines and as many for warnings.
pub fn writer(lines_per_s: u32) -> Box<dyn LogWriter> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    thread::spawn(move || write_lines(&receiver));
    Box::new(QueueWriter {
        sender,
        ordinary: Mutex::new(Budget::new(lines_per_s)),
        warnings: Mutex::new(Budget::new(lines_per_s)),
    })
}

fn write_lines(receiver: &Receiver<String>) {
    while let Ok(first) = receiver.recv() {
        thread::sleep(GATHER);
        let mut text = first;
        while let Ok(line) = receiver.try_recv() {
            if text.len() + line.len() > WRITE_BYTES {
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
    // Nothing can be told of a failure to write a log line.
    let _ = output.write_all(text.as_bytes());
    let _ = output.flush();
}

/// Lines that may be written, refilled with time.
#[derive(Debug)]
pub struct Budget {
    per_second: f64,
    left: f64,
    refilled: Instant,
    dropped: u64,
}

impl Budget {
    /// A full budget.
    pub fn new(lines_per_s: u32) -> Self {
        let per_second = f64::from(lines_per_s);
        Self {
            per_second,
            left: per_second * BURST_SECONDS,
            refilled: Instant::now(),
            dropped: 0,
        }
    }

    /// Takes one line; answers how many were dropped before it, or `None` if it is dropped too.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let most = self.per_second * BURST_SECONDS;
        self.left = (self.left + passed * self.per_second).min(most);
        if self.left < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }

    /// A line that was taken could not be queued.
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

/// One line; the key-value pairs of the record stand beside the fixed fields.
fn format_line(timestamp: String, record: &Record<'_>, dropped: u64) -> String {
    let mut fields = Fields(Map::new());
    // Pairs that cannot be visited are left out.
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

/// Gives the writing thread time for the last lines; called before the process ends.
pub fn wait_until_written() {
    thread::sleep(GATHER * 2);
}
