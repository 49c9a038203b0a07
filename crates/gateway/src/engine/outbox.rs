//! Records that wait to be appended to one partition. Only one append is in flight at a time, so that records keep
//! their order. A failed append is retried unchanged even if it may have reached the log, since the state that is
//! built from the log accepts each record only once.

use std::collections::VecDeque;

use bytes::Bytes;
use havenstage_rollout::Millis;
use havenstage_rollout::framing;
use havenstage_rollout::record::BatchRecord;
use havenstage_rollout::stored::Stored;

/// Overhead of the log per record, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 8;
/// Pause before a failed append is retried.
const RETRY_PAUSE_MS: Millis = 120;

/// Size limits of an append.
#[derive(Debug, Clone, Copy)]
pub struct AppendLimits {
    /// Maximum size of one record of the log, in bytes. Larger records are split.
    pub record_bytes: usize,
    /// Maximum size of one call to the log, in bytes.
    pub call_bytes: usize,
}

/// Queue of records to be appended to one partition.
#[derive(Debug)]
pub struct Outbox {
    limits: AppendLimits,
    waiting: VecDeque<Vec<Bytes>>,
    in_flight: Option<Vec<Bytes>>,
    retry_not_before: Millis,
    /// When the last append began, by the node's clock; 0 before the first.
    pub last_append: Millis,
    /// Whether a record should be appended soon instead of waiting for more records.
    pub is_urgent: bool,
    /// When an append last succeeded.
    written_at: Millis,
}

impl Outbox {
    /// Creates an empty outbox.
    pub fn new(limits: AppendLimits) -> Self {
        Self {
            limits,
            waiting: VecDeque::new(),
            in_flight: None,
            retry_not_before: 0,
            last_append: 0,
            is_urgent: false,
            written_at: 0,
        }
    }

    /// Adds a record. Returns false, and drops the record, if it is too large for a call to the log.
    pub fn push(&mut self, record: &BatchRecord) -> bool {
        let pieces = framing::split(&record.encode(), self.limits.record_bytes);
        let fits = size_of(&pieces) <= self.limits.call_bytes;
        if fits {
            self.waiting.push_back(pieces);
        }
        fits
    }

    /// Whether no record waits and no append is in flight.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_none()
    }

    /// When the last append succeeded, if all records added so far are written; `None` if some are not.
    pub fn all_written_at(&self) -> Option<Millis> {
        self.is_empty().then_some(self.written_at)
    }

    /// Whether an append may begin: records wait, none is in flight, and the pause after a failure is over.
    pub fn can_begin_append(&self, now: Millis) -> bool {
        !self.waiting.is_empty() && self.in_flight.is_none() && now >= self.retry_not_before
    }

    /// Takes as many records as fit in a call. They are in flight until
    /// [`finish_append`](Self::finish_append).
    pub fn begin_append(&mut self, now: Millis) -> Vec<Bytes> {
        let mut call: Vec<Bytes> = Vec::new();
        let mut bytes = 0;
        while let Some(next) = self.waiting.front() {
            let size = size_of(next);
            if !call.is_empty() && bytes + size > self.limits.call_bytes {
                break;
            }
            bytes += size;
            call.extend(self.waiting.pop_front().unwrap_or_default());
        }
        self.in_flight = Some(call.clone());
        self.last_append = now;
        self.is_urgent = false;
        call
    }

    /// Ends the append in flight. After a failure the same records are appended again, before all others.
    pub fn finish_append(&mut self, is_done: bool, now: Millis) {
        let Some(call) = self.in_flight.take() else {
            return;
        };
        if is_done {
            self.written_at = now;
        } else {
            self.waiting.push_front(call);
            self.retry_not_before = now + RETRY_PAUSE_MS;
            self.is_urgent = true;
        }
    }
}

fn size_of(pieces: &[Bytes]) -> usize {
    pieces
        .iter()
        .map(|piece| piece.len() + RECORD_OVERHEAD_BYTES)
        .sum()
}
