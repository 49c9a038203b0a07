//! Whether the node accepts callers' connections. A node that fails to, for example for lack of file descriptors, must
//! not report itself ready: callers would be sent to a machine that does not answer them.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use havenstage_rollout::Millis;

/// Consecutive failures from which on connections count as not accepted. Fewer may be connections that their callers
/// aborted. With a pause of 20 ms after each failure, this many take 200 ms.
const FAILURE_THRESHOLD: u32 = 10;
/// Time without a further failure after which connections count as accepted again. While connections wait to be
/// accepted, accepting fails every 20 ms.
const RECOVERY_MS: Millis = 1_000;

/// Tracks whether callers' connections are accepted.
#[derive(Debug, Default)]
pub struct AcceptHealth {
    consecutive_failures: AtomicU32,
    last_failure_ms: AtomicU64,
}

impl AcceptHealth {
    /// Records that a connection was accepted.
    pub fn record_accept(&self) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }

    /// Records that accepting a connection failed at `now`, milliseconds of the node's clock.
    pub fn record_failure(&self, now: Millis) {
        let last_failure_ms = self.last_failure_ms.swap(now, Ordering::Relaxed);
        if now.saturating_sub(last_failure_ms) > RECOVERY_MS {
            self.consecutive_failures.store(0, Ordering::Relaxed);
        }
        self.consecutive_failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether connections are accepted, as far as is known at `now`.
    pub fn is_accepting(&self, now: Millis) -> bool {
        let last_failure_ms = self.last_failure_ms.load(Ordering::Relaxed);
        self.consecutive_failures.load(Ordering::Relaxed) < FAILURE_THRESHOLD
            || now.saturating_sub(last_failure_ms) > RECOVERY_MS
    }
}
