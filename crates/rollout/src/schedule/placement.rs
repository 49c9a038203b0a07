//! Which back end an item runs on.
//!
//! A step of a back end takes longer the more tokens its items hold in memory, and a trainer's step
//! lasts as long as its longest item. So items go where the fewest tokens are expected, which keeps
//! long ones apart from each other and short ones away from them, and never, while there is another
//! place, where the memory would run out.

use super::{Candidate, WaitingItem};

/// Growth of a step's time with each item that runs beside, where the memory is not known.
const STEP_COST_PER_ITEM: f64 = 0.033;
/// Cost of a full memory, as a share of a step's time. More than what a step grows by, so that
/// differences in speed within the noise of their measurement don't crowd items together, and less
/// than what slow machines cost.
const FULL_MEMORY_COST: f64 = 1.0;
/// Cost of reading a prompt again, as a share of a step's time.
const PROMPT_READ_COST: f64 = 0.05;

/// The best place for an item, or none. One where the memory would run out is taken only for want
/// of others, and then the one that lacks the least.
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
    /// What running an item there costs, in milliseconds for each of its events.
    pub(super) fn cost_for(&self, item: &WaitingItem) -> f64 {
        let reread = match &item.group {
            Some(group) if !self.groups.contains(group) => PROMPT_READ_COST,
            _ => 0.0,
        };
        (1.0 + self.crowd_cost(item) + reread) * self.event_gap_ms
    }

    /// What a step takes longer for what runs there, this item among it.
    fn crowd_cost(&self, item: &WaitingItem) -> f64 {
        match self.memory.share_with(item.tokens()) {
            Some(share) => FULL_MEMORY_COST * share,
            None => STEP_COST_PER_ITEM * f64::from(self.running + 1),
        }
    }
}
