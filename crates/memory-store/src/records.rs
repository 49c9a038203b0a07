//! All partitions of the log, with a limit on their total size.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_gateway::edge::{Appended, LogError, LogPage, StreamPartition};

use crate::partition::Partition;
use crate::settings::MemoryStoreSettings;

/// Number of times per retention period that expired records are dropped.
const SWEEPS_PER_RETENTION: u32 = 10;
/// HTTP status of an append that exceeds the size limit: 507 Insufficient Storage.
const INSUFFICIENT_STORAGE: u16 = 507;

/// Partitions of the log and their total size.
#[derive(Debug)]
pub(crate) struct Records {
    retention: Duration,
    page_bytes: usize,
    max_bytes: usize,
    partitions: HashMap<StreamPartition, Partition>,
    /// Total size of all retained records, in bytes.
    bytes: usize,
    swept_at: Instant,
}

impl Records {
    /// Creates an empty log.
    pub(crate) fn new(settings: &MemoryStoreSettings) -> Self {
        Self {
            retention: settings.retention,
            page_bytes: settings.read_page_bytes,
            max_bytes: settings.most_bytes,
            partitions: HashMap::new(),
            bytes: 0,
            swept_at: Instant::now(),
        }
    }

    /// Appends records to a partition atomically. Returns [`LogError::Refused`] with status 507 if they exceed the size
    /// limit.
    pub(crate) fn append(
        &mut self,
        id: StreamPartition,
        records: Vec<Bytes>,
        now: Instant,
    ) -> Result<Appended, LogError> {
        self.drop_expired(now);
        let added: usize = records.iter().map(Bytes::len).sum();
        if self.bytes.saturating_add(added) > self.max_bytes {
            return Err(LogError::Refused(INSUFFICIENT_STORAGE));
        }
        self.bytes += added;
        let partition = self.partitions.entry(id).or_default();
        Ok(partition.append(records, now))
    }

    /// Returns a page of the records of a partition from an offset on; an empty one if the partition doesn't exist.
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

    /// Drops expired records in all partitions, because a partition without new appends also holds expired records.
    fn drop_expired(&mut self, now: Instant) {
        let Some(oldest) = now.checked_sub(self.retention) else {
            return;
        };
        if now - self.swept_at < self.retention / SWEEPS_PER_RETENTION {
            return;
        }
        self.swept_at = now;
        for partition in self.partitions.values_mut() {
            self.bytes -= partition.drop_older_than(oldest);
        }
    }
}
