//! The platform's log with one stream.

use havenstage_types::claim::ClaimRecord;
use havenstage_types::ids::LogOffset;

/// How the log behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogMode {
    /// Appends and reads take a few milliseconds.
    Up,
    /// Nothing gets through.
    Down,
    /// Appends take two seconds.
    Slow,
    /// Appends take effect, some late and some twice, and half of the answers are lost.
    LosingAnswers,
}

/// Records and behaviour.
pub struct TestLog {
    pub records: Vec<ClaimRecord>,
    pub mode: LogMode,
    pub appends: u64,
    pub appends_by_second: std::collections::BTreeMap<u64, u64>,
}

impl TestLog {
    pub fn new() -> Self {
        Self {
            records: Vec::new(),
            mode: LogMode::Up,
            appends: 0,
            appends_by_second: std::collections::BTreeMap::new(),
        }
    }

    pub fn append(&mut self, now: u64, record: ClaimRecord) {
        self.appends += 1;
        *self.appends_by_second.entry(now / 1_000).or_default() += 1;
        self.records.push(record);
    }

    pub fn read(&self, from: LogOffset, max: usize) -> Vec<(LogOffset, ClaimRecord)> {
        let numbered = self.records.iter().enumerate().skip(from.0 as usize);
        numbered
            .take(max)
            .map(|(offset, record)| (LogOffset(offset as u64), record.clone()))
            .collect()
    }

    pub fn end(&self) -> LogOffset {
        LogOffset(self.records.len() as u64)
    }
}
