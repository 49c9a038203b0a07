//! Choice of the back end that an item runs on.
//!
//! A decode step of a back end takes longer the more tokens its items hold in memory, and a training
//! step lasts as long as its longest item. So items go where the fewest tokens are expected, which
//! keeps long items apart from each other and short items away from long ones. A back end whose memory
//! would run out is used only if there is no other.

use super::{Candidate, WaitingItem};

/// Share by which each running item lengthens a decode step, used if the memory capacity is unknown.
const COST_PER_ITEM: f64 = 0.033;
/// Cost of a full memory, as a share of a decode step's time. It is more than a full memory lengthens the
/// step, so that speed differences within measurement noise do not crowd items onto one back end, and less
/// than the cost of a slow machine.
const FULL_MEMORY_COST: f64 = 1.0;
/// Cost of prefilling a prompt that the back end does not hold, as a share of a decode step's time.
const PREFILL_COST: f64 = 0.05;

/// The back end with the lowest cost for the item, or `None` if none accepts it. If the memory would run
/// out on every back end that accepts it, the one with the smallest shortage is chosen.
pub fn choose_backend<'a>(
    item: &WaitingItem,
    candidates: &'a [Candidate],
) -> Option<&'a Candidate> {
    let tokens = item.tokens();
    let fitting = candidates
        .iter()
        .filter(|candidate| candidate.accepts(item));
    fitting.min_by(|left, right| {
        let shortage = |candidate: &Candidate| match candidate.memory.fits(tokens) {
            true => 0,
            false => candidate.memory.shortage(tokens),
        };
        let by_memory = shortage(left).cmp(&shortage(right));
        let by_cost = left.cost_for(item).total_cmp(&right.cost_for(item));
        by_memory
            .then(by_cost)
            .then_with(|| left.backend.cmp(&right.backend))
    })
}

impl Candidate {
    /// Cost of running the item there, in milliseconds for each of its events.
    pub(super) fn cost_for(&self, item: &WaitingItem) -> f64 {
        let prefill_cost = match &item.group {
            Some(group) if !self.groups.contains(group) => PREFILL_COST,
            _ => 0.0,
        };
        (1.0 + self.sharing_cost(item) + prefill_cost) * self.event_gap_ms
    }

    /// Cost of sharing the back end, as a share of a decode step's time, with this item included.
    fn sharing_cost(&self, item: &WaitingItem) -> f64 {
        match self.memory.share_with(item.tokens()) {
            Some(share) => FULL_MEMORY_COST * share,
            None => COST_PER_ITEM * f64::from(self.running + 1),
        }
    }
}
