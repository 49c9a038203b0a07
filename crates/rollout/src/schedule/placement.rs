//! Which back end an item runs on.

use super::{Candidate, WaitingItem};

/// Growth of a step's time with each item that runs beside.
const STEP_COST_PER_ITEM: f64 = 0.033;
/// Cost of reading a prompt again, as a share of a step's time.
const PROMPT_READ_COST: f64 = 0.05;

/// The best place for an item, or none.
pub fn choose<'a>(item: &WaitingItem, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
    let fitting = candidates
        .iter()
        .filter(|candidate| candidate.accepts(item));
    fitting.min_by(|left, right| {
        let order = left.cost_for(item).total_cmp(&right.cost_for(item));
        order.then_with(|| left.backend.cmp(&right.backend))
    })
}

impl Candidate {
    /// What running an item there costs, in milliseconds for each of its events.
    pub(super) fn cost_for(&self, item: &WaitingItem) -> f64 {
        let crowd = f64::from(self.running + 1);
        let reread = match &item.group {
            Some(group) if !self.groups.contains(group) => PROMPT_READ_COST,
            _ => 0.0,
        };
        // A batch step takes a base time and a little more for each running item.
        (1.0 + STEP_COST_PER_ITEM * crowd + reread) * self.event_gap_ms
    }
}
