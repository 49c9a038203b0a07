//! Choice of the training requests that are preempted for queued live requests.

use std::cmp::Reverse;

use havenstage_types::ids::AttemptId;

use super::permits::{HeldPermit, PermitTable};

/// Slots and KV tokens that are missing for the queued live requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Shortage {
    pub slots: u64,
    pub kv_tokens: u64,
}

impl Shortage {
    /// Computes what is missing for `waiting` more requests that use `waiting_kv_tokens` together.
    /// Permits already being preempted count as free.
    pub fn new(
        permits: &PermitTable,
        waiting: u32,
        waiting_kv_tokens: u64,
        max_running: u32,
        kv_budget: u64,
    ) -> Self {
        let preempted_permits = permits.values().filter(|held| held.preempted);
        let (preempted_slots, preempted_kv) =
            preempted_permits.fold((0, 0), |(slots, kv), held| (slots + 1, kv + held.kv_tokens));
        let wanted_slots = u64::from(permits.running()) - preempted_slots + u64::from(waiting);
        let wanted_kv = permits.kv_tokens() - preempted_kv + waiting_kv_tokens;
        Self {
            slots: wanted_slots.saturating_sub(u64::from(max_running)),
            kv_tokens: wanted_kv.saturating_sub(kv_budget),
        }
    }

    fn is_none(self) -> bool {
        self.slots == 0 && self.kv_tokens == 0
    }

    fn reduced_by(self, held: &HeldPermit) -> Self {
        Self {
            slots: self.slots.saturating_sub(1),
            kv_tokens: self.kv_tokens.saturating_sub(held.kv_tokens),
        }
    }
}

/// Returns the training attempts to cancel so that `shortage` is covered. The most recently granted
/// come first, because they lose the least progress.
pub(super) fn choose_victims(permits: &PermitTable, shortage: Shortage) -> Vec<AttemptId> {
    let mut training: Vec<&HeldPermit> = permits
        .values()
        .filter(|held| !held.is_live && !held.preempted)
        .collect();
    training.sort_by_key(|held| Reverse(held.grant_sequence));
    let mut remaining = shortage;
    let mut victims = Vec::new();
    for held in training {
        if remaining.is_none() {
            break;
        }
        remaining = remaining.reduced_by(held);
        victims.push(held.permit.attempt);
    }
    victims
}
