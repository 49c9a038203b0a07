//! Moving committed entries to the log: one bounded batch at a time, read back before the next.

use havenstage_types::clock::Moment;
use havenstage_types::ids::EntryIndex;

use crate::action::{BatchEnd, ReplicaAction};
use crate::command::Command;
use crate::replica::Replica;

/// Doublings after which the pause between failed appends has certainly reached its maximum.
const MAX_DOUBLINGS: u32 = 16;

/// Where flushing stands.
#[derive(Debug, Clone)]
pub(crate) struct FlushState {
    /// The batch under way.
    batch: Option<BatchUnderWay>,
    next_batch: u64,
    /// Not before this.
    at: Moment,
    failures: u32,
}

#[derive(Debug, Clone)]
struct BatchUnderWay {
    number: u64,
    last: EntryIndex,
    /// Once the log took it: until when it must be read back.
    read_back_by: Option<Moment>,
}

impl FlushState {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            batch: None,
            next_batch: 0,
            at: now,
            failures: 0,
        }
    }
}

impl<C: Command> Replica<C> {
    /// Begins a batch if there is one to write and this member should.
    pub(crate) fn flush_due(&mut self, now: Moment) {
        self.give_up_read_back(now);
        let has_backlog = self.committed > self.logged;
        if !has_backlog || self.flush.batch.is_some() || now < self.flush.at {
            return;
        }
        if !self.should_flush(now) {
            return;
        }
        let first_index = self.logged.next();
        let entries = self.sequence.slice(
            first_index,
            self.committed,
            self.settings.max_batch_entries,
            self.settings.max_batch_bytes,
        );
        let batch = self.flush.next_batch;
        self.flush.next_batch += 1;
        self.flush.batch = Some(BatchUnderWay {
            number: batch,
            last: EntryIndex(self.logged.0 + entries.len() as u64),
            read_back_by: None,
        });
        self.outbox.push(ReplicaAction::WriteBatch {
            batch,
            first_index,
            entries,
        });
    }

    /// The leader flushes; any member does when there has been no leader for long. Batches hold
    /// committed entries only, so it does no harm when several members flush.
    fn should_flush(&self, now: Moment) -> bool {
        self.is_leader() || now >= self.takeover_at()
    }

    fn takeover_at(&self) -> Moment {
        self.leader_heard_at + self.settings.takeover_after
    }

    pub(crate) fn take_batch_end(&mut self, now: Moment, number: u64, end: BatchEnd) {
        let Some(batch) = &mut self.flush.batch else {
            return;
        };
        if batch.number != number {
            return;
        }
        match end {
            BatchEnd::Taken => {
                batch.read_back_by = Some(now + self.settings.read_back_timeout);
            }
            BatchEnd::Failed => {
                self.flush.batch = None;
                self.pause_after_failure(now);
            }
        }
    }

    /// The log was read: the batch under way may be there.
    pub(crate) fn note_read_back(&mut self, now: Moment) {
        let logged = self.logged;
        let batch = self.flush.batch.as_ref();
        if batch.is_none_or(|batch| batch.last > logged) {
            return;
        }
        self.flush.batch = None;
        self.flush.failures = 0;
        let is_caught_up = self.backlog() <= self.settings.max_batch_entries as u64;
        self.flush.at = if is_caught_up {
            now
        } else {
            let wait = self.random_wait(self.settings.flush_pause * 2 / 3);
            now + wait
        };
    }

    fn give_up_read_back(&mut self, now: Moment) {
        let read_back_by = self
            .flush
            .batch
            .as_ref()
            .and_then(|batch| batch.read_back_by);
        if read_back_by.is_some_and(|by| by <= now) {
            self.flush.batch = None;
            self.pause_after_failure(now);
        }
    }

    fn pause_after_failure(&mut self, now: Moment) {
        let doublings = self.flush.failures.min(MAX_DOUBLINGS);
        let pause = self.settings.flush_retry * 2u32.pow(doublings);
        let longest = self.settings.max_flush_retry.min(pause);
        self.flush.failures += 1;
        let wait = self.random_wait(longest / 2);
        self.flush.at = now + wait;
    }

    /// When flushing has something to do.
    pub(crate) fn next_flush(&self, now: Moment) -> Option<Moment> {
        if let Some(batch) = &self.flush.batch {
            return batch.read_back_by;
        }
        if self.committed <= self.logged {
            return None;
        }
        if self.should_flush(now) {
            return Some(self.flush.at);
        }
        Some(self.takeover_at().max(self.flush.at))
    }
}
