//! All partitions of the log, with a bound on what they hold together.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_gateway::edge::{Appended, LogError, LogPage, StreamPartition};

use crate::partition::Partition;
use crate::settings::MemoryStoreSettings;

/// Looks for old records in each time of retention.
const SWEEPS_IN_RETENTION: u32 = 10;
/// Status of an append for which there is no room: 507 Insufficient Storage.
const INSUFFICIENT_STORAGE: u16 = 507;

/// The partitions.
#[derive(Debug)]
pub(crate) struct Records {
    retention: Duration,
    page_bytes: usize,
    most_bytes: usize,
    partitions: HashMap<StreamPartition, Partition>,
    /// Bytes of all records kept.
    bytes: usize,
    swept_at: Instant,
}

impl Records {
    /// No records yet.
    pub(crate) fn new(settings: &MemoryStoreSettings) -> Self {
        Self {
            retention: settings.retention,
            page_bytes: settings.read_page_bytes,
            most_bytes: settings.most_bytes,
            partitions: HashMap::new(),
            bytes: 0,
            swept_at: Instant::now(),
        }
    }

    /// Appends records to a partition, all or none.
    pub(crate) fn append(
        &mut self,
        id: StreamPartition,
        records: Vec<Bytes>,
        now: Instant,
    ) -> Result<Appended, LogError> {
        self.drop_old(now);
        let added: usize = records.iter().map(Bytes::len).sum();
        if self.bytes.saturating_add(added) > self.most_bytes {
            return Err(LogError::Refused(INSUFFICIENT_STORAGE));
        }
        self.bytes += added;
        let partition = self.partitions.entry(id).or_default();
        Ok(partition.append(records, now))
    }

    /// Records of a partition from an offset on.
    pub(crate) fn read(&self, id: StreamPartition, from: u64) -> Result<LogPage, LogError> {
        match self.partitions.get(&id) {
            Some(partition) => partition.read(from, self.page_bytes),
            None => Ok(LogPage {
                from,
                end: 0,
                records: Vec::new(),
            }),
        }
    }

    /// Drops the records of a partition before an offset.
    pub(crate) fn drop_before(&mut self, id: StreamPartition, offset: u64) {
        if let Some(partition) = self.partitions.get_mut(&id) {
            self.bytes -= partition.drop_before(offset);
        }
    }

    /// Drops what is past its retention, in all partitions: one that nobody appends to holds old records too.
    fn drop_old(&mut self, now: Instant) {
        let Some(oldest) = now.checked_sub(self.retention) else {
            return;
        };
        if now - self.swept_at < self.retention / SWEEPS_IN_RETENTION {
            return;
        }
        self.swept_at = now;
        for partition in self.partitions.values_mut() {
            self.bytes -= partition.drop_older_than(oldest);
        }
    }
}
