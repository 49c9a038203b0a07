//! A circuit breaker for each back end: whether it is given new items after runs failed there.
//!
//! The load that this answers: a back end that breaks connections at once looks empty, so that all waiting items are
//! sent to it again and again. It opens with the first run that fails quickly, or with some runs cut short together;
//! failures while it is open say nothing new. When its time is over, one item is sent as a probe, and the first event
//! of that closes it. What a run brings that began before it opened does not: a back end may fail new connections
//! while it serves those that it has.

use crate::Millis;

/// First time for which a breaker stays open; doubles each time that it opens again soon.
const FIRST_OPEN_MS: Millis = 250;
/// Doublings of that time, at most.
const MOST_DOUBLINGS: u32 = 3;
/// Time without a failure after which earlier ones no longer make the next opening longer.
const FORGET_MS: Millis = 10_000;
/// Time after which a probe of which nothing was heard no longer keeps others away: its item may have ended
/// without a word of the back end.
const PROBE_MS: Millis = 1_000;
/// Runs cut short together that open it: a single one may be a connection's own fault.
const CUTS_TO_OPEN: u32 = 3;
/// Time within which runs count as cut short together.
const CUTS_TOGETHER_MS: Millis = 250;
/// Time for which a back end gets no items after it turned one away for want of a place.
const TURNED_AWAY_MS: Millis = 60;

/// Which new items a back end may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Any.
    All,
    /// One, as a probe.
    Probe,
    /// None.
    None,
}

/// What is known of one back end's failures.
#[derive(Debug, Clone, Default)]
pub struct CircuitBreaker {
    opening: Option<Opening>,
    doublings: u32,
    last_opened: Option<Millis>,
    cuts: u32,
    first_cut: Millis,
    turned_away_until: Millis,
}

/// An opening that no probe has ended yet.
#[derive(Debug, Clone, Copy)]
struct Opening {
    at: Millis,
    until: Millis,
    /// When the last probe was sent.
    probe: Option<Millis>,
}

impl CircuitBreaker {
    /// A run that began at `began` failed without any progress. Answers for how long the breaker is open, if it
    /// opens with this.
    pub fn record_failure(&mut self, began: Millis, now: Millis) -> Option<Millis> {
        let says_nothing_new = |opening: &Opening| now < opening.until || began <= opening.at;
        if self.opening.as_ref().is_some_and(says_nothing_new) {
            return None;
        }
        Some(self.open(now))
    }

    /// A run was cut short after it made progress. Answers as [`record_failure`](Self::record_failure) does.
    pub fn record_cut_short(&mut self, now: Millis) -> Option<Millis> {
        if self.cuts == 0 || now.saturating_sub(self.first_cut) > CUTS_TOGETHER_MS {
            self.cuts = 0;
            self.first_cut = now;
        }
        self.cuts += 1;
        if self.cuts < CUTS_TO_OPEN {
            return None;
        }
        self.record_failure(now, now)
    }

    /// A run that began at `began` brought an event or a whole answer. Answers whether that closes the breaker.
    pub fn record_answer(&mut self, began: Millis) -> bool {
        let closes = self.opening.is_some_and(|opening| began > opening.at);
        if closes {
            self.opening = None;
            self.cuts = 0;
        }
        closes
    }

    /// It had no place for an item.
    pub fn record_rejection(&mut self, now: Millis) {
        self.turned_away_until = now + TURNED_AWAY_MS;
    }

    /// A run begins there.
    pub fn record_start(&mut self, now: Millis) {
        if let Some(opening) = &mut self.opening {
            opening.probe = Some(now);
        }
    }

    /// Which new items it may be given now.
    pub fn admission(&self, now: Millis) -> Admission {
        if now < self.turned_away_until {
            return Admission::None;
        }
        let Some(opening) = &self.opening else {
            return Admission::All;
        };
        let awaits_probe = opening
            .probe
            .is_some_and(|sent| now.saturating_sub(sent) < PROBE_MS);
        if now < opening.until || awaits_probe {
            return Admission::None;
        }
        Admission::Probe
    }

    fn open(&mut self, now: Millis) -> Millis {
        let is_again = self
            .last_opened
            .is_some_and(|last| now.saturating_sub(last) <= FORGET_MS);
        self.doublings = match is_again {
            true => (self.doublings + 1).min(MOST_DOUBLINGS),
            false => 0,
        };
        let open_ms = FIRST_OPEN_MS << self.doublings;
        self.last_opened = Some(now);
        self.cuts = 0;
        self.opening = Some(Opening {
            at: now,
            until: now + open_ms,
            probe: None,
        });
        open_ms
    }
}
