//! Estimates how long a back end typically takes between two events of a stream, ignoring short disturbances.
//!
//! Back ends differ permanently in speed. In addition, each is slow for fractions of a second while it reads the prompt
//! of another request, loads weights, or shares its machine with a busy neighbour. Moving an item away because of such
//! a disturbance does not pay, as the next back end may be slow when the item arrives. So the estimate is the median
//! over many short windows of the median gap in each. If several windows in a row all lie far on the same side of the
//! estimate, the speed has changed, and earlier windows are dropped.

use std::collections::VecDeque;

use crate::Millis;

/// Gap below which two events count as read together, in one read of the connection.
const READ_TOGETHER_MS: f64 = 2.0;
/// Maximum number of gaps that are stored per window; with full batches they cover some decoding steps.
const MAX_GAPS_PER_WINDOW: usize = 64;
/// Minimum number of windows for an estimate: with fewer, one disturbed window could be half of them.
const MIN_WINDOWS: usize = 3;
/// Length of a window. The four windows of a change are far longer than a neighbour slows a back end down.
const WINDOW_MS: Millis = 400;
/// Maximum number of windows of which the median is taken; they cover some steps of a trainer.
const MAX_WINDOWS: usize = 32;
/// Number of deviating windows in a row that count as a change of speed.
const CHANGE_WINDOWS: usize = 4;
/// Ratio to the median of the earlier windows from which a window counts as deviating: the speeds at different batch
/// sizes differ by less.
const CHANGE_RATIO: f64 = 1.3;
/// Age up to which a node's own estimate takes precedence over those that other nodes report.
const FRESH_MS: Millis = 5_000;
/// Time without an event after which the estimate expires, as the back end may have been replaced.
const RETENTION_MS: Millis = 300_000;

/// The speed of one back end, estimated from the streams of this node.
#[derive(Debug, Clone, Default)]
pub struct BackEndSpeed {
    window: Window,
    /// Median gaps of the latest windows, the newest last, in milliseconds.
    medians_ms: VecDeque<f64>,
    last_event_at: Millis,
}

/// The gaps that were recorded within one window.
#[derive(Debug, Clone, Default)]
struct Window {
    began_at: Millis,
    gaps_ms: Vec<f64>,
}

/// Computes the gaps between the events of one stream. A node that was paused reads all events that arrived meanwhile
/// at once: the first seems late and the others immediate, though the back end sent them at its usual speed. So the
/// time since the event before them is divided equally between events that were read together.
#[derive(Debug, Default)]
pub struct StreamGaps {
    elapsed_ms: f64,
    events: u32,
}

/// One or several gaps of equal length.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EqualGaps {
    /// Length of each gap in milliseconds.
    pub gap_ms: f64,
    /// Number of gaps.
    pub count: u32,
}

impl StreamGaps {
    /// Records an event that was read `gap_ms` after the one before it. If it was not read together with the events
    /// before it, the gaps of those events are complete and are returned.
    pub fn record_event(&mut self, gap_ms: f64) -> Option<EqualGaps> {
        if gap_ms < READ_TOGETHER_MS && self.events > 0 {
            self.elapsed_ms += gap_ms;
            self.events += 1;
            return None;
        }
        let before = (self.events > 0).then(|| EqualGaps {
            gap_ms: self.elapsed_ms / f64::from(self.events),
            count: self.events,
        });
        self.elapsed_ms = gap_ms;
        self.events = 1;
        before
    }
}

impl BackEndSpeed {
    /// Records gaps between events of a stream.
    pub fn record_gaps(&mut self, gap: EqualGaps, now: Millis) {
        if now.saturating_sub(self.window.began_at) >= WINDOW_MS {
            self.close_window();
            self.window.began_at = now;
        }
        let free = MAX_GAPS_PER_WINDOW - self.window.gaps_ms.len();
        let count = free.min(gap.count as usize);
        let gaps_ms = std::iter::repeat_n(gap.gap_ms, count);
        self.window.gaps_ms.extend(gaps_ms);
        self.last_event_at = now;
    }

    /// The typical gap in milliseconds; `None` with too few windows or if the last event is too long ago.
    pub fn typical_gap_ms(&self, now: Millis) -> Option<f64> {
        let has_enough_windows = self.medians_ms.len() >= MIN_WINDOWS;
        if !has_enough_windows || now.saturating_sub(self.last_event_at) > RETENTION_MS {
            return None;
        }
        median(self.medians_ms.iter().copied().collect())
    }

    /// The typical gap together with its age.
    pub fn estimate(&self, now: Millis) -> Option<GapEstimate> {
        let gap_ms = self.typical_gap_ms(now)?;
        Some(GapEstimate {
            gap_ms,
            age_ms: now.saturating_sub(self.last_event_at),
        })
    }

    fn close_window(&mut self) {
        let Some(median_ms) = median(std::mem::take(&mut self.window.gaps_ms)) else {
            return;
        };
        if self.medians_ms.len() == MAX_WINDOWS {
            self.medians_ms.pop_front();
        }
        self.medians_ms.push_back(median_ms);
        if self.has_changed() {
            let before = self.medians_ms.len() - CHANGE_WINDOWS;
            self.medians_ms.drain(..before);
        }
    }

    fn has_changed(&self) -> bool {
        let before = self.medians_ms.len().saturating_sub(CHANGE_WINDOWS);
        let typical_gap_ms = median(self.medians_ms.iter().take(before).copied().collect());
        let Some(typical_gap_ms) = typical_gap_ms else {
            return false;
        };
        let newest = || self.medians_ms.iter().skip(before);
        newest().all(|gap_ms| *gap_ms > typical_gap_ms * CHANGE_RATIO)
            || newest().all(|gap_ms| *gap_ms * CHANGE_RATIO < typical_gap_ms)
    }
}

/// A node's own estimate of the typical gap at a back end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GapEstimate {
    /// The typical gap between two events of a stream in milliseconds.
    pub gap_ms: f64,
    /// Milliseconds since that node last saw an event there.
    pub age_ms: Millis,
}

impl GapEstimate {
    /// Whether it takes precedence over the estimates that other nodes report.
    pub fn is_fresh(&self) -> bool {
        self.age_ms < FRESH_MS
    }
}

/// The gap in milliseconds to expect for an item at a back end: this node's own estimate if it is fresh, else the one
/// that other nodes report, else the own one however old, else the usual one.
pub fn expected_gap_ms(own: Option<GapEstimate>, reported_ms: Option<f64>, usual_ms: f64) -> f64 {
    let fresh = own.filter(GapEstimate::is_fresh);
    let own_ms = own.map(|known| known.gap_ms);
    let fresh_ms = fresh.map(|known| known.gap_ms);
    fresh_ms.or(reported_ms).or(own_ms).unwrap_or(usual_ms)
}

/// The median of some values, for an even number the upper of the two middle ones; `None` without values.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
