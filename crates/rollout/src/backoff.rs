//! Pauses between attempts at work that must not be given up although each attempt fails.

use crate::Millis;

/// Maximum pause: short beside the time in which a trainer needs the work.
pub const MAX_PAUSE_MS: Millis = 2_000;
/// Number of failures in a row after which the next attempt is still made at once: a crash of another origin hits the same
/// work twice now and then.
const FAILURES_WITHOUT_PAUSE: u32 = 2;
/// Pause after the first failure beyond these; it doubles with each further one.
const FIRST_PAUSE_MS: Millis = 1_000;

/// Counts the failures in a row of one piece of work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records an attempt that failed without progress.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Records an attempt that made progress.
    pub fn record_progress(&mut self) {
        self.failures = 0;
    }

    /// Number of failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Pause before the next attempt.
    pub fn pause_ms(&self) -> Millis {
        let Some(further) = self.failures.checked_sub(FAILURES_WITHOUT_PAUSE + 1) else {
            return 0;
        };
        let pause_ms = FIRST_PAUSE_MS.saturating_mul(2_u64.saturating_pow(further));
        pause_ms.min(MAX_PAUSE_MS)
    }
}
