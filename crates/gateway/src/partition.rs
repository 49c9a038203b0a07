//! One partition of batches as this node knows it, and how fresh that knowledge is.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::fold::PartitionState;
use havenstage_rollout::framing::Joiner;
use havenstage_rollout::record::BatchRecord;
use tokio::sync::Notify;

use crate::edge::{LogError, LogPage, SharedLog, SteadyClock, StreamPartition};

/// State of a partition, shared by its follower, readers and the owner's work.
pub struct Partition {
    /// Which one it is.
    pub id: StreamPartition,
    inner: Mutex<Inner>,
    changed: Notify,
    work: Arc<Notify>,
}

/// What is behind the lock.
pub struct Inner {
    /// The fold.
    pub state: PartitionState,
    /// Offset of the next record to be read.
    pub next: u64,
    joiner: Joiner,
    confirmed: Option<Millis>,
}

impl Partition {
    /// A partition of which nothing was read yet; changes wake `work`, the owner's task, too.
    pub fn new(id: StreamPartition, work: Arc<Notify>) -> Self {
        let inner = Inner {
            state: PartitionState::default(),
            next: 0,
            joiner: Joiner::default(),
            confirmed: None,
        };
        Self {
            id,
            inner: Mutex::new(inner),
            changed: Notify::new(),
            work,
        }
    }

    /// The state.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes at the next change. Created before looking, so that no change is missed.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// Takes a page that was asked for at `asked`.
    pub fn take_page(&self, page: LogPage, asked: Millis, now: Millis) -> PageOutcome {
        let mut inner = self.lock();
        let mut outcome = PageOutcome {
            applied: 0,
            unreadable: 0,
        };
        if page.from > inner.next {
            // Records that are gone are skipped: they are older than any that can be asked for.
            inner.next = page.from;
        }
        let known = (inner.next - page.from) as usize;
        for record in page.records.into_iter().skip(known) {
            inner.next += 1;
            let Some(value) = inner.joiner.push(record) else {
                continue;
            };
            match BatchRecord::decode(&value) {
                Ok(record) => {
                    inner.state.apply(record, now);
                    outcome.applied += 1;
                }
                Err(_) => outcome.unreadable += 1,
            }
        }
        if inner.next >= page.end {
            inner.confirmed = Some(inner.confirmed.unwrap_or(0).max(asked));
        }
        drop(inner);
        if outcome.applied > 0 {
            self.changed.notify_waiters();
            self.work.notify_one();
        }
        outcome
    }

    /// Skips records that the log no longer has.
    pub fn skip_to(&self, first: u64) {
        let mut inner = self.lock();
        inner.next = inner.next.max(first);
    }

    /// When the question was asked whose answer last showed that nothing is missing here.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.lock().confirmed
    }

    /// Makes sure that all that was in the log `most_age` ago is known here.
    pub async fn confirm(
        &self,
        log: &dyn SharedLog,
        clock: SteadyClock,
        most_age: Duration,
    ) -> Result<(), LogError> {
        let oldest = clock.now().saturating_sub(most_age.as_millis() as Millis);
        while self
            .confirmed_at()
            .is_none_or(|confirmed| confirmed < oldest)
        {
            let from = self.lock().next;
            let asked = clock.now();
            match log.read(self.id, from, Duration::ZERO).await {
                Ok(page) => {
                    self.take_page(page, asked, clock.now());
                }
                Err(LogError::HistoryDropped { first }) => self.skip_to(first),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// What a page brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageOutcome {
    /// Records taken.
    pub applied: usize,
    /// Records that could not be read.
    pub unreadable: usize,
}
