//! When this node may claim a lease whose holder is silent.

use havenstage_rollout::Millis;
use havenstage_rollout::claim_delay::ClaimSpread;
use havenstage_rollout::lease::ClaimTiming;
use xxhash_rust::xxh3::xxh3_64;

use crate::context::Context;

/// Claims of several nodes are spread by a hash of `claim`, a text that differs from node to node and from
/// holder to holder, so that usually the first one is the only one.
pub fn claim_timing(context: &Context, claim: &str) -> ClaimTiming {
    let silence_ms = context.settings.tuning.silence_ms;
    ClaimTiming {
        silence_ms: silence_ms + context.pace().read_interval_ms,
        spread_ms: claim_spread(context).delay_ms(xxh3_64(claim.as_bytes())),
    }
}

/// Time until this node makes a claim again that came to nothing.
pub fn claim_retry_delay_ms(context: &Context, claim: &str) -> Millis {
    let silence_ms = context.settings.tuning.silence_ms;
    claim_spread(context).retry_delay_ms(xxh3_64(claim.as_bytes()), silence_ms)
}

/// How this fleet spreads its claims.
fn claim_spread(context: &Context) -> ClaimSpread {
    ClaimSpread {
        machines: context.fleet_size(),
        spread_ms: context.settings.tuning.spread_ms,
        claim_visible_after_ms: context.pace().read_interval_ms,
    }
}
