//! Rate at which permits are released; determines the retry delay in refusals.

use std::time::Duration;

use havenstage_types::clock::Moment;

/// Weight of the newest interval in the exponentially weighted mean.
const NEWEST_WEIGHT: f64 = 0.2;
/// Mean interval assumed until two releases were observed.
const INITIAL_INTERVAL: Duration = Duration::from_millis(500);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Exponentially weighted mean of the time between releases.
#[derive(Debug, Clone, Default)]
pub(super) struct ReleaseRate {
    last: Option<Moment>,
    mean_interval: Option<Duration>,
}

impl ReleaseRate {
    pub fn record(&mut self, now: Moment) {
        if let Some(last) = self.last {
            let newest = now.since(last);
            let mean = self.mean_interval.unwrap_or(newest);
            let next = mean.mul_f64(1.0 - NEWEST_WEIGHT) + newest.mul_f64(NEWEST_WEIGHT);
            self.mean_interval = Some(next);
        }
        self.last = Some(now);
    }

    /// Estimated time until a slot is free for a request behind `ahead` queued requests, clamped to
    /// [`MIN_RETRY_AFTER`] and [`MAX_RETRY_AFTER`].
    pub fn retry_after(&self, ahead: u32) -> Duration {
        let interval = self.mean_interval.unwrap_or(INITIAL_INTERVAL);
        interval
            .saturating_mul(ahead.saturating_add(1))
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
