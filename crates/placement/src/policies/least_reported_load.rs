//! Policy that ranks engines by their last load hint, the lowest first. Hints lag, so nodes with
//! the same hint choose the same engine at the same time. The policy is a baseline for comparisons.

use havenstage_types::decision::CandidateScore;
use havenstage_types::resource::PolicyName;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::{
    EngineView, PlacementPolicy, PlacementRequest, PolicySettings, eligible, take_candidates,
};

/// Ranks engines by load ratio, the lowest first.
#[derive(Debug)]
pub struct LeastReportedLoad {
    settings: PolicySettings,
    random: ChaCha8Rng,
}

impl LeastReportedLoad {
    /// Creates a policy that breaks ties randomly; the random numbers derive from `seed`.
    pub fn new(settings: PolicySettings, seed: u64) -> Self {
        Self {
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl PlacementPolicy for LeastReportedLoad {
    fn name(&self) -> PolicyName {
        PolicyName::LeastReportedLoad
    }

    fn rank(&mut self, request: &PlacementRequest, engines: &[EngineView]) -> Vec<CandidateScore> {
        let mut engines = eligible(request, engines);
        engines.shuffle(&mut self.random);
        engines.sort_by(|left, right| left.load_ratio().total_cmp(&right.load_ratio()));
        take_candidates(&engines, self.settings.candidates, |_, engine| {
            engine.load_ratio()
        })
    }
}
