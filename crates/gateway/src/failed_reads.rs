//! Failed reads of a partition, shared by all tasks that wait for the same read, and the backoff before a retry.

use std::time::Duration;

use havenstage_rollout::Millis;

use crate::edge::LogError;

/// Mean pause before a failed read is retried for the tasks that wait for it.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of doublings of that pause while the log throttles reads.
const MAX_DOUBLINGS: u32 = 2;

/// The failed reads of a partition.
#[derive(Debug, Default)]
pub(crate) struct FailedReads {
    last: Option<FailedRead>,
    /// Failures so far: a task that waited while the number rose shares that failure.
    count: u64,
}

/// The last failed read, kept until a read succeeds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailedRead {
    /// Why the read failed.
    pub(crate) error: LogError,
    /// When the tasks that still wait retry, all of them with one call.
    pub(crate) retry_at: Millis,
    /// Failures since the last success.
    consecutive: u32,
}

impl FailedRead {
    fn new(previous: Option<Self>, error: LogError, now: Millis) -> Self {
        let consecutive = previous.map_or(0, |previous| previous.consecutive) + 1;
        let doublings = if error.is_throttled() {
            (consecutive - 1).min(MAX_DOUBLINGS)
        } else {
            0
        };
        // Jitter, so that many nodes that fail at the same time don't retry at the same time.
        let pause = (RETRY_PAUSE * (1 << doublings)).mul_f64(rand::random_range(0.5..1.5));
        Self {
            error,
            retry_at: now + pause.as_millis() as Millis,
            consecutive,
        }
    }
}

impl FailedReads {
    /// Number of failures so far.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }

    /// Records a failed read.
    pub(crate) fn record_failure(&mut self, error: LogError, now: Millis) {
        self.last = Some(FailedRead::new(self.last, error, now));
        self.count += 1;
    }

    /// Records a successful read.
    pub(crate) fn record_success(&mut self) {
        self.last = None;
    }

    /// The last failure, if more than `count` reads have failed and none has succeeded since.
    pub(crate) fn failure_since(&self, count: u64) -> Option<LogError> {
        let failed = self.last.filter(|_| self.count > count);
        failed.map(|failed| failed.error)
    }

    /// The last failed read, while the pause before its retry lasts.
    pub(crate) fn waiting_to_retry(&self, now: Millis) -> Option<FailedRead> {
        self.last.filter(|failed| failed.retry_at > now)
    }
}
