//! Tracks calls to a service that a node depends on: logs once when the service is lost or works again, and spaces
//! out retries of failed calls.

use std::time::Duration;

use log::{info, warn};

use crate::edge::LogError;

/// Shortest pause before a failed call is retried, before jitter.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Most doublings of the pause while the log refuses calls because of overload.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Consecutive failed calls after which a dependency counts as lost.
const LOST_AFTER_FAILURES: u32 = 2;

/// Logs once when a dependency is lost, and once when it works again.
pub(crate) struct Dependency {
    pub(crate) name: String,
    failures: u32,
}

impl Dependency {
    pub(crate) fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            failures: 0,
        }
    }

    pub(crate) fn record_success(&mut self) {
        if self.failures >= LOST_AFTER_FAILURES {
            info!(event = "dependency_regained", dependency = self.name.as_str(),
                failures = self.failures; "");
        }
        self.failures = 0;
    }

    /// Records a failure and waits before the next call, with jitter so that nodes do not retry together. The pause
    /// doubles with each refusal of an overloaded log. `read_interval` is the usual time between two reads and a lower
    /// bound of the pause, so that a large fleet does not send more retries than usual calls; it is zero in a small
    /// fleet.
    pub(crate) async fn pause_after(&mut self, error: LogError, read_interval: Duration) {
        self.record_failure(error);
        let is_large_fleet = !read_interval.is_zero();
        let has_backoff = error.is_throttled() || (is_large_fleet && error.is_overloaded());
        let doublings = match has_backoff {
            true => self.failures.min(MAX_PAUSE_DOUBLINGS),
            false => 0,
        };
        let pause = MIN_RETRY_PAUSE.max(read_interval) * (1 << doublings);
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
    }

    fn record_failure(&mut self, error: LogError) {
        self.failures += 1;
        if self.failures == LOST_AFTER_FAILURES {
            warn!(event = "dependency_lost", dependency = self.name.as_str(),
                reason = error.to_string().as_str(); "");
        }
    }
}
