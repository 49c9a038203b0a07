//! The usual time between two events of a back end's streams.
//!
//! Single gaps say little: one is long when the back end reads somebody's prompt or loads weights in
//! between. The median of the last ones is that of the engine's own steps.

use std::collections::VecDeque;

use crate::Millis;

/// Gaps of which the median is taken; with full batches those of a few steps.
const MOST_GAPS: usize = 64;
/// Time after which gaps say nothing any more: a back end that was slow may have recovered.
const VALID_MS: Millis = 3_000;

/// The last gaps between events of one back end.
#[derive(Debug, Clone, Default)]
pub struct RecentGaps {
    gaps_ms: VecDeque<f64>,
    seen: Millis,
}

impl RecentGaps {
    /// Two events of a stream came so far apart.
    pub fn saw(&mut self, gap_ms: f64, now: Millis) {
        if now.saturating_sub(self.seen) > VALID_MS {
            self.gaps_ms.clear();
        }
        if self.gaps_ms.len() == MOST_GAPS {
            self.gaps_ms.pop_front();
        }
        self.gaps_ms.push_back(gap_ms);
        self.seen = now;
    }

    /// The median gap, if any came lately.
    pub fn median_ms(&self, now: Millis) -> Option<f64> {
        if now.saturating_sub(self.seen) > VALID_MS {
            return None;
        }
        median(self.gaps_ms.iter().copied().collect())
    }
}

/// The median of some values; the upper one of two.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
