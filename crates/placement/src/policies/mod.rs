//! Policies that rank the engines of a pool for one request or sample, behind one trait.

mod least_reported_load;
mod prefix_affinity;
mod random;
mod round_robin;

use havenstage_types::decision::CandidateScore;
use havenstage_types::ids::{EngineName, VersionNumber, Zone};
use havenstage_types::resource::{PolicyName, PriorityClass};
use xxhash_rust::xxh3::xxh3_64;

use crate::settings::InvalidSetting;
pub use least_reported_load::LeastReportedLoad;
pub use prefix_affinity::PrefixAffinity;
pub use random::Random;
pub use round_robin::RoundRobin;

/// Number of bytes at the start of a prompt that are hashed to choose the engines likely to have
/// the prompt's prefix in their cache.
pub const PREFIX_BYTES: usize = 256;

/// A request or sample to be placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Hash of the request id or sample id. Seeds the rendezvous order of stragglers, so that ties
    /// are broken differently for each subject.
    pub subject_hash: u64,
    /// Hash of the start of the prompt, computed by [`prefix_hash`].
    pub prefix_hash: u64,
    /// Zone of the node that places the work. With prefix affinity, engines in this zone win ties.
    pub zone: Zone,
    /// Priority class of the work.
    pub class: PriorityClass,
    /// Oldest weight version the work may run on; `None` accepts any.
    pub oldest_version: Option<VersionNumber>,
    /// Whether the work is one of the last samples of its step. Prefix affinity sends these to the
    /// least loaded engines.
    pub straggler: bool,
}

/// State of an engine as the placing node knows it; every field may be out of date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Name of the engine; input of the rendezvous hash.
    pub name: EngineName,
    /// Zone in which the engine runs.
    pub zone: Zone,
    /// Number of running and queued requests in the last reply of its home node.
    pub load_hint: u32,
    /// Maximum number of requests the engine runs at once.
    pub max_running: u32,
    /// Weight version that the engine last reported; `None` when unknown.
    pub version: Option<VersionNumber>,
    /// Whether the engine is expected to accept new work.
    pub accepts_work: bool,
}

impl EngineView {
    /// Load hint divided by the number of slots. 1.0 means full; queued requests raise it above.
    pub fn load_ratio(&self) -> f64 {
        f64::from(self.load_hint) / f64::from(self.max_running.max(1))
    }

    /// Whether the engine may serve `request`. An engine of unknown version may: its home node
    /// decides.
    fn is_eligible(&self, request: &PlacementRequest) -> bool {
        let too_old = matches!(
            (self.version, request.oldest_version),
            (Some(version), Some(oldest)) if version < oldest
        );
        self.accepts_work && !too_old
    }
}

/// A policy that ranks the engines of a pool for one request.
pub trait PlacementPolicy: Send {
    /// Name by which an operator selects this policy.
    fn name(&self) -> PolicyName;

    /// Returns the engines to try, the best first, at most [`PolicySettings::candidates`]. The
    /// result is empty when no engine may serve the request.
    fn rank(&mut self, request: &PlacementRequest, engines: &[EngineView]) -> Vec<CandidateScore>;
}

/// Settings shared by all policies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicySettings {
    /// Maximum number of candidates that a policy returns.
    pub candidates: usize,
    /// Number of engines that serve one prompt prefix; the least loaded of them is tried first.
    pub engines_per_prefix: usize,
    /// Load, in percent of the pool's mean, above which an engine is not chosen by prefix.
    pub load_bound_percent: u32,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            candidates: 3,
            engines_per_prefix: 2,
            load_bound_percent: 125,
        }
    }
}

impl PolicySettings {
    /// Checks the ranges of the settings.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is outside its range.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        InvalidSetting::unless(
            self.candidates >= 1,
            "placement.candidates",
            self.candidates,
            "at least 1",
        )?;
        InvalidSetting::unless(
            self.engines_per_prefix >= 1,
            "placement.engines_per_prefix",
            self.engines_per_prefix,
            "at least 1",
        )?;
        InvalidSetting::unless(
            self.load_bound_percent >= 100,
            "placement.load_bound_percent",
            self.load_bound_percent,
            "at least 100",
        )
    }
}

/// Creates the policy `name`. Policies created from equal arguments return equal rankings for the
/// same sequence of calls.
pub fn build(name: PolicyName, settings: &PolicySettings, seed: u64) -> Box<dyn PlacementPolicy> {
    let settings = settings.clone();
    match name {
        PolicyName::Random => Box::new(Random::new(settings, seed)),
        PolicyName::RoundRobin => Box::new(RoundRobin::new(settings, seed)),
        PolicyName::LeastReportedLoad => Box::new(LeastReportedLoad::new(settings, seed)),
        PolicyName::PrefixAffinity => Box::new(PrefixAffinity::new(settings)),
    }
}

/// Hash of the first [`PREFIX_BYTES`] bytes of a prompt.
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// Returns the engines that may serve `request`, in the given order.
fn eligible<'a>(request: &PlacementRequest, engines: &'a [EngineView]) -> Vec<&'a EngineView> {
    engines
        .iter()
        .filter(|engine| engine.is_eligible(request))
        .collect()
}

/// Returns the first `count` of `ranked` as candidates without a prefix match.
fn take_candidates(
    ranked: &[&EngineView],
    count: usize,
    score: impl Fn(usize, &EngineView) -> f64,
) -> Vec<CandidateScore> {
    ranked
        .iter()
        .take(count)
        .enumerate()
        .map(|(position, engine)| CandidateScore {
            engine: engine.name.clone(),
            load: engine.load_hint,
            prefix_match: false,
            score: score(position, engine),
        })
        .collect()
}
