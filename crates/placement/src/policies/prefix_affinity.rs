//! Policy that sends prompts with a common prefix to few engines, whose caches then hold it.
//!
//! The engines are ordered by a hash of prompt prefix and engine name (rendezvous hashing). The
//! first few whose load stays within a bound relative to the pool's mean (consistent hashing with
//! bounded loads) are the engines of the prefix. The least loaded of them is tried first (power of
//! k choices); among equally loaded ones an engine in the same zone. Every node computes the same
//! order without communication. Stragglers ignore the prefix and go to the least loaded engines.

use std::cmp::Ordering;

use havenstage_types::decision::CandidateScore;
use havenstage_types::resource::PolicyName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{EngineView, PlacementPolicy, PlacementRequest, PolicySettings, eligible};

/// Lower limit of the load bound, in requests. Without it the bound would spread the requests of
/// one prefix over many engines in an idle pool.
const MIN_LOAD_BOUND: f64 = 1.0;

/// Ranks the engines of a request's prompt prefix first.
#[derive(Debug)]
pub struct PrefixAffinity {
    settings: PolicySettings,
}

/// An engine with its position in the rendezvous order of one request.
struct Ranked<'a> {
    engine: &'a EngineView,
    hash: u64,
    /// Whether the engine is one of the engines of the request's prefix.
    prefix_match: bool,
}

impl PrefixAffinity {
    /// Creates a policy with these settings; it keeps no state between calls.
    pub fn new(settings: PolicySettings) -> Self {
        Self { settings }
    }

    /// Marks the engines of the prefix: the first in rendezvous order with a load in the bound.
    fn mark_prefix_engines(&self, ranked: &mut [Ranked<'_>]) {
        let bound = self.load_bound(ranked);
        ranked
            .iter_mut()
            .filter(|entry| is_within_bound(entry.engine, bound))
            .take(self.settings.engines_per_prefix)
            .for_each(|entry| entry.prefix_match = true);
    }

    /// The highest load ratio at which an engine may be chosen by prefix.
    fn load_bound(&self, ranked: &[Ranked<'_>]) -> f64 {
        let load: u64 = ranked
            .iter()
            .map(|entry| u64::from(entry.engine.load_hint))
            .sum();
        let slots: u64 = ranked
            .iter()
            .map(|entry| u64::from(entry.engine.max_running))
            .sum();
        let mean = load as f64 / slots.max(1) as f64;
        mean * f64::from(self.settings.load_bound_percent) / 100.0
    }
}

impl PlacementPolicy for PrefixAffinity {
    fn name(&self) -> PolicyName {
        PolicyName::PrefixAffinity
    }

    fn rank(&mut self, request: &PlacementRequest, engines: &[EngineView]) -> Vec<CandidateScore> {
        let seed = if request.straggler {
            request.subject_hash
        } else {
            request.prefix_hash
        };
        let mut ranked = rendezvous_order(seed, &eligible(request, engines));
        if !request.straggler {
            self.mark_prefix_engines(&mut ranked);
        }
        // The sort is stable: engines that compare equal stay in rendezvous order.
        ranked.sort_by(|left, right| compare(left, right, request));
        ranked.truncate(self.settings.candidates);
        ranked.iter().map(candidate).collect()
    }
}

fn rendezvous_order<'a>(seed: u64, engines: &[&'a EngineView]) -> Vec<Ranked<'a>> {
    let mut ranked: Vec<Ranked<'a>> = engines
        .iter()
        .map(|engine| Ranked {
            engine,
            hash: xxh3_64_with_seed(engine.name.as_str().as_bytes(), seed),
            prefix_match: false,
        })
        .collect();
    ranked.sort_by(|left, right| {
        (left.hash, &left.engine.name).cmp(&(right.hash, &right.engine.name))
    });
    ranked
}

fn is_within_bound(engine: &EngineView, bound: f64) -> bool {
    let max_load = (bound * f64::from(engine.max_running)).max(MIN_LOAD_BOUND);
    f64::from(engine.load_hint) <= max_load
}

/// Orders the engines of the prefix first, then lower load first, then the request's zone first.
fn compare(left: &Ranked<'_>, right: &Ranked<'_>, request: &PlacementRequest) -> Ordering {
    let is_in_other_zone = |entry: &Ranked<'_>| entry.engine.zone != request.zone;
    right
        .prefix_match
        .cmp(&left.prefix_match)
        .then_with(|| {
            left.engine
                .load_ratio()
                .total_cmp(&right.engine.load_ratio())
        })
        .then_with(|| is_in_other_zone(left).cmp(&is_in_other_zone(right)))
}

fn candidate(entry: &Ranked<'_>) -> CandidateScore {
    CandidateScore {
        engine: entry.engine.name.clone(),
        load: entry.engine.load_hint,
        prefix_match: entry.prefix_match,
        score: entry.engine.load_ratio(),
    }
}
