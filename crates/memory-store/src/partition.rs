//! One partition of the log.

use std::collections::VecDeque;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_gateway::edge::{Appended, LogError, LogPage};

/// A record and when it was appended.
#[derive(Debug, Clone)]
struct KeptRecord {
    bytes: Bytes,
    appended_at: Instant,
}

/// Records in the order of their offsets, without those that were dropped.
#[derive(Debug, Default)]
pub(crate) struct Partition {
    /// Offset of the oldest record kept.
    first: u64,
    records: VecDeque<KeptRecord>,
}

impl Partition {
    /// Offset behind the last record.
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Appends records behind the last one.
    pub(crate) fn append(&mut self, records: Vec<Bytes>, now: Instant) -> Appended {
        let offset = self.end();
        let kept = records.into_iter().map(|bytes| KeptRecord {
            bytes,
            appended_at: now,
        });
        self.records.extend(kept);
        Appended {
            offset,
            end: self.end(),
        }
    }

    /// Records from an offset on, up to so many bytes and at least one if there is one.
    pub(crate) fn read(&self, from: u64, most_bytes: usize) -> Result<LogPage, LogError> {
        let Some(skipped) = from.checked_sub(self.first) else {
            return Err(LogError::HistoryDropped { first: self.first });
        };
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let mut page_bytes = 0_usize;
        let mut records = Vec::new();
        for record in self.records.iter().skip(skipped) {
            page_bytes = page_bytes.saturating_add(record.bytes.len());
            if !records.is_empty() && page_bytes > most_bytes {
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

    /// Drops the records before an offset; answers the bytes that they held.
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

    /// Drops the records that were appended before a moment; answers the bytes that they held.
    pub(crate) fn drop_older_than(&mut self, moment: Instant) -> usize {
        let is_old = |record: &&KeptRecord| record.appended_at < moment;
        let old = self.records.iter().take_while(is_old).count();
        self.drop_before(self.first + old as u64)
    }
}
