//! When each of many nodes claims a lease whose holder is silent.
//!
//! The load that this answers: a holder is gone, or all are, and every node sees it. A claim of a batch reads the whole
//! batch, and others hear of it only when they next read. Spread evenly over a time that grew with the fleet, claims
//! came at 67 a second for each batch, whatever the fleet: with 16 batches, more than the log gives, so that claims
//! failed and were made again. Now one node may claim at once, twice as many with each time that a claim takes to be
//! seen, and no more than so many a second from the whole fleet.

use crate::Millis;

/// Machines up to which claims are spread evenly: there are few of them.
const FEW_MACHINES: usize = 20;
/// Nodes that are expected to claim at once: with one, a third of the leases would wait for the next.
const FIRST_CLAIMS: f64 = 2.0;
/// Claims of one lease that the whole fleet makes in a second, once those are many that may claim: a batch that nobody
/// could claim within seconds is hardly waited for, and each try reads it.
const MOST_CLAIMS_PER_S: f64 = 10.0;
const MS_PER_S: f64 = 1_000.0;

/// How a fleet spreads its claims.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClaimSpread {
    /// How many machines there are.
    pub machines: usize,
    /// Time over which few machines spread their claims, in milliseconds.
    pub spread_ms: Millis,
    /// Time that a claim takes to be seen by all, in milliseconds.
    pub claim_visible_after_ms: Millis,
}

impl ClaimSpread {
    /// Time that a node waits with its claim. `draw` is its number for this claim, drawn evenly from all.
    pub fn delay_ms(&self, draw: u64) -> Millis {
        let spread_ms = self.spread_ms.max(1);
        if self.machines <= FEW_MACHINES {
            return draw % spread_ms;
        }
        let share = draw as f64 / u64::MAX as f64;
        // How many nodes are expected to claim before this one.
        let rank = share * self.machines as f64;
        let doubling_ms = (spread_ms + self.claim_visible_after_ms) as f64;
        let claims_per_ms = MOST_CLAIMS_PER_S / MS_PER_S;
        // From this rank on doublings would bring more claims a second than are wanted.
        let last_doubled = (claims_per_ms * doubling_ms / std::f64::consts::LN_2).max(FIRST_CLAIMS);
        let doubled_ms =
            doubling_ms * (rank.clamp(FIRST_CLAIMS, last_doubled) / FIRST_CLAIMS).log2();
        let evenly_ms = (rank - last_doubled).max(0.0) / claims_per_ms;
        (doubled_ms + evenly_ms) as Millis
    }

    /// Time until a node tries again whose claim came to nothing: those that may claim first try often, and the many
    /// that come after them as seldom as they came late.
    pub fn retry_delay_ms(&self, draw: u64, silence_ms: Millis) -> Millis {
        silence_ms.max(self.delay_ms(draw))
    }
}
