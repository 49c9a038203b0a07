//! The lease for orders as other tasks of its holder use it: calls to the platform are made under it too.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use havenstage_clock::{AwakeInstant, Instant};
use havenstage_rollout::Millis;
use havenstage_rollout::lease::Term;

use crate::context::Context;
use crate::operations::DutyAuthority;
use crate::order_run::ORDER_TIMEOUT;

/// The lease that this node holds.
#[derive(Debug, Clone)]
pub struct LeaseGrant {
    /// The holder's term, which is its fencing token.
    pub term: Term,
    /// When this node learned that it holds the lease.
    pub since: AwakeInstant,
    /// Until when the lease is relied on; moves on with each sign of life.
    pub valid_until: Arc<AtomicU64>,
}

/// Term of the first holder ever: no other one acted before it.
const FIRST_TERM: Term = 1;

impl LeaseGrant {
    /// Time for which the lease is relied on from now on; `None` if it is not.
    pub fn remaining_validity(&self, now: Millis) -> Option<Duration> {
        let left = self.valid_until.load(Ordering::Relaxed).saturating_sub(now);
        (left > 0).then(|| Duration::from_millis(left))
    }

    /// What a call to the platform needs to be made under it now; `None` if none may be.
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

    /// Whether the last act of any holder before this one is at least `quiet` old: it ended with its lease.
    pub fn is_previous_holder_done(&self, quiet: Duration) -> bool {
        self.term <= FIRST_TERM || self.since.elapsed() >= quiet
    }
}
