//! The engine with the least load by the last hint. Hints lag, so nodes that hold the same hint
//! run to the same engine together; kept as a baseline to compare with.

use havenstage_types::decision::CandidateScore;
use havenstage_types::resource::PolicyName;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::{
    EngineView, PlacementPolicy, PlacementRequest, PolicySettings, eligible, take_candidates,
};

/// See the module.
#[derive(Debug)]
pub struct LeastReportedLoad {
    settings: PolicySettings,
    random: ChaCha8Rng,
}

impl LeastReportedLoad {
    /// A policy that breaks ties by draws from `seed`.
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
