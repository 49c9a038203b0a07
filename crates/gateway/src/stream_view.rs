//! One partition of a stream as this node knows it, and how fresh that knowledge is.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::fold::PartitionState;
use havenstage_rollout::framing::Joiner;
use havenstage_rollout::orders::{OrderRecord, OrderState};
use havenstage_rollout::record::BatchRecord;
use tokio::sync::Notify;

use crate::edge::{LogError, LogPage, SharedLog, SteadyClock, StreamPartition};

/// A state that is a fold over the records of a partition.
pub trait StreamState {
    /// Takes the next record's bytes; false if they cannot be read.
    fn take(&mut self, bytes: &[u8], now: Millis) -> bool;
}

impl StreamState for PartitionState {
    fn take(&mut self, bytes: &[u8], now: Millis) -> bool {
        let record = BatchRecord::decode(bytes);
        record.map(|record| self.apply(record, now)).is_ok()
    }
}

impl StreamState for OrderState {
    fn take(&mut self, bytes: &[u8], now: Millis) -> bool {
        let record = OrderRecord::decode(bytes);
        record.map(|record| self.apply(record, now)).is_ok()
    }
}

/// A partition's state, shared by its follower and all that look at it.
pub struct StreamView<S> {
    /// Which partition it is.
    pub id: StreamPartition,
    inner: Mutex<ViewInner<S>>,
    changed: Notify,
    wanted: Notify,
    wanted_until: AtomicU64,
    wakes: Arc<Notify>,
}

/// What is behind the lock.
pub struct ViewInner<S> {
    /// The fold.
    pub state: S,
    /// Offset of the next record to be read.
    pub next: u64,
    joiner: Joiner,
    confirmed: Option<Millis>,
    last_success: Millis,
    readable_since: Millis,
    /// Time between two reads that is nothing unusual.
    pub usual_gap_ms: Millis,
}

impl<S> ViewInner<S> {
    /// When the question was asked whose answer last showed that nothing is missing here.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed
    }
}

/// Time between two successful reads up to which nothing can have been missed.
const LONGEST_GAP_MS: Millis = 2_500;

/// Time for which a partition that was asked about is read without waits.
const WANTED_MS: Millis = 3_000;

/// What a page brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageOutcome {
    /// Records taken.
    pub applied: usize,
    /// Records that could not be read.
    pub unreadable: usize,
}

impl<S: StreamState> StreamView<S> {
    /// A partition of which nothing was read yet; changes wake `wakes`, the task that acts on them.
    pub fn new(id: StreamPartition, state: S, wakes: Arc<Notify>) -> Self {
        let inner = ViewInner {
            state,
            next: 0,
            joiner: Joiner::default(),
            confirmed: None,
            last_success: 0,
            readable_since: 0,
            usual_gap_ms: 0,
        };
        Self {
            id,
            inner: Mutex::new(inner),
            changed: Notify::new(),
            wanted: Notify::new(),
            wanted_until: AtomicU64::new(0),
            wakes,
        }
    }

    /// The state.
    pub fn lock(&self) -> MutexGuard<'_, ViewInner<S>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes at the next change.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// Somebody asks about this partition: it is read without waits for a while.
    pub fn want(&self, now: Millis) {
        self.wanted_until
            .fetch_max(now + WANTED_MS, Ordering::Relaxed);
        self.wanted.notify_one();
    }

    /// Waits between two reads, unless somebody asks about this partition.
    pub async fn wait_between_reads(&self, gap: Duration, now: Millis) {
        if gap.is_zero() || self.wanted_until.load(Ordering::Relaxed) > now {
            return;
        }
        // A wish ends the wait early.
        let _ = tokio::time::timeout(gap, self.wanted.notified()).await;
    }

    /// Takes a page that was asked for at `asked`.
    pub fn take_page(&self, page: LogPage, asked: Millis, now: Millis) -> PageOutcome {
        let mut inner = self.lock();
        let longest_gap = LONGEST_GAP_MS + inner.usual_gap_ms;
        if now.saturating_sub(inner.last_success) > longest_gap {
            inner.readable_since = now;
        }
        inner.last_success = now;
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
            if inner.state.take(&value, now) {
                outcome.applied += 1;
            } else {
                outcome.unreadable += 1;
            }
        }
        if inner.next >= page.end {
            inner.confirmed = Some(inner.confirmed.unwrap_or(0).max(asked));
        }
        drop(inner);
        if outcome.applied > 0 {
            self.changed.notify_waiters();
            self.wakes.notify_one();
        }
        outcome
    }

    /// A read failed: what was not seen until the next success may have been there.
    pub fn read_failed(&self) {
        self.lock().last_success = 0;
    }

    /// Since when the log could be read without a gap; `None` if the last read failed.
    pub fn readable_since(&self) -> Option<Millis> {
        let inner = self.lock();
        (inner.last_success > 0).then_some(inner.readable_since)
    }

    /// Skips records that the log no longer has.
    pub fn skip_to(&self, first: u64) {
        let mut inner = self.lock();
        inner.next = inner.next.max(first);
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
            .lock()
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
