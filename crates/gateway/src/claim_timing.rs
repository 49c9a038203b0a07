//! When this node may claim a lease whose holder has sent no heartbeat for too long.

use havenstage_rollout::Millis;
use havenstage_rollout::claim_delay::ClaimSpread;
use havenstage_rollout::lease::ClaimTiming;
use xxhash_rust::xxh3::xxh3_64;

use crate::context::Context;

/// How long the holder must be silent before this node claims the lease. The claims of several nodes are spread by a
/// hash of `claim`, a text that differs by node and by holder, so that usually only one node claims.
pub fn claim_timing(context: &Context, claim: &str) -> ClaimTiming {
    let silence_ms = context.settings.tuning.silence_ms;
    ClaimTiming {
        silence_ms: silence_ms + context.pace().read_interval_ms,
        spread_ms: claim_spread(context).delay_ms(xxh3_64(claim.as_bytes())),
    }
}

/// Milliseconds until this node retries a claim that did not win the lease.
pub fn claim_retry_delay_ms(context: &Context, claim: &str) -> Millis {
    let silence_ms = context.settings.tuning.silence_ms;
    claim_spread(context).retry_delay_ms(xxh3_64(claim.as_bytes()), silence_ms)
}

/// The spread of claims over time, given the size of the fleet.
fn claim_spread(context: &Context) -> ClaimSpread {
    ClaimSpread {
        machines: context.fleet_size(),
        spread_ms: context.settings.tuning.spread_ms,
        claim_visible_after_ms: context.pace().read_interval_ms,
    }
}
