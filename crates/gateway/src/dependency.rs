//! What a node needs of others: that it was lost or is back is told once, and failed calls are repeated with pauses.

use std::time::Duration;

use log::{info, warn};

use crate::edge::LogError;

/// Pause after which a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Doublings of the pause after refusals of a log that is asked too much.
const MOST_DOUBLINGS: u32 = 4;
/// Calls that must fail in a row before a dependency counts as lost.
const FAILURES_UNTIL_LOST: u32 = 2;

/// Tells once when a dependency is lost, and once when it is back.
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
        if self.failures >= FAILURES_UNTIL_LOST {
            info!(event = "dependency_regained", dependency = self.name.as_str(),
                failures = self.failures; "");
        }
        self.failures = 0;
    }

    /// Notes a failure and waits before the next call; longer with each refusal of a log that is
    /// asked too much, and not all nodes alike. `gap` is the usual time between two reads: that of a large fleet, whose
    /// failed calls together are as many as its usual ones.
    pub(crate) async fn pause_after(&mut self, error: LogError, gap: Duration) {
        self.record_failure(error);
        let is_large_fleet = !gap.is_zero();
        let grows = error.is_throttled() || (is_large_fleet && error.is_overloaded());
        let doublings = match grows {
            true => self.failures.min(MOST_DOUBLINGS),
            false => 0,
        };
        let pause = RETRY_PAUSE.max(gap) * (1 << doublings);
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
    }

    fn record_failure(&mut self, error: LogError) {
        self.failures += 1;
        if self.failures == FAILURES_UNTIL_LOST {
            warn!(event = "dependency_lost", dependency = self.name.as_str(),
                reason = error.to_string().as_str(); "");
        }
    }
}
