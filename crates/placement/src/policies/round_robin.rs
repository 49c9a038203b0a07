//! Policy that starts each ranking one engine later than the previous one.

use havenstage_types::decision::CandidateScore;
use havenstage_types::resource::PolicyName;

use super::{
    EngineView, PlacementPolicy, PlacementRequest, PolicySettings, eligible, take_candidates,
};

/// Ranks engines in the given order, rotated by one more position at each call.
#[derive(Debug)]
pub struct RoundRobin {
    settings: PolicySettings,
    next_turn: u64,
}

impl RoundRobin {
    /// Creates a policy whose first rotation is `seed`, so that nodes with different seeds do not
    /// choose the same engines at the same time.
    pub fn new(settings: PolicySettings, seed: u64) -> Self {
        Self {
            settings,
            next_turn: seed,
        }
    }
}

impl PlacementPolicy for RoundRobin {
    fn name(&self) -> PolicyName {
        PolicyName::RoundRobin
    }

    fn rank(&mut self, request: &PlacementRequest, engines: &[EngineView]) -> Vec<CandidateScore> {
        let mut engines = eligible(request, engines);
        if engines.is_empty() {
            return Vec::new();
        }
        let turn = self.next_turn % engines.len() as u64;
        engines.rotate_left(turn as usize);
        self.next_turn = self.next_turn.wrapping_add(1);
        take_candidates(&engines, self.settings.candidates, |position, _| {
            position as f64
        })
    }
}
