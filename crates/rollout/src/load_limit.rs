//! How many loads of weights may be under way together.
//!
//! The weight store slows down when too many back ends load at once; how many that is, is not told.
//! The limit starts at a share of the back ends, shrinks while loads take clearly longer than the
//! quickest one, and grows back.

use crate::Millis;

/// Back ends of a pool for each load that may be under way.
const BACKENDS_PER_LOAD: f64 = 5.0;
/// A load that takes this many times as long as the quickest one was slowed down by others.
const SLOWED_DOWN: f64 = 1.4;
/// Factor by which the limit shrinks.
const SHRINK: f64 = 0.75;

/// The limit, as the loads so far have shown it.
#[derive(Debug, Clone)]
pub struct LoadLimit {
    least: usize,
    /// Part of the limit that is in use, from 0 to 1.
    share: f64,
    quickest_ms: Option<Millis>,
}

impl LoadLimit {
    /// At least `least` loads together, whatever was seen.
    pub fn new(least: usize) -> Self {
        Self {
            least,
            share: 1.0,
            quickest_ms: None,
        }
    }

    /// Loads that may be under way together among so many back ends.
    pub fn allowed(&self, backends: usize) -> usize {
        let most = (backends as f64 / BACKENDS_PER_LOAD).round();
        ((most * self.share) as usize).max(self.least)
    }

    /// A load ended well after `took_ms`; `together` were under way when it began.
    pub fn record_load(&mut self, took_ms: Millis, together: usize) {
        let quickest = self.quickest_ms.map_or(took_ms, |known| known.min(took_ms));
        self.quickest_ms = Some(quickest);
        let is_slow = took_ms as f64 > quickest as f64 * SLOWED_DOWN;
        if is_slow && together > self.least {
            self.share *= SHRINK;
        } else if !is_slow {
            // As many quick loads as run together bring back what one slow one took.
            let step = (1.0 - SHRINK) / together.max(1) as f64;
            self.share = (self.share + step).min(1.0);
        }
    }
}
