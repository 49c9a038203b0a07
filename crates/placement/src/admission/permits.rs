//! Permits that were granted and have not ended.

use std::collections::BTreeMap;

use havenstage_types::clock::Moment;
use havenstage_types::ids::{AttemptId, NodeId};
use havenstage_types::peer::Permit;

/// A permit with the resources that the home node accounts to it.
#[derive(Debug, Clone)]
pub(super) struct HeldPermit {
    pub permit: Permit,
    pub is_live: bool,
    pub kv_tokens: u64,
    pub granted_at: Moment,
    /// Position in the order of all grants of this engine.
    pub grant_sequence: u64,
    /// Recovery generation of the engine when the permit was granted.
    pub generation: u64,
    /// Whether the holder was asked to cancel the work.
    pub preempted: bool,
}

/// All permits held, with the sums of their KV tokens and training slots.
#[derive(Debug, Clone, Default)]
pub(super) struct PermitTable {
    held: BTreeMap<AttemptId, HeldPermit>,
    kv_tokens: u64,
    training: u32,
}

impl PermitTable {
    pub fn insert(&mut self, held: HeldPermit) {
        self.kv_tokens += held.kv_tokens;
        self.training += u32::from(!held.is_live);
        self.held.insert(held.permit.attempt, held);
    }

    pub fn remove(&mut self, attempt: AttemptId) -> Option<HeldPermit> {
        let held = self.held.remove(&attempt)?;
        self.kv_tokens -= held.kv_tokens;
        self.training -= u32::from(!held.is_live);
        Some(held)
    }

    pub fn get(&self, attempt: AttemptId) -> Option<&HeldPermit> {
        self.held.get(&attempt)
    }

    pub fn mark_preempted(&mut self, attempt: AttemptId) {
        if let Some(held) = self.held.get_mut(&attempt) {
            held.preempted = true;
        }
    }

    pub fn values(&self) -> impl Iterator<Item = &HeldPermit> {
        self.held.values()
    }

    pub fn held_by(&self, node: NodeId) -> Vec<AttemptId> {
        self.held
            .keys()
            .copied()
            .filter(|attempt| attempt.node == node)
            .collect()
    }

    pub fn granted_at_or_before(&self, moment: Moment) -> Vec<AttemptId> {
        self.held
            .values()
            .filter(|held| held.granted_at <= moment)
            .map(|held| held.permit.attempt)
            .collect()
    }

    pub fn running(&self) -> u32 {
        self.held.len() as u32
    }

    pub fn training(&self) -> u32 {
        self.training
    }

    pub fn kv_tokens(&self) -> u64 {
        self.kv_tokens
    }
}
