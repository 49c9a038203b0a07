//! One partition of a stream as this node knows it, and how fresh that knowledge is.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::Millis;
use havenstage_rollout::backend_digest::{DigestRecord, DigestState};
use havenstage_rollout::control::ControlState;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::fold::PartitionState;
use havenstage_rollout::framing::Joiner;
use havenstage_rollout::occupancy::{Occupancy, OccupancyRecord};
use havenstage_rollout::record::BatchRecord;
use havenstage_rollout::stored::Stored;
use havenstage_rollout::usage::{UsageRecord, UsageTotals};
use log::warn;
use tokio::sync::Notify;

use crate::edge::{LogError, LogPage, NodeClock, SharedLog, StreamPartition};
use crate::failed_reads::FailedReads;

/// A state that is a fold over the records of a partition.
pub trait StreamState {
    /// Takes the next record's bytes; false if they cannot be read.
    fn take(&mut self, bytes: &[u8], now: Millis) -> bool;

    /// Records behind those that were read, and before the next one, are gone from the log. States that
    /// don't depend on every single record go on.
    fn missed_records(&mut self, _now: Millis) {}
}

impl StreamState for PartitionState {
    fn take(&mut self, bytes: &[u8], now: Millis) -> bool {
        let record = BatchRecord::decode(bytes);
        record.map(|record| self.apply(record, now)).is_ok()
    }

    fn missed_records(&mut self, now: Millis) {
        PartitionState::drop_incomplete_batches(self, now);
    }
}

impl StreamState for ControlState {
    fn take(&mut self, bytes: &[u8], now: Millis) -> bool {
        let record = ControlRecord::decode(bytes);
        record.map(|record| self.apply(record, now)).is_ok()
    }
}

impl StreamState for DigestState {
    fn take(&mut self, bytes: &[u8], now: Millis) -> bool {
        let record = DigestRecord::decode(bytes);
        record.map(|record| self.apply(record, now)).is_ok()
    }
}

impl StreamState for Occupancy {
    fn take(&mut self, bytes: &[u8], now: Millis) -> bool {
        let record = OccupancyRecord::decode(bytes);
        record.map(|record| self.apply(record, now)).is_ok()
    }
}

impl StreamState for UsageTotals {
    fn take(&mut self, bytes: &[u8], _now: Millis) -> bool {
        let record = UsageRecord::decode(bytes);
        record.map(|record| self.apply(record)).is_ok()
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
    /// Whether this node's own work needs the partition.
    is_needed: AtomicBool,
    /// Whether a task follows it.
    has_follower: AtomicBool,
    wakes: Arc<Notify>,
    /// Held while a question is asked, so that all who wait for its answer share one call.
    confirming: tokio::sync::Mutex<()>,
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
    is_caught_up: bool,
    failed: FailedReads,
    /// Whether it was told that the first records were gone before anything was read.
    has_told_lost_beginning: bool,
    /// Time between two reads that is nothing unusual.
    pub expected_read_interval_ms: Millis,
}

impl<S> ViewInner<S> {
    /// When the question was asked whose answer last showed that nothing is missing here.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed
    }

    /// Until when what is known here may be acted on, if it may up to `most_age` after it was confirmed;
    /// `None` if it never was. Reads that fail here change nothing: the log may serve other nodes.
    pub fn usable_until(&self, most_age: Millis) -> Option<Millis> {
        self.confirmed.map(|confirmed| confirmed + most_age)
    }

    /// Whether the state is the fold of whole values up to `next`, with none half read.
    pub fn is_between_values(&self) -> bool {
        self.joiner.is_between_values()
    }

    /// Whether all that was in the log at that time is known here.
    fn is_known_since(&self, oldest: Millis) -> bool {
        self.confirmed.is_some_and(|at| at >= oldest)
    }

    fn is_current(&self, now: Millis) -> bool {
        let longest_gap = LONGEST_GAP_MS + self.expected_read_interval_ms;
        self.last_success > 0 && now.saturating_sub(self.last_success) <= longest_gap
    }
}

impl<S: StreamState> ViewInner<S> {
    /// Skips the records before `first`, which were dropped before they were read here. Answers the offset
    /// from which they were skipped, if that is to be told.
    fn skip_to(&mut self, first: u64, now: Millis) -> Option<u64> {
        if first <= self.next {
            return None;
        }
        let from = std::mem::replace(&mut self.next, first);
        self.joiner = Joiner::default();
        // A partition whose beginning is past its retention is whole from the first record kept on.
        if from > 0 {
            self.state.missed_records(now);
        }
        self.tells_skip(from).then_some(from)
    }

    /// A partition whose beginning is past its retention is read from 0 again each time that it was
    /// forgotten and somebody asks: that is told once in the life of the process.
    fn tells_skip(&mut self, from: u64) -> bool {
        from > 0 || !std::mem::replace(&mut self.has_told_lost_beginning, true)
    }
}

/// Time between two successful reads up to which nothing can have been missed.
const LONGEST_GAP_MS: Millis = 2_500;

/// Time for which a partition that was asked about is followed, and read without waits: a little
/// longer than a reader may wait.
const WANTED_MS: Millis = 1_200;

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
            is_caught_up: false,
            failed: FailedReads::default(),
            has_told_lost_beginning: false,
            expected_read_interval_ms: 0,
        };
        Self {
            id,
            inner: Mutex::new(inner),
            changed: Notify::new(),
            wanted: Notify::new(),
            wanted_until: AtomicU64::new(0),
            is_needed: AtomicBool::new(false),
            has_follower: AtomicBool::new(false),
            wakes,
            confirming: tokio::sync::Mutex::new(()),
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

    /// Whether somebody asked about this partition a moment ago.
    pub fn is_wanted(&self, now: Millis) -> bool {
        self.wanted_until.load(Ordering::Relaxed) > now
    }

    /// Says whether this node's own work needs the partition.
    pub fn set_needed(&self, is_needed: bool) {
        self.is_needed.store(is_needed, Ordering::Relaxed);
    }

    /// Whether the partition is to be followed: this node's own work needs it, or somebody asks.
    pub fn is_followed(&self, now: Millis) -> bool {
        self.is_needed.load(Ordering::Relaxed) || self.is_wanted(now)
    }

    /// Whether a task must be started to follow it; there is one at a time.
    pub fn begin_following(&self) -> bool {
        !self.has_follower.swap(true, Ordering::AcqRel)
    }

    /// Whether the task that follows it may end: nobody needs it, and none that asks from now on
    /// relies on this task.
    pub fn end_following(&self, now: Millis) -> bool {
        if self.is_followed(now) {
            return false;
        }
        self.has_follower.store(false, Ordering::Release);
        !(self.is_followed(now) && self.begin_following())
    }

    /// Waits between two reads, unless somebody asks about this partition.
    pub async fn wait_between_reads(&self, gap: Duration, now: Millis) {
        if gap.is_zero() || self.is_wanted(now) {
            return;
        }
        // A wish ends the wait early.
        let _ = tokio::time::timeout(gap, self.wanted.notified()).await;
    }

    /// Takes a page that was asked for at `asked`.
    pub fn apply_page(&self, page: LogPage, asked: Millis, now: Millis) -> PageOutcome {
        let mut inner = self.lock();
        if !inner.is_current(now) {
            inner.readable_since = now;
        }
        inner.last_success = now;
        let mut outcome = PageOutcome {
            applied: 0,
            unreadable: 0,
        };
        let skipped_from = inner.skip_to(page.from, now);
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
        inner.is_caught_up = inner.next >= page.end;
        if inner.is_caught_up {
            inner.confirmed = Some(inner.confirmed.unwrap_or(0).max(asked));
        }
        drop(inner);
        self.tell_skip(skipped_from, page.from);
        if outcome.applied > 0 {
            self.changed.notify_waiters();
            self.wakes.notify_one();
        }
        outcome
    }

    /// Takes a state up instead of reading the records before `next`; false if more is known here.
    pub fn restore(&self, state: S, next: u64) -> bool {
        let mut inner = self.lock();
        let is_ahead = next > inner.next;
        if is_ahead {
            inner.state = state;
            inner.next = next;
            inner.joiner = Joiner::default();
            inner.is_caught_up = false;
        }
        drop(inner);
        self.wakes.notify_one();
        is_ahead
    }

    /// A read failed: what was not seen until the next success may have been there.
    pub fn read_failed(&self) {
        self.lock().last_success = 0;
    }

    /// Whether the partition is read at this time, without a gap.
    pub fn is_current(&self, now: Millis) -> bool {
        self.lock().is_current(now)
    }

    /// Whether what is known here may be acted on: it is at most `most_age` old.
    pub fn is_usable(&self, now: Millis, most_age: Millis) -> bool {
        let until = self.lock().usable_until(most_age);
        until.is_some_and(|until| now <= until)
    }

    /// Whether there is more to be read than what comes in as it is written.
    pub fn is_behind(&self, now: Millis) -> bool {
        let inner = self.lock();
        !inner.is_caught_up || !inner.is_current(now)
    }

    /// Since when the log could be read without a gap; `None` if it is not read at this time.
    pub fn readable_since(&self, now: Millis) -> Option<Millis> {
        let inner = self.lock();
        inner.is_current(now).then_some(inner.readable_since)
    }

    /// Skips records that the log no longer has.
    pub fn skip_to(&self, first: u64, now: Millis) {
        let skipped_from = self.lock().skip_to(first, now);
        self.tell_skip(skipped_from, first);
    }

    /// What those records said is not known here, though they were acknowledged.
    fn tell_skip(&self, skipped_from: Option<u64>, first: u64) {
        let Some(from) = skipped_from else {
            return;
        };
        warn!(event = "history_skipped", partition = self.id.to_string().as_str(), from = from,
            first = first; "");
    }

    /// Makes sure that all that was in the log `most_age` ago is known here. Those who ask at the same
    /// time share a call and its failure.
    pub async fn confirm(
        &self,
        log: &dyn SharedLog,
        clock: NodeClock,
        most_age: Duration,
    ) -> Result<(), LogError> {
        self.confirm_since(log, clock, oldest(clock, most_age))
            .await
    }

    /// The same for callers who wait: a failure is no answer to them while the next try may still reach
    /// them, so the log is asked again until `until`. Loading a partition takes several reads in a row;
    /// those that succeeded are not repeated.
    pub async fn confirm_until(
        &self,
        log: &dyn SharedLog,
        clock: NodeClock,
        most_age: Duration,
        until: Instant,
    ) -> Result<(), LogError> {
        let oldest = oldest(clock, most_age);
        loop {
            if self.lock().is_known_since(oldest) {
                return Ok(());
            }
            let failed = self.lock().failed.waiting_to_retry(clock.now());
            if let Some(failed) = failed {
                let pause = Duration::from_millis(failed.retry_at.saturating_sub(clock.now()));
                if Instant::now() + pause >= until {
                    return Err(failed.error);
                }
                tokio::time::sleep(pause).await;
                // Another caller's try may have failed meanwhile, and counts for this one too.
                continue;
            }
            match self.confirm_since(log, clock, oldest).await {
                Err(_) if Instant::now() < until => {}
                outcome => return outcome,
            }
        }
    }

    async fn confirm_since(
        &self,
        log: &dyn SharedLog,
        clock: NodeClock,
        oldest: Millis,
    ) -> Result<(), LogError> {
        let failures = self.lock().failed.count();
        if self.lock().is_known_since(oldest) {
            return Ok(());
        }
        let _turn = self.confirming.lock().await;
        if let Some(error) = self.lock().failed.failure_since(failures) {
            return Err(error);
        }
        while !self.lock().is_known_since(oldest) {
            let from = self.lock().next;
            let asked = clock.now();
            match log.read(self.id, from, Duration::ZERO).await {
                Ok(page) => {
                    self.apply_page(page, asked, clock.now());
                    self.lock().failed.record_success();
                }
                // One that leads no further is a failure, else this loop would never end.
                Err(LogError::HistoryDropped { first }) if first > from => {
                    self.skip_to(first, clock.now());
                }
                Err(error) => {
                    self.lock().failed.record_failure(error, clock.now());
                    return Err(error);
                }
            }
        }
        Ok(())
    }
}

impl StreamView<PartitionState> {
    /// Forgets all, if every batch was first seen before `before`: the partition is read from its start
    /// when somebody asks again, so that nothing is forgotten here that the log still holds. Only for a
    /// partition that no task follows; one that is being read is left as it is, since the page on its way
    /// begins where this node was.
    pub fn forget_if_older_than(&self, before: Millis) {
        let Ok(_turn) = self.confirming.try_lock() else {
            return;
        };
        let mut inner = self.lock();
        if inner.next > 0 && inner.state.is_older_than(before) {
            inner.state = PartitionState::default();
            inner.next = 0;
            inner.joiner = Joiner::default();
            inner.confirmed = None;
            inner.is_caught_up = false;
        }
    }
}

/// When the question must have been asked whose answer is at most `most_age` old.
fn oldest(clock: NodeClock, most_age: Duration) -> Millis {
    clock.now().saturating_sub(most_age.as_millis() as Millis)
}
