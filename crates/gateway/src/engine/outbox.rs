//! Records that wait to be appended to one partition. One append is under way at a time, so that
//! records keep their order; an append without an answer is repeated as it is, since the fold takes
//! each record once.

use std::collections::VecDeque;

use bytes::Bytes;
use havenstage_rollout::Millis;
use havenstage_rollout::framing;
use havenstage_rollout::record::BatchRecord;
use havenstage_rollout::stored::Stored;

/// Bytes that each record takes besides its own.
const RECORD_OVERHEAD: usize = 8;
/// Pause before an append is repeated.
const REPEAT_PAUSE_MS: Millis = 120;

/// Limits of an append.
#[derive(Debug, Clone, Copy)]
pub struct AppendLimits {
    /// Most bytes of a record.
    pub record_bytes: usize,
    /// Most bytes of a call.
    pub call_bytes: usize,
}

/// Waiting records of one partition.
#[derive(Debug)]
pub struct Outbox {
    limits: AppendLimits,
    waiting: VecDeque<Vec<Bytes>>,
    in_flight: Option<Vec<Bytes>>,
    not_before: Millis,
    /// When the last append began.
    pub last_append: Millis,
    /// Whether a waiting record should not wait for more.
    pub is_urgent: bool,
    /// When an append was last answered as done.
    written_at: Millis,
}

impl Outbox {
    /// An empty outbox.
    pub fn new(limits: AppendLimits) -> Self {
        Self {
            limits,
            waiting: VecDeque::new(),
            in_flight: None,
            not_before: 0,
            last_append: 0,
            is_urgent: false,
            written_at: 0,
        }
    }

    /// Adds a record; false if it is too large to be appended at all.
    pub fn push(&mut self, record: &BatchRecord) -> bool {
        let pieces = framing::split(&record.encode(), self.limits.record_bytes);
        let fits = size_of(&pieces) <= self.limits.call_bytes;
        if fits {
            self.waiting.push_back(pieces);
        }
        fits
    }

    /// Whether nothing waits and nothing is under way.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_none()
    }

    /// When all that was pushed so far was written; `None` while some of it is not.
    pub fn all_written_at(&self) -> Option<Millis> {
        self.is_empty().then_some(self.written_at)
    }

    /// Whether records wait and none is under way.
    pub fn can_begin_append(&self, now: Millis) -> bool {
        !self.waiting.is_empty() && self.in_flight.is_none() && now >= self.not_before
    }

    /// Takes as many records as fit in a call; they are under way until `finished`.
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

    /// The append ended; after a failure the same records are the next to be appended.
    pub fn finish_append(&mut self, is_done: bool, now: Millis) {
        let Some(call) = self.in_flight.take() else {
            return;
        };
        if is_done {
            self.written_at = now;
        } else {
            self.waiting.push_front(call);
            self.not_before = now + REPEAT_PAUSE_MS;
            self.is_urgent = true;
        }
    }
}

fn size_of(pieces: &[Bytes]) -> usize {
    pieces
        .iter()
        .map(|piece| piece.len() + RECORD_OVERHEAD)
        .sum()
}
