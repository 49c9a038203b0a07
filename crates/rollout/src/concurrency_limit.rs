//! How many calls may be under way to a pool at a time, learned from what it takes.
//!
//! The limit rises with each call that is taken, first by one, and by one for a whole round of them once the
//! pool has turned a call away; it falls by a share when the pool turns calls away, so that many nodes that call
//! the same pool find their shares without knowing of each other. It falls too when calls wait in the pool's
//! queues, where others wait behind them, but then not below the node's even share of the pool's places: a pool that
//! is only slow is used whole.

use crate::Millis;

/// Calls that may be under way before anything is known.
const FIRST_LIMIT: f64 = 4.0;
/// Most calls under way: no pool of applications that is known takes more from one node.
const HIGHEST_LIMIT: f64 = 256.0;
/// What is left of the limit after calls were turned away.
const BACKOFF: f64 = 0.7;
/// Time in which calls that are turned away lower the limit once: they were under way together.
const LOWERED_ONCE_MS: Millis = 100;

/// How a call under way ended, as far as the limit is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// A back end worked on it soon.
    Accepted,
    /// A back end worked on it, but it took so long that it must have waited there, or works slowly.
    AcceptedLate,
    /// Every back end that was asked had no place for it.
    Rejected,
    /// It says nothing of places.
    Unknown,
}

/// The limit, and how many calls are under way.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    under_way: u32,
    /// When the limit was last lowered; `None` while nothing was turned away.
    lowered_at: Option<Millis>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit: FIRST_LIMIT,
            under_way: 0,
            lowered_at: None,
        }
    }
}

impl ConcurrencyLimit {
    /// Begins a call if one more may be under way.
    pub fn try_start(&mut self) -> bool {
        let may_begin = f64::from(self.under_way) < self.limit.floor();
        self.under_way += u32::from(may_begin);
        may_begin
    }

    /// A call that was begun has ended.
    /// `share` is what the limit does not fall below for calls that waited.
    pub fn record_end(&mut self, end: CallEnd, share: u32, now: Millis) {
        self.under_way = self.under_way.saturating_sub(1);
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
        self.limit = (self.limit + step).min(HIGHEST_LIMIT);
    }

    fn lower(&mut self, least: f64, now: Millis) {
        let is_told = self
            .lowered_at
            .is_some_and(|at| now.saturating_sub(at) < LOWERED_ONCE_MS);
        if !is_told {
            self.limit = (self.limit * BACKOFF).max(least).max(1.0);
            self.lowered_at = Some(now);
        }
    }

    /// Calls that may be under way now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }
}
