//! Which training work gives way to waiting live work.

use std::cmp::Reverse;

use havenstage_types::ids::AttemptId;

use super::permits::{HeldPermit, PermitTable};

/// Slots and KV tokens that the waiting live requests lack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Shortage {
    pub slots: u64,
    pub kv_tokens: u64,
}

impl Shortage {
    /// What `waiting` more requests with `waiting_kv_tokens` together lack, when all permits now
    /// held are counted but those already asked to give way.
    pub fn new(
        permits: &PermitTable,
        waiting: u32,
        waiting_kv_tokens: u64,
        max_running: u32,
        kv_budget: u64,
    ) -> Self {
        let leaving = permits.values().filter(|held| held.preempted);
        let (leaving_slots, leaving_kv) =
            leaving.fold((0, 0), |(slots, kv), held| (slots + 1, kv + held.kv_tokens));
        let wanted_slots = u64::from(permits.running()) - leaving_slots + u64::from(waiting);
        let wanted_kv = permits.kv_tokens() - leaving_kv + waiting_kv_tokens;
        Self {
            slots: wanted_slots.saturating_sub(u64::from(max_running)),
            kv_tokens: wanted_kv.saturating_sub(kv_budget),
        }
    }

    fn is_none(self) -> bool {
        self.slots == 0 && self.kv_tokens == 0
    }

    fn covered_by(self, held: &HeldPermit) -> Self {
        Self {
            slots: self.slots.saturating_sub(1),
            kv_tokens: self.kv_tokens.saturating_sub(held.kv_tokens),
        }
    }
}

/// The training attempts to cancel so that `shortage` is covered: those granted last first, since
/// they have the least progress to redo.
pub(super) fn choose_victims(permits: &PermitTable, shortage: Shortage) -> Vec<AttemptId> {
    let mut training: Vec<&HeldPermit> = permits
        .values()
        .filter(|held| !held.is_live && !held.preempted)
        .collect();
    training.sort_by_key(|held| Reverse(held.grant_sequence));
    let mut left = shortage;
    let mut victims = Vec::new();
    for held in training {
        if left.is_none() {
            break;
        }
        left = left.covered_by(held);
        victims.push(held.permit.attempt);
    }
    victims
}
