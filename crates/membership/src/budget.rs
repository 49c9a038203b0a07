//! Token bucket that limits the bytes of member updates that a node sends.

use std::time::Duration;

use havenstage_types::clock::Moment;

const MILLISECONDS_PER_SECOND: u128 = 1_000;

/// Token bucket of bytes, refilled at a constant rate up to the burst size.
#[derive(Debug, Clone)]
pub(crate) struct ByteBudget {
    bytes_per_second: u32,
    burst_bytes: u32,
    available: u32,
    refilled_at: Moment,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub(crate) fn new(bytes_per_second: u32, burst_bytes: u32) -> Self {
        Self {
            bytes_per_second,
            burst_bytes,
            available: burst_bytes,
            refilled_at: Moment::default(),
        }
    }

    /// Adds the bytes earned since the last refill, up to the burst size.
    pub(crate) fn refill(&mut self, now: Moment) {
        let gained = self.bytes_earned_in(now.since(self.refilled_at));
        self.available = self.available.saturating_add(gained).min(self.burst_bytes);
        self.refilled_at = now;
    }

    /// Bytes that may be sent now.
    pub(crate) fn available(&self) -> usize {
        usize::try_from(self.available).unwrap_or(usize::MAX)
    }

    /// Subtracts bytes that were sent.
    pub(crate) fn spend(&mut self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.available = self.available.saturating_sub(bytes);
    }

    fn bytes_earned_in(&self, elapsed: Duration) -> u32 {
        let bytes = elapsed.as_millis() * u128::from(self.bytes_per_second);
        u32::try_from(bytes / MILLISECONDS_PER_SECOND).unwrap_or(u32::MAX)
    }
}
