//! Whether the node takes callers' connections. A node that fails to, for want of descriptors for
//! example, must not call itself ready: callers would be sent to a machine that does not answer them.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use havenstage_rollout::Millis;

/// Failures in a row that are more than connections which their callers gave up. At a pause of 20 ms
/// after each they last for 200 ms.
const FEW_FAILURES: u32 = 10;
/// Time without a further failure after which connections count as taken again. While callers wait
/// to be taken there is a failure each 20 ms.
const QUIET_MS: Millis = 1_000;

/// How the taking of callers' connections goes.
#[derive(Debug, Default)]
pub struct AcceptHealth {
    failures: AtomicU32,
    last_failure: AtomicU64,
}

impl AcceptHealth {
    /// A connection was taken.
    pub fn record_accept(&self) {
        self.failures.store(0, Ordering::Relaxed);
    }

    /// A connection could not be taken.
    pub fn record_failure(&self, now: Millis) {
        let last_failure = self.last_failure.swap(now, Ordering::Relaxed);
        if now.saturating_sub(last_failure) > QUIET_MS {
            self.failures.store(0, Ordering::Relaxed);
        }
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether connections are taken, as far as is known.
    pub fn is_accepting(&self, now: Millis) -> bool {
        let last_failure = self.last_failure.load(Ordering::Relaxed);
        self.failures.load(Ordering::Relaxed) < FEW_FAILURES
            || now.saturating_sub(last_failure) > QUIET_MS
    }
}
