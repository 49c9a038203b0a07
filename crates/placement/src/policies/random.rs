//! Policy that chooses every engine with equal probability.

use havenstage_types::decision::CandidateScore;
use havenstage_types::resource::PolicyName;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::{
    EngineView, PlacementPolicy, PlacementRequest, PolicySettings, eligible, take_candidates,
};

/// Ranks engines in random order.
#[derive(Debug)]
pub struct Random {
    settings: PolicySettings,
    random: ChaCha8Rng,
}

impl Random {
    /// Creates a policy whose random numbers derive from `seed`.
    pub fn new(settings: PolicySettings, seed: u64) -> Self {
        Self {
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl PlacementPolicy for Random {
    fn name(&self) -> PolicyName {
        PolicyName::Random
    }

    fn rank(&mut self, request: &PlacementRequest, engines: &[EngineView]) -> Vec<CandidateScore> {
        let mut engines = eligible(request, engines);
        let (chosen, _) = engines.partial_shuffle(&mut self.random, self.settings.candidates);
        take_candidates(chosen, self.settings.candidates, |position, _| {
            position as f64
        })
    }
}
