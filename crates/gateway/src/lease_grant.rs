//! The order lease for other tasks of its holder: calls to the platform are also made under it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use havenstage_clock::{AwakeInstant, Instant};
use havenstage_rollout::Millis;
use havenstage_rollout::lease::Term;

use crate::context::Context;
use crate::operations::DutyAuthority;
use crate::order_run::ORDER_TIMEOUT;

/// The order lease, while this node holds it.
#[derive(Debug, Clone)]
pub struct LeaseGrant {
    /// Term of this holder; it is also the fencing token of its calls.
    pub term: Term,
    /// When this node learned that it holds the lease.
    pub since: AwakeInstant,
    /// Until when the holder relies on the lease, in the milliseconds of [`Context::now`]. Each confirmed
    /// heartbeat extends it; 0 before the first one.
    pub valid_until: Arc<AtomicU64>,
}

/// Term of the first holder, which has no predecessor.
const FIRST_TERM: Term = 1;

impl LeaseGrant {
    /// Time from `now` for which the lease is still valid; `None` if it is not valid.
    pub fn remaining_validity(&self, now: Millis) -> Option<Duration> {
        let left = self.valid_until.load(Ordering::Relaxed).saturating_sub(now);
        (left > 0).then(|| Duration::from_millis(left))
    }

    /// The authority for a call to the platform now, with the given timeout; `None` if the lease is not valid or
    /// calls of the previous holder may still arrive.
    pub fn authority(&self, context: &Context, timeout: Duration) -> Option<DutyAuthority> {
        let now = context.now();
        let order_lease = Duration::from_millis(context.settings.bounds.order_lease_ms);
        let remaining_validity = self.remaining_validity(now)?;
        self.is_previous_holder_done(order_lease + ORDER_TIMEOUT)
            .then(|| DutyAuthority {
                holder: context.node.to_string(),
                fence: self.term,
                write_by: Instant::now() + remaining_validity.min(timeout),
                timeout,
            })
    }

    /// Whether the last action of any previous holder is at least `min_age` old. A previous holder
    /// acts at latest until its lease ends.
    pub fn is_previous_holder_done(&self, min_age: Duration) -> bool {
        self.term <= FIRST_TERM || self.since.elapsed() >= min_age
    }
}
