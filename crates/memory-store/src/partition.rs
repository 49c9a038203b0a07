//! One partition of the log.

use std::collections::VecDeque;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_gateway::edge::{Appended, LogError, LogPage};

#[derive(Debug, Clone)]
struct RetainedRecord {
    bytes: Bytes,
    appended_at: Instant,
}

/// Retained records of one partition, ordered by offset.
#[derive(Debug, Default)]
pub(crate) struct Partition {
    /// Offset of the oldest retained record.
    first: u64,
    records: VecDeque<RetainedRecord>,
}

impl Partition {
    /// Offset of the next record to be appended.
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Appends records and returns their offset and the new end of the partition.
    pub(crate) fn append(&mut self, records: Vec<Bytes>, now: Instant) -> Appended {
        let offset = self.end();
        let kept = records.into_iter().map(|bytes| RetainedRecord {
            bytes,
            appended_at: now,
        });
        self.records.extend(kept);
        Appended {
            offset,
            end: self.end(),
        }
    }

    /// Returns the records from an offset on: as many as fit into `max_bytes`, but at least one if there is one.
    /// Returns [`LogError::HistoryDropped`] if the record at that offset was dropped.
    pub(crate) fn read(&self, from: u64, max_bytes: usize) -> Result<LogPage, LogError> {
        let Some(skipped) = from.checked_sub(self.first) else {
            return Err(LogError::HistoryDropped { first: self.first });
        };
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let mut page_bytes = 0_usize;
        let mut records = Vec::new();
        for record in self.records.iter().skip(skipped) {
            page_bytes = page_bytes.saturating_add(record.bytes.len());
            if !records.is_empty() && page_bytes > max_bytes {
                break;
            }
            records.push(record.bytes.clone());
        }
        Ok(LogPage {
            from,
            end: self.end(),
            records,
        })
    }

    /// Drops the records before an offset and returns their total size in bytes.
    pub(crate) fn drop_before(&mut self, offset: u64) -> usize {
        let mut dropped = 0;
        while self.first < offset
            && let Some(record) = self.records.pop_front()
        {
            self.first += 1;
            dropped += record.bytes.len();
        }
        dropped
    }

    /// Drops the records that were appended before `moment` and returns their total size in bytes.
    pub(crate) fn drop_older_than(&mut self, moment: Instant) -> usize {
        let is_old = |record: &&RetainedRecord| record.appended_at < moment;
        let old = self.records.iter().take_while(is_old).count();
        self.drop_before(self.first + old as u64)
    }
}
