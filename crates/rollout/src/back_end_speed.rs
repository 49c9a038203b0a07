//! How long a back end takes for an event of a stream: what lasts, told apart from what is only so at the moment.
//!
//! The load that this answers: back ends differ for good, and each is slow for fractions of a second, when somebody's
//! prompt is read, weights are loaded, or a neighbour on its machine is busy. An item that leaves such a back end
//! arrives at another when that is slow. So the median of the gaps of short windows is taken, and the median of many
//! windows is what lasts. Windows in a row that all lie far on the same side of it are a change, and those before it
//! are forgotten.

use std::collections::VecDeque;

use crate::Millis;

/// Events that come so close together were read together.
const READ_TOGETHER_MS: f64 = 2.0;
/// Gaps that are kept of a window; with full batches those of some steps.
const MOST_GAPS: usize = 64;
/// Windows from which on something is known: with fewer, one that was disturbed could be half of them.
const LEAST_WINDOWS: usize = 3;
/// Length of a window; the four of a change are far longer than a neighbour makes a back end slow.
const WINDOW_MS: Millis = 400;
/// Windows of which the median is taken: those of some steps of a trainer.
const MOST_WINDOWS: usize = 32;
/// Windows in a row that make a change.
const WINDOWS_OF_CHANGE: usize = 4;
/// Ratio to what lasted from which on a window may be one of a change: batches of all sizes differ by less.
const RATIO_OF_CHANGE: f64 = 1.3;
/// Age up to which what a node knows itself goes before what others tell.
const FRESH_MS: Millis = 5_000;
/// Time without an event after which nothing is known any more: a back end may be another then.
const VALID_MS: Millis = 300_000;

/// The speed of one back end, as this node's streams show it.
#[derive(Debug, Clone, Default)]
pub struct BackEndSpeed {
    window: Window,
    /// Median gaps of the last windows, the newest last, in milliseconds.
    medians_ms: VecDeque<f64>,
    seen: Millis,
}

/// Gaps that came within a window.
#[derive(Debug, Clone, Default)]
struct Window {
    began: Millis,
    gaps_ms: Vec<f64>,
}

/// Tells the gaps of one stream. A node that stood still reads all that came meanwhile at once: then the first event
/// seems to come late and the others in no time, though the back end made them at its usual speed. So events that
/// were read together share the time since the one before them.
#[derive(Debug, Default)]
pub struct StreamGaps {
    shared_ms: f64,
    events: u32,
}

/// Gaps that are alike.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EqualGaps {
    /// Length of each.
    pub gap_ms: f64,
    /// How many.
    pub count: u32,
}

impl StreamGaps {
    /// An event came so long after the one before it. Answers the gaps of the events before, once it is known that
    /// none was read together with them.
    pub fn record_event(&mut self, gap_ms: f64) -> Option<EqualGaps> {
        if gap_ms < READ_TOGETHER_MS && self.events > 0 {
            self.shared_ms += gap_ms;
            self.events += 1;
            return None;
        }
        let before = (self.events > 0).then(|| EqualGaps {
            gap_ms: self.shared_ms / f64::from(self.events),
            count: self.events,
        });
        self.shared_ms = gap_ms;
        self.events = 1;
        before
    }
}

impl BackEndSpeed {
    /// Events of a stream came so far apart.
    pub fn record_gaps(&mut self, gap: EqualGaps, now: Millis) {
        if now.saturating_sub(self.window.began) >= WINDOW_MS {
            self.close_window();
            self.window.began = now;
        }
        let room = MOST_GAPS - self.window.gaps_ms.len();
        let count = room.min(gap.count as usize);
        let gaps_ms = std::iter::repeat_n(gap.gap_ms, count);
        self.window.gaps_ms.extend(gaps_ms);
        self.seen = now;
    }

    /// What a gap lasts in general; `None` if that is not known, or not any more.
    pub fn typical_gap_ms(&self, now: Millis) -> Option<f64> {
        let is_known = self.medians_ms.len() >= LEAST_WINDOWS;
        if !is_known || now.saturating_sub(self.seen) > VALID_MS {
            return None;
        }
        median(self.medians_ms.iter().copied().collect())
    }

    /// The same with its age.
    pub fn estimate(&self, now: Millis) -> Option<GapEstimate> {
        let gap_ms = self.typical_gap_ms(now)?;
        Some(GapEstimate {
            gap_ms,
            age_ms: now.saturating_sub(self.seen),
        })
    }

    fn close_window(&mut self) {
        let Some(median_ms) = median(std::mem::take(&mut self.window.gaps_ms)) else {
            return;
        };
        if self.medians_ms.len() == MOST_WINDOWS {
            self.medians_ms.pop_front();
        }
        self.medians_ms.push_back(median_ms);
        if self.has_changed() {
            let before = self.medians_ms.len() - WINDOWS_OF_CHANGE;
            self.medians_ms.drain(..before);
        }
    }

    fn has_changed(&self) -> bool {
        let before = self.medians_ms.len().saturating_sub(WINDOWS_OF_CHANGE);
        let typical_gap_ms = median(self.medians_ms.iter().take(before).copied().collect());
        let Some(typical_gap_ms) = typical_gap_ms else {
            return false;
        };
        let newest = || self.medians_ms.iter().skip(before);
        newest().all(|gap_ms| *gap_ms > typical_gap_ms * RATIO_OF_CHANGE)
            || newest().all(|gap_ms| *gap_ms * RATIO_OF_CHANGE < typical_gap_ms)
    }
}

/// What one node knows of a back end's lasting gap.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GapEstimate {
    /// The gap.
    pub gap_ms: f64,
    /// Time since that node saw an event there.
    pub age_ms: Millis,
}

impl GapEstimate {
    /// Whether it goes before what others tell.
    pub fn is_fresh(&self) -> bool {
        self.age_ms < FRESH_MS
    }
}

/// The gap that an item is to expect at a back end: as this node knows it; where it has seen nothing there lately, as
/// others tell; else as this node knew it, or as it is usual.
pub fn expected_gap_ms(own: Option<GapEstimate>, told_ms: Option<f64>, usual_ms: f64) -> f64 {
    let fresh = own.filter(GapEstimate::is_fresh);
    let own_ms = own.map(|known| known.gap_ms);
    let fresh_ms = fresh.map(|known| known.gap_ms);
    fresh_ms.or(told_ms).or(own_ms).unwrap_or(usual_ms)
}

/// The median of some values; the upper one of two.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
