//! Policies that rank the engines of a pool for one piece of work, one file each behind one trait.

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

/// Bytes at the start of a prompt that decide which engines are likely to hold it in their cache.
pub const PREFIX_BYTES: usize = 256;

/// Work to be placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Hash of the request id or sample id; breaks ties differently for each subject.
    pub subject_hash: u64,
    /// Hash of the start of the prompt, from [`prefix_hash`].
    pub prefix_hash: u64,
    /// Zone of the node that places the work.
    pub zone: Zone,
    /// Class of the work.
    pub class: PriorityClass,
    /// Oldest version the work may run on; `None` accepts any.
    pub oldest_version: Option<VersionNumber>,
    /// Whether it is among the last samples of its step and should get a fast engine.
    pub straggler: bool,
}

/// An engine as the placing node knows it; all of it may be out of date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Its name.
    pub name: EngineName,
    /// Its zone.
    pub zone: Zone,
    /// Running and queued requests, from the last reply of its home.
    pub load_hint: u32,
    /// Most requests it runs at once.
    pub max_running: u32,
    /// Version it last reported; `None` when not known.
    pub version: Option<VersionNumber>,
    /// Whether it is believed to take new work.
    pub accepts_work: bool,
}

impl EngineView {
    /// Load as a share of the slots: 1.0 is full.
    pub fn load_ratio(&self) -> f64 {
        f64::from(self.load_hint) / f64::from(self.max_running.max(1))
    }

    /// Whether it may serve `request`. An engine whose version is not known may: its home decides.
    fn is_eligible(&self, request: &PlacementRequest) -> bool {
        let too_old = matches!(
            (self.version, request.oldest_version),
            (Some(version), Some(oldest)) if version < oldest
        );
        self.accepts_work && !too_old
    }
}

/// Ranks engines.
pub trait PlacementPolicy: Send {
    /// Name under which an operator chooses this policy.
    fn name(&self) -> PolicyName;

    /// The engines to try, the best first, at most [`PolicySettings::candidates`]; empty when no
    /// engine takes such work.
    fn rank(&mut self, request: &PlacementRequest, engines: &[EngineView]) -> Vec<CandidateScore>;
}

/// Settings of the policies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicySettings {
    /// Most candidates to return.
    pub candidates: usize,
    /// Engines that share one prompt prefix; the least loaded of them is tried first.
    pub engines_per_prefix: usize,
    /// Load, in percent of the pool's mean, above which an engine gets no work by prefix.
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
    /// Checks the ranges.
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

/// Makes the policy `name`. Policies made from equal arguments rank alike.
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

/// Engines that may serve `request`, in the order given.
fn eligible<'a>(request: &PlacementRequest, engines: &'a [EngineView]) -> Vec<&'a EngineView> {
    engines
        .iter()
        .filter(|engine| engine.is_eligible(request))
        .collect()
}

/// The first `count` of `ranked` as candidates without prefix knowledge.
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
