//! Engines in turn.

use havenstage_types::decision::CandidateScore;
use havenstage_types::resource::PolicyName;

use super::{
    EngineView, PlacementPolicy, PlacementRequest, PolicySettings, eligible, take_candidates,
};

/// See the module.
#[derive(Debug)]
pub struct RoundRobin {
    settings: PolicySettings,
    next: u64,
}

impl RoundRobin {
    /// A policy whose first turn is drawn from `seed`, so that nodes do not go in step.
    pub fn new(settings: PolicySettings, seed: u64) -> Self {
        Self {
            settings,
            next: seed,
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
        let turn = self.next % engines.len() as u64;
        engines.rotate_left(turn as usize);
        self.next = self.next.wrapping_add(1);
        take_candidates(&engines, self.settings.candidates, |position, _| {
            position as f64
        })
    }
}
