//! Adaptive limit on concurrent loads of model weights.
//!
//! The weight store slows down when too many back ends load at once, and it does not report how many are
//! too many. The limit starts at a share of the back ends, shrinks while loads take clearly longer than
//! the quickest one, and grows back.

use crate::Millis;

/// Back ends of a pool for each load that may run.
const BACKENDS_PER_LOAD: f64 = 5.0;
/// A load that takes more than this many times as long as the quickest one was slowed down by others.
const SLOW_LOAD_FACTOR: f64 = 1.4;
/// Factor by which a slow load lowers the limit.
const DECREASE_FACTOR: f64 = 0.75;

/// The limit, adapted to the durations of earlier loads.
#[derive(Debug, Clone)]
pub struct LoadLimit {
    minimum: usize,
    /// Share of the full limit that is allowed now, from 0 to 1.
    share: f64,
    /// Duration of the quickest load so far; `None` before the first one.
    quickest_ms: Option<Millis>,
}

impl LoadLimit {
    /// Creates a limit that never falls below `minimum` concurrent loads.
    pub fn new(minimum: usize) -> Self {
        Self {
            minimum,
            share: 1.0,
            quickest_ms: None,
        }
    }

    /// Loads that may run at the same time in a pool of `backends` back ends.
    pub fn allowed(&self, backends: usize) -> usize {
        let full_limit = (backends as f64 / BACKENDS_PER_LOAD).round();
        ((full_limit * self.share) as usize).max(self.minimum)
    }

    /// Records a load that succeeded after `took_ms` milliseconds; `concurrent` loads ran when it started.
    pub fn record_load(&mut self, took_ms: Millis, concurrent: usize) {
        let quickest = self.quickest_ms.map_or(took_ms, |known| known.min(took_ms));
        self.quickest_ms = Some(quickest);
        let is_slow = took_ms as f64 > quickest as f64 * SLOW_LOAD_FACTOR;
        if is_slow && concurrent > self.minimum {
            self.share *= DECREASE_FACTOR;
        } else if !is_slow {
            // One round of concurrent quick loads restores the share that one slow load takes away from a full one.
            let step = (1.0 - DECREASE_FACTOR) / concurrent.max(1) as f64;
            self.share = (self.share + step).min(1.0);
        }
    }
}
