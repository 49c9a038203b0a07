//! This node's copy of one log partition: the state folded from its records, and how current that state is.

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

/// A state that is built by applying the records of a partition in order.
pub trait StreamState {
    /// Decodes and applies the next record; false if it cannot be decoded.
    fn apply_bytes(&mut self, bytes: &[u8], now: Millis) -> bool;

    /// Called when the log has dropped records between the last one applied and the next one. By default the state is
    /// kept, for states that don't depend on every single record.
    fn handle_dropped_records(&mut self, _now: Millis) {}

    /// Called when the log has dropped the first records of a partition of which nothing was read here. By default the
    /// state counts as complete from the first record that the log retains.
    fn handle_dropped_beginning(&mut self) {}

    /// Whether the state may be acted on: no record is missing that it depends on.
    fn is_complete(&self) -> bool {
        true
    }
}

impl StreamState for PartitionState {
    fn apply_bytes(&mut self, bytes: &[u8], now: Millis) -> bool {
        let record = BatchRecord::decode(bytes);
        record.map(|record| self.apply(record, now)).is_ok()
    }

    fn handle_dropped_records(&mut self, now: Millis) {
        PartitionState::drop_incomplete_batches(self, now);
    }
}

impl StreamState for ControlState {
    fn apply_bytes(&mut self, bytes: &[u8], now: Millis) -> bool {
        let record = ControlRecord::decode(bytes);
        record.map(|record| self.apply(record, now)).is_ok()
    }
}

impl StreamState for DigestState {
    fn apply_bytes(&mut self, bytes: &[u8], now: Millis) -> bool {
        let record = DigestRecord::decode(bytes);
        record.map(|record| self.apply(record, now)).is_ok()
    }

    fn handle_dropped_records(&mut self, _now: Millis) {
        self.mark_incomplete();
    }

    fn handle_dropped_beginning(&mut self) {
        self.mark_incomplete();
    }

    fn is_complete(&self) -> bool {
        DigestState::is_complete(self)
    }
}

impl StreamState for Occupancy {
    fn apply_bytes(&mut self, bytes: &[u8], now: Millis) -> bool {
        let record = OccupancyRecord::decode(bytes);
        record.map(|record| self.apply(record, now)).is_ok()
    }
}

impl StreamState for UsageTotals {
    fn apply_bytes(&mut self, bytes: &[u8], _now: Millis) -> bool {
        let record = UsageRecord::decode(bytes);
        record.map(|record| self.apply(record)).is_ok()
    }
}

/// A partition's state, shared by the task that follows the partition and all readers of the state.
pub struct StreamView<S> {
    /// The partition that this view shows.
    pub id: StreamPartition,
    inner: Mutex<ViewInner<S>>,
    changed: Notify,
    wanted: Notify,
    wanted_until: AtomicU64,
    /// Whether this node's own work needs the partition.
    is_needed: AtomicBool,
    /// Whether a task follows the partition.
    has_follower: AtomicBool,
    wakes: Arc<Notify>,
    /// Held during a read that confirms the state, so that concurrent requests share one read.
    confirming: tokio::sync::Mutex<()>,
}

/// The part of a view that its lock protects.
pub struct ViewInner<S> {
    /// State after all records before `next`.
    pub state: S,
    /// Offset in the log of the next record to be read.
    pub next: u64,
    joiner: Joiner,
    confirmed: Option<Millis>,
    last_success: Millis,
    readable_since: Millis,
    is_caught_up: bool,
    /// Offset of the first record that the log retained when it last reported dropped ones.
    first_retained: u64,
    failed: FailedReads,
    /// Whether it was already logged that the partition's first records were dropped before anything was read.
    has_logged_lost_beginning: bool,
    /// Expected time between two reads in milliseconds, set by the follower. It extends the gap after which the
    /// partition counts as not being read.
    pub expected_read_interval_ms: Millis,
}

impl<S> ViewInner<S> {
    /// Start time of the last read whose answer showed that the state holds all records of the log; `None` before
    /// the first one.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed
    }

    /// Time until which this node may act on the state, which is `max_age` after it was last confirmed; `None` if it
    /// never was. Failed reads don't change this: the log may still serve other nodes.
    pub fn usable_until(&self, max_age: Millis) -> Option<Millis> {
        self.confirmed.map(|confirmed| confirmed + max_age)
    }

    /// Whether every value read so far is complete. A value may be split over several records, and the state is
    /// only consistent with `next` between two values.
    pub fn is_between_values(&self) -> bool {
        self.joiner.is_between_values()
    }

    /// Whether the state holds all records that were in the log at time `oldest`.
    fn is_known_since(&self, oldest: Millis) -> bool {
        self.confirmed.is_some_and(|at| at >= oldest)
    }

    fn is_current(&self, now: Millis) -> bool {
        let max_gap_ms = MAX_READ_GAP_MS + self.expected_read_interval_ms;
        self.last_success > 0 && now.saturating_sub(self.last_success) <= max_gap_ms
    }
}

impl<S: StreamState> ViewInner<S> {
    /// Skips the records before `first`, which the log dropped before they were read here. Returns the offset
    /// from which records were skipped, if that is to be logged.
    fn skip_to(&mut self, first: u64, now: Millis) -> Option<u64> {
        if first <= self.next {
            return None;
        }
        let from = std::mem::replace(&mut self.next, first);
        self.first_retained = first;
        self.joiner = Joiner::default();
        match from {
            0 => self.state.handle_dropped_beginning(),
            _ => self.state.handle_dropped_records(now),
        }
        self.should_log_skip(from).then_some(from)
    }

    /// Whether to log a skip. A partition that was forgotten is read from offset 0 again when it is requested; if its
    /// beginning is past the log's retention, that skip is logged only once per process.
    fn should_log_skip(&mut self, from: u64) -> bool {
        from > 0 || !std::mem::replace(&mut self.has_logged_lost_beginning, true)
    }
}

/// Maximum time between two successful reads, besides the expected interval, for the partition to count as read
/// without a gap.
const MAX_READ_GAP_MS: Millis = 2_500;

/// Time after a request during which the partition is followed and read without pauses; a little longer
/// than a reader may wait.
const WANTED_MS: Millis = 1_200;

/// Counts of the values that a page completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageOutcome {
    /// Number of values that were applied to the state.
    pub applied: usize,
    /// Number of values that could not be decoded and were skipped.
    pub unreadable: usize,
}

impl<S: StreamState> StreamView<S> {
    /// Creates the view of a partition of which nothing was read yet. Every change notifies `wakes`, on which the task
    /// waits that acts on changes.
    pub fn new(id: StreamPartition, state: S, wakes: Arc<Notify>) -> Self {
        let inner = ViewInner {
            state,
            next: 0,
            joiner: Joiner::default(),
            confirmed: None,
            last_success: 0,
            readable_since: 0,
            is_caught_up: false,
            first_retained: 0,
            failed: FailedReads::default(),
            has_logged_lost_beginning: false,
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

    /// Locks the state and its position.
    pub fn lock(&self) -> MutexGuard<'_, ViewInner<S>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a future that completes at the next change of the state.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// Records a request for this partition, which is followed and read without pauses for a while.
    pub fn want(&self, now: Millis) {
        self.wanted_until
            .fetch_max(now + WANTED_MS, Ordering::Relaxed);
        self.wanted.notify_one();
    }

    /// Whether the partition was requested within the last 1.2 seconds.
    pub fn is_wanted(&self, now: Millis) -> bool {
        self.wanted_until.load(Ordering::Relaxed) > now
    }

    /// Sets whether this node's own work needs the partition.
    pub fn set_needed(&self, is_needed: bool) {
        self.is_needed.store(is_needed, Ordering::Relaxed);
    }

    /// Whether the partition is to be followed: this node's own work needs it, or it was requested recently.
    pub fn is_followed(&self, now: Millis) -> bool {
        self.is_needed.load(Ordering::Relaxed) || self.is_wanted(now)
    }

    /// Marks the partition as followed; true if the caller must start the task that follows it. There is one such
    /// task at a time.
    pub fn begin_following(&self) -> bool {
        !self.has_follower.swap(true, Ordering::AcqRel)
    }

    /// Whether the task that follows the partition may end. If so, the partition is marked as not followed, so that
    /// the next request starts a new task.
    pub fn end_following(&self, now: Millis) -> bool {
        if self.is_followed(now) {
            return false;
        }
        self.has_follower.store(false, Ordering::Release);
        !(self.is_followed(now) && self.begin_following())
    }

    /// Waits for `gap` between two reads; returns early when the partition is requested.
    pub async fn wait_between_reads(&self, gap: Duration, now: Millis) {
        if gap.is_zero() || self.is_wanted(now) {
            return;
        }
        // A request ends the wait early.
        let _ = tokio::time::timeout(gap, self.wanted.notified()).await;
    }

    /// Applies a page of records whose read started at `asked`; records that were already applied are skipped.
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
            if inner.state.apply_bytes(&value, now) {
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
        self.log_skip(skipped_from, page.from);
        if outcome.applied > 0 {
            self.changed.notify_waiters();
            self.wakes.notify_one();
        }
        outcome
    }

    /// Installs a state that holds all records before `next`; false if this view is at least as far. A view whose state is
    /// incomplete goes back for it, if the log retains the records from `next` on and no read that confirms the state is
    /// under way: its page starts at the old offset.
    pub fn restore(&self, state: S, next: u64) -> bool {
        let turn = self.confirming.try_lock();
        let mut inner = self.lock();
        let can_go_back = turn.is_ok() && next >= inner.first_retained;
        let repairs = !inner.state.is_complete() && can_go_back;
        let is_taken = next > inner.next || repairs;
        if is_taken {
            inner.state = state;
            inner.next = next;
            inner.joiner = Joiner::default();
            inner.is_caught_up = false;
        }
        drop(inner);
        self.wakes.notify_one();
        is_taken
    }

    /// Records a failed read. The partition counts as not being read until the next success, because records may be
    /// missed until then.
    pub fn read_failed(&self) {
        self.lock().last_success = 0;
    }

    /// Whether the partition is being read now, without a gap.
    pub fn is_current(&self, now: Millis) -> bool {
        self.lock().is_current(now)
    }

    /// Whether this node may act on the state: it was confirmed at most `max_age` ago.
    pub fn is_usable(&self, now: Millis, max_age: Millis) -> bool {
        let until = self.lock().usable_until(max_age);
        until.is_some_and(|until| now <= until)
    }

    /// Whether older records are still to be read, or the partition is not being read without a gap.
    pub fn is_behind(&self, now: Millis) -> bool {
        let inner = self.lock();
        !inner.is_caught_up || !inner.is_current(now)
    }

    /// Time since which the log has been read without a gap; `None` if it is not being read now.
    pub fn readable_since(&self, now: Millis) -> Option<Millis> {
        let inner = self.lock();
        inner.is_current(now).then_some(inner.readable_since)
    }

    /// Skips the records before `first`, which the log no longer holds.
    pub fn skip_to(&self, first: u64, now: Millis) {
        let skipped_from = self.lock().skip_to(first, now);
        self.log_skip(skipped_from, first);
    }

    /// Logs a skip. The skipped records had been acknowledged, but this node never reads them.
    fn log_skip(&self, skipped_from: Option<u64>, first: u64) {
        let Some(from) = skipped_from else {
            return;
        };
        warn!(event = "history_skipped", partition = self.id.to_string().as_str(), from = from,
            first = first; "");
    }

    /// Makes sure that the state holds all records that were in the log `max_age` ago, by a read if necessary.
    /// Concurrent callers share one read and its error. Returns the error of the log if the read fails.
    pub async fn confirm(
        &self,
        log: &dyn SharedLog,
        clock: NodeClock,
        max_age: Duration,
    ) -> Result<(), LogError> {
        self.confirm_since(log, clock, oldest_read_start(clock, max_age))
            .await
    }

    /// Like [`confirm`](Self::confirm), but retries failed reads until `until` and then returns the last error.
    /// Loading a partition takes several reads in a row; those that succeeded are not repeated.
    pub async fn confirm_until(
        &self,
        log: &dyn SharedLog,
        clock: NodeClock,
        max_age: Duration,
        until: Instant,
    ) -> Result<(), LogError> {
        let oldest = oldest_read_start(clock, max_age);
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
                // Another caller's try may have failed in the meantime, and that delays this caller too.
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
                // A `first` that is not past `from` counts as a failure; otherwise this loop would not end.
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
    /// Resets the view if every batch in it was first seen before `before`. The partition is then read from its start
    /// at the next request, so that records the log still holds are not lost. Only for a partition that no task
    /// follows. A partition that is being read is left unchanged, because the page in flight starts at the old
    /// offset.
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

/// Earliest start of a read whose answer is at most `max_age` old.
fn oldest_read_start(clock: NodeClock, max_age: Duration) -> Millis {
    clock.now().saturating_sub(max_age.as_millis() as Millis)
}
