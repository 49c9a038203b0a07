//! When this node may claim a lease whose holder is silent.

use havenstage_rollout::lease::ClaimTiming;
use xxhash_rust::xxh3::xxh3_64;

use crate::context::Context;

/// Claims of several nodes are spread by a hash of `claim`, a text that differs from node to node and from
/// holder to holder, so that usually the first one is the only one.
pub fn claim_timing(context: &Context, claim: &str) -> ClaimTiming {
    let tuning = &context.settings.tuning;
    let pace = context.pace();
    let spread_ms = (tuning.spread_ms * pace.spread_factor).max(1);
    ClaimTiming {
        silence_ms: tuning.silence_ms + pace.gap_ms,
        spread_ms: xxh3_64(claim.as_bytes()) % spread_ms,
    }
}
