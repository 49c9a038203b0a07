//! Keeps prompts with a common start on few engines, whose caches then hold that start.
//!
//! The engines are put in rendezvous order by a hash of prompt prefix and engine name. The first
//! few whose load stays within a bound around the pool's mean (consistent hashing with bounded
//! loads) are the prefix's engines; among them the least loaded is tried first (power of k
//! choices), one in the same zone among equals. Every node computes the same order without a word
//! to the others. Stragglers skip the prefix and go to the least loaded engines.

use std::cmp::Ordering;

use havenstage_types::decision::CandidateScore;
use havenstage_types::resource::PolicyName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{EngineView, PlacementPolicy, PlacementRequest, PolicySettings, eligible};

/// Requests an engine may always have, so that the bound does not scatter work in an idle pool.
const LOAD_ALWAYS_ALLOWED: f64 = 1.0;

/// See the module.
#[derive(Debug)]
pub struct PrefixAffinity {
    settings: PolicySettings,
}

/// An engine with its place in the order of one request.
struct Ranked<'a> {
    engine: &'a EngineView,
    hash: u64,
    prefix_match: bool,
}

impl PrefixAffinity {
    /// A policy with these settings; it keeps no state.
    pub fn new(settings: PolicySettings) -> Self {
        Self { settings }
    }

    /// Marks the prefix's engines: the first in rendezvous order whose load is within the bound.
    fn mark_prefix_engines(&self, ranked: &mut [Ranked<'_>]) {
        let bound = self.load_bound(ranked);
        ranked
            .iter_mut()
            .filter(|entry| within_bound(entry.engine, bound))
            .take(self.settings.engines_per_prefix)
            .for_each(|entry| entry.prefix_match = true);
    }

    /// The highest load ratio an engine may have to get work by prefix.
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

fn within_bound(engine: &EngineView, bound: f64) -> bool {
    let allowed = (bound * f64::from(engine.max_running)).max(LOAD_ALWAYS_ALLOWED);
    f64::from(engine.load_hint) <= allowed
}

/// The prefix's engines first, then by load, then the same zone.
fn compare(left: &Ranked<'_>, right: &Ranked<'_>, request: &PlacementRequest) -> Ordering {
    let other_zone = |entry: &Ranked<'_>| entry.engine.zone != request.zone;
    right
        .prefix_match
        .cmp(&left.prefix_match)
        .then_with(|| {
            left.engine
                .load_ratio()
                .total_cmp(&right.engine.load_ratio())
        })
        .then_with(|| other_zone(left).cmp(&other_zone(right)))
}

fn candidate(entry: &Ranked<'_>) -> CandidateScore {
    CandidateScore {
        engine: entry.engine.name.clone(),
        load: entry.engine.load_hint,
        prefix_match: entry.prefix_match,
        score: entry.engine.load_ratio(),
    }
}
