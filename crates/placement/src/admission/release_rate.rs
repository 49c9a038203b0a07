//! How fast permits come back, to tell a refused asker when to come again.

use std::time::Duration;

use havenstage_types::clock::Moment;

/// Weight of the newest interval in the running mean.
const NEWEST_WEIGHT: f64 = 0.2;
/// Mean interval assumed before two releases were seen.
const FIRST_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time told to a refused asker.
const SHORTEST_RETRY: Duration = Duration::from_millis(100);
/// Longest time told to a refused asker.
const LONGEST_RETRY: Duration = Duration::from_secs(30);

/// Running mean of the time between releases.
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

    /// When a slot may be free for one who comes after `ahead` waiting requests.
    pub fn retry_after(&self, ahead: u32) -> Duration {
        let interval = self.mean_interval.unwrap_or(FIRST_INTERVAL);
        interval
            .saturating_mul(ahead.saturating_add(1))
            .clamp(SHORTEST_RETRY, LONGEST_RETRY)
    }
}
