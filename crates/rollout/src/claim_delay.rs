//! Delays after which the nodes of a fleet claim a lease whose holder sends no heartbeats.
//!
//! When one holder or all holders fail, every node detects it at about the same time. A claim of a batch reads the
//! whole batch, and other nodes learn of the claim only at their next read of the log. With claims spread evenly over
//! a time proportional to the number of machines, 67 nodes a second claim each batch at any fleet size; with 16
//! batches that exceeds the capacity of the log, so that claims fail and are retried.
//!
//! Therefore the expected number of claims starts small, doubles in each interval in which a claim becomes visible to
//! other nodes, and is limited to a maximum rate over the whole fleet.

use crate::Millis;

/// Largest number of machines whose claims are spread evenly: so few need no limit.
const EVEN_SPREAD_MAX_MACHINES: usize = 20;
/// Expected number of nodes that claim without delay. With 1, no node would do so for a third of the leases, which
/// would wait for the next node.
const EXPECTED_IMMEDIATE_CLAIMS: f64 = 2.0;
/// Maximum rate at which the whole fleet claims one lease, once many nodes may claim it. Each attempt reads the whole
/// batch, and a client hardly waits any longer for a batch that no node could claim within seconds.
const MAX_CLAIMS_PER_S: f64 = 10.0;
const MS_PER_S: f64 = 1_000.0;

/// Parameters by which the nodes of a fleet spread their claims of a lease.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClaimSpread {
    /// Number of machines in the fleet.
    pub machines: usize,
    /// Time over which a small fleet spreads its claims, in milliseconds.
    pub spread_ms: Millis,
    /// Time until all nodes have read a claim, in milliseconds.
    pub claim_visible_after_ms: Millis,
}

impl ClaimSpread {
    /// Returns the time that a node waits before it claims, in milliseconds. `draw` is the node's random number for
    /// this claim, uniform over all values.
    pub fn delay_ms(&self, draw: u64) -> Millis {
        let spread_ms = self.spread_ms.max(1);
        if self.machines <= EVEN_SPREAD_MAX_MACHINES {
            return draw % spread_ms;
        }
        let share = draw as f64 / u64::MAX as f64;
        // Expected number of nodes that claim before this one.
        let rank = share * self.machines as f64;
        let doubling_ms = (spread_ms + self.claim_visible_after_ms) as f64;
        let claims_per_ms = MAX_CLAIMS_PER_S / MS_PER_S;
        // Beyond this rank, further doubling would exceed the maximum rate.
        let last_doubled_rank =
            (claims_per_ms * doubling_ms / std::f64::consts::LN_2).max(EXPECTED_IMMEDIATE_CLAIMS);
        let doubled_ms = doubling_ms
            * (rank.clamp(EXPECTED_IMMEDIATE_CLAIMS, last_doubled_rank)
                / EXPECTED_IMMEDIATE_CLAIMS)
                .log2();
        let evenly_ms = (rank - last_doubled_rank).max(0.0) / claims_per_ms;
        (doubled_ms + evenly_ms) as Millis
    }

    /// Returns the time until a node retries a claim that failed, in milliseconds: at least `silence_ms`, the time
    /// without heartbeats after which a lease may be claimed. The first nodes to claim retry often; later nodes retry
    /// after their own longer delay, so that the rate of retries stays bounded at any fleet size.
    pub fn retry_delay_ms(&self, draw: u64, silence_ms: Millis) -> Millis {
        silence_ms.max(self.delay_ms(draw))
    }
}
