//! Failures of reads of a partition, shared by those who wait for them, and when to ask again.

use std::time::Duration;

use havenstage_rollout::Millis;

use crate::edge::LogError;

/// Pause after which a read that failed is asked again for those who wait for it.
const ASK_AGAIN_PAUSE: Duration = Duration::from_millis(100);
/// Doublings of that pause while the log is asked too much.
const MOST_DOUBLINGS: u32 = 2;

/// The reads of a partition that failed.
#[derive(Debug, Default)]
pub(crate) struct FailedReads {
    last: Option<FailedRead>,
    /// Failures so far: who waited while the number rose shares that failure.
    count: u64,
}

/// The last read that failed, with none that succeeded since.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailedRead {
    /// Why it failed.
    pub(crate) error: LogError,
    /// When those who go on asking ask again, all with one call.
    pub(crate) retry_at: Millis,
    /// Failures since the last success.
    in_a_row: u32,
}

impl FailedRead {
    fn new(before: Option<Self>, error: LogError, now: Millis) -> Self {
        let in_a_row = before.map_or(0, |before| before.in_a_row) + 1;
        let doublings = if error.is_throttled() {
            (in_a_row - 1).min(MOST_DOUBLINGS)
        } else {
            0
        };
        // Many nodes that fail at the same time don't come again at the same time.
        let pause = (ASK_AGAIN_PAUSE * (1 << doublings)).mul_f64(rand::random_range(0.5..1.5));
        Self {
            error,
            retry_at: now + pause.as_millis() as Millis,
            in_a_row,
        }
    }
}

impl FailedReads {
    /// Failures so far.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }

    /// A read failed.
    pub(crate) fn record_failure(&mut self, error: LogError, now: Millis) {
        self.last = Some(FailedRead::new(self.last, error, now));
        self.count += 1;
    }

    /// A read succeeded.
    pub(crate) fn record_success(&mut self) {
        self.last = None;
    }

    /// The last failure, if it came after so many and no read has succeeded since.
    pub(crate) fn failure_since(&self, count: u64) -> Option<LogError> {
        let failed = self.last.filter(|_| self.count > count);
        failed.map(|failed| failed.error)
    }

    /// The last failure, while it is too early to ask again.
    pub(crate) fn waiting_to_retry(&self, now: Millis) -> Option<FailedRead> {
        self.last.filter(|failed| failed.retry_at > now)
    }
}
