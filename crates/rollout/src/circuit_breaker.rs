//! Circuit breaker of a back end: whether the back end gets new items after runs failed there.
//!
//! A back end that breaks every connection at once looks empty, so that without a breaker all waiting items would be
//! sent to it again and again. The breaker opens on the first run that fails without progress, or on several runs that
//! are cut short within a short time. Failures while it is open, and of runs that started before it opened, are ignored.
//! When the open time is over, the breaker is half-open: one item is sent as a probe, and the first event of the probe
//! closes the breaker. Events of runs that started before the breaker opened do not close it, because a back end may
//! fail new connections while it serves existing ones.

use crate::Millis;

/// Time for which the breaker stays open at first. It doubles each time the breaker opens again soon.
const FIRST_OPEN_MS: Millis = 250;
/// Maximum number of doublings of [`FIRST_OPEN_MS`].
const MAX_DOUBLINGS: u32 = 3;
/// Time since the last opening after which the next one starts at [`FIRST_OPEN_MS`] again.
const BACKOFF_RESET_MS: Millis = 10_000;
/// Time after which a probe without any result no longer blocks the next one: its item may have ended without a
/// response of the back end.
const PROBE_TIMEOUT_MS: Millis = 1_000;
/// Runs cut short within [`CUT_SHORT_WINDOW_MS`] that open the breaker. A single one may be a fault of its connection.
const CUT_SHORT_RUNS_TO_OPEN: u32 = 3;
/// Time within which cut-short runs are counted together.
const CUT_SHORT_WINDOW_MS: Millis = 250;
/// Time for which a back end gets no items after it rejected one because it had no free slot.
const REJECTION_PAUSE_MS: Millis = 60;

/// Which new items a back end may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Any number of items: the breaker is closed.
    All,
    /// A single item, as a probe: the breaker is half-open.
    Probe,
    /// No items: the breaker is open, a probe is in flight, or the back end just rejected an item.
    None,
}

/// State of one back end's circuit breaker. All times are on the caller's clock, in milliseconds.
#[derive(Debug, Clone, Default)]
pub struct CircuitBreaker {
    opening: Option<Opening>,
    doublings: u32,
    last_opened: Option<Millis>,
    /// Runs cut short since `first_cut_short`.
    cut_short_runs: u32,
    first_cut_short: Millis,
    paused_until: Millis,
}

/// An opening of the breaker that no probe has ended yet.
#[derive(Debug, Clone, Copy)]
struct Opening {
    opened_at: Millis,
    open_until: Millis,
    /// When the last probe was sent; `None` before the first one.
    probe_sent_at: Option<Millis>,
}

impl CircuitBreaker {
    /// Records that a run that started at `started_at` failed without progress. Returns for how many milliseconds the
    /// breaker opens, or `None` if this failure does not open it.
    pub fn record_failure(&mut self, started_at: Millis, now: Millis) -> Option<Millis> {
        let is_ignored =
            |opening: &Opening| now < opening.open_until || started_at <= opening.opened_at;
        if self.opening.as_ref().is_some_and(is_ignored) {
            return None;
        }
        Some(self.open(now))
    }

    /// Records that a run was cut short after it made progress. Returns the same as
    /// [`record_failure`](Self::record_failure).
    pub fn record_cut_short(&mut self, now: Millis) -> Option<Millis> {
        if self.cut_short_runs == 0
            || now.saturating_sub(self.first_cut_short) > CUT_SHORT_WINDOW_MS
        {
            self.cut_short_runs = 0;
            self.first_cut_short = now;
        }
        self.cut_short_runs += 1;
        if self.cut_short_runs < CUT_SHORT_RUNS_TO_OPEN {
            return None;
        }
        self.record_failure(now, now)
    }

    /// Records that a run that started at `started_at` received an event or a whole response. Returns whether that
    /// closes the breaker.
    pub fn record_answer(&mut self, started_at: Millis) -> bool {
        let closes = self
            .opening
            .is_some_and(|opening| started_at > opening.opened_at);
        if closes {
            self.opening = None;
            self.cut_short_runs = 0;
        }
        closes
    }

    /// Records that the back end rejected an item because it had no free slot.
    pub fn record_rejection(&mut self, now: Millis) {
        self.paused_until = now + REJECTION_PAUSE_MS;
    }

    /// Records that a run starts on the back end. While the breaker is not closed, the run is the probe.
    pub fn record_start(&mut self, now: Millis) {
        if let Some(opening) = &mut self.opening {
            opening.probe_sent_at = Some(now);
        }
    }

    /// Which new items the back end may get now.
    pub fn admission(&self, now: Millis) -> Admission {
        if now < self.paused_until {
            return Admission::None;
        }
        let Some(opening) = &self.opening else {
            return Admission::All;
        };
        let awaits_probe = opening
            .probe_sent_at
            .is_some_and(|sent| now.saturating_sub(sent) < PROBE_TIMEOUT_MS);
        if now < opening.open_until || awaits_probe {
            return Admission::None;
        }
        Admission::Probe
    }

    fn open(&mut self, now: Millis) -> Millis {
        let opened_recently = self
            .last_opened
            .is_some_and(|last| now.saturating_sub(last) <= BACKOFF_RESET_MS);
        self.doublings = match opened_recently {
            true => (self.doublings + 1).min(MAX_DOUBLINGS),
            false => 0,
        };
        let open_ms = FIRST_OPEN_MS << self.doublings;
        self.last_opened = Some(now);
        self.cut_short_runs = 0;
        self.opening = Some(Opening {
            opened_at: now,
            open_until: now + open_ms,
            probe_sent_at: None,
        });
        open_ms
    }
}
