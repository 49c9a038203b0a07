//! Adaptive limit on the calls in flight to a pool, with additive increase and multiplicative decrease.
//!
//! Each accepted call raises the limit: by one at first, and by one for a whole round of calls once the limit has been
//! lowered. Rejected calls lower it by a fixed factor, so that many nodes that call the same pool converge to
//! their shares without knowing of each other. Calls that wait in the pool's queues also lower the limit, since calls of
//! others wait behind them, but not below the node's even share of the pool's slots: a pool that is only slow is
//! still used fully.

use crate::Millis;

/// Limit before the first call has ended.
const INITIAL_LIMIT: f64 = 4.0;
/// Upper bound of the limit. No known pool of applications accepts more calls from one node.
const MAX_LIMIT: f64 = 256.0;
/// Factor by which the limit is lowered.
const DECREASE_FACTOR: f64 = 0.7;
/// Time in which the limit is lowered only once, since the calls that lower it were in flight together.
const DECREASE_INTERVAL_MS: Millis = 100;

/// How a call ended, as far as the limit is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// A back end started work on the call without delay.
    Accepted,
    /// A back end accepted the call, but took so long that the call must have waited there or the back end is slow.
    AcceptedLate,
    /// No back end that was asked had a free slot for the call.
    Rejected,
    /// The end of the call says nothing about free slots. The limit stays as it is.
    Unknown,
}

/// The current limit and the number of calls in flight.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    in_flight: u32,
    /// When the limit was last lowered; `None` if never.
    lowered_at: Option<Millis>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            in_flight: 0,
            lowered_at: None,
        }
    }
}

impl ConcurrencyLimit {
    /// Counts one more call as in flight if the limit allows it, and returns whether it does.
    pub fn try_start(&mut self) -> bool {
        let can_start = f64::from(self.in_flight) < self.limit.floor();
        self.in_flight += u32::from(can_start);
        can_start
    }

    /// Records the end of a call in flight. [`AcceptedLate`](CallEnd::AcceptedLate) does not lower the limit below
    /// `share`, the node's even share of the pool's slots.
    pub fn record_end(&mut self, end: CallEnd, share: u32, now: Millis) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            CallEnd::Accepted => self.raise(),
            CallEnd::AcceptedLate if self.limit > f64::from(share) => {
                self.lower(f64::from(share), now);
            }
            CallEnd::AcceptedLate => self.raise(),
            CallEnd::Rejected => self.lower(1.0, now),
            CallEnd::Unknown => {}
        }
    }

    fn raise(&mut self) {
        let step = match self.lowered_at {
            None => 1.0,
            Some(_) => 1.0 / self.limit,
        };
        self.limit = (self.limit + step).min(MAX_LIMIT);
    }

    fn lower(&mut self, minimum: f64, now: Millis) {
        let was_just_lowered = self
            .lowered_at
            .is_some_and(|at| now.saturating_sub(at) < DECREASE_INTERVAL_MS);
        if !was_just_lowered {
            self.limit = (self.limit * DECREASE_FACTOR).max(minimum).max(1.0);
            self.lowered_at = Some(now);
        }
    }

    /// Calls that may be in flight now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }
}
