//! What an experiment file says; every field names its unit.

use std::time::Duration;

use havenstage_emulator::EngineSettings;
use havenstage_node::settings::NodeSettings;
use havenstage_types::resource::PolicyName;
use serde::{Deserialize, Serialize};

/// A whole experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Experiment {
    /// Name shown in reports.
    pub name: String,
    /// Deployment to model.
    pub deployment: DeploymentName,
    /// Share of the deployment's engines and nodes, in percent; only for the letter's size.
    pub scale_percent: u32,
    /// Nodes in each zone; for the letter's size this is derived.
    pub nodes_per_zone: u32,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Longest virtual time in seconds; without training, the length of the run.
    pub duration_s: f64,
    /// Whether the job runs; without it, only live load.
    pub training: bool,
    /// How nodes choose among the engines of a pool.
    pub policy: PolicyName,
    /// Limits of every pool.
    pub pool: PoolLimits,
    /// The rollout job.
    pub job: JobSettings,
    /// The trainer.
    pub trainer: TrainerSettings,
    /// Live callers.
    pub live: Vec<LiveSettings>,
    /// Faults at given times.
    pub faults: Vec<FaultSettings>,
    /// Faults at random times.
    pub fault_rates: FaultRates,
    /// Platform services.
    pub platform: PlatformOverrides,
    /// Engines.
    pub engine: EngineSettings,
    /// Nodes.
    pub node: NodeSettings,
}

/// Deployments to model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeploymentName {
    /// The utilities in northern Spain: 8 trained engines, 3 for serving.
    Cobrasur,
    /// The delivery network in the Po valley: 9 trained engines, 4 for serving.
    PoValley,
    /// 380 nodes and 680 engines in one trained pool, times `scale_percent`.
    LetterSize,
}

/// Limits of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolLimits {
    /// Requests an engine runs at once.
    pub max_running: u32,
    /// Requests that wait at an engine's home.
    pub max_queued: u32,
    /// Share of the slots, in percent, that training never takes.
    pub live_reserve_percent: u8,
}

/// The rollout job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSettings {
    /// Different prompts.
    pub prompts: u32,
    /// Words at the start of every prompt that all prompts share.
    pub shared_words: u32,
    /// Words of a prompt besides the shared ones.
    pub own_words: u32,
    /// Samples of one prompt.
    pub group_size: u32,
    /// Samples of a step.
    pub samples_per_step: u32,
    /// Versions a sample's oldest token may be behind the newest.
    pub staleness_bound: u64,
    /// Upper bound on the tokens of a sample.
    pub max_tokens: u32,
    /// Steps of the whole job.
    pub steps: u64,
    /// Steps open beyond the last acknowledged one.
    pub steps_ahead: u32,
}

/// The trainer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrainerSettings {
    /// Seconds to train on one step.
    pub train_s: f64,
    /// Steps from one published version to the next.
    pub steps_per_version: u64,
    /// Samples asked for in one read.
    pub batch: usize,
}

/// A group of live callers; they come whether or not earlier ones were served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LiveSettings {
    /// Name of the callers.
    pub name: String,
    /// Pool they call.
    pub pool: PoolRole,
    /// Mean requests a second outside bursts.
    pub rate_per_s: f64,
    /// Times of more requests.
    #[serde(default)]
    pub burst: Option<BurstSettings>,
    /// Different prompt prefixes.
    pub prefixes: u32,
    /// Words of a prefix.
    pub prefix_words: u32,
    /// Words of a prompt after its prefix.
    pub own_words: u32,
    /// Upper bound on the tokens of an answer.
    pub max_tokens: u32,
    /// Seconds allowed for a request.
    pub deadline_s: f64,
}

/// Which pool of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolRole {
    /// The pool that is trained.
    Trained,
    /// The pool that serves live calls only.
    Serving,
}

/// Regular bursts of live requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstSettings {
    /// Seconds from the start of one burst to the start of the next.
    pub every_s: f64,
    /// Seconds a burst lasts.
    pub length_s: f64,
    /// Factor on the rate during a burst.
    pub factor: f64,
}

/// A fault at a given time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSettings {
    /// Seconds after the start of the load.
    pub at_s: f64,
    /// What fails.
    pub kind: FaultKind,
    /// Number of the engine or node that fails.
    pub target: u32,
    /// Seconds until it works again.
    pub for_s: f64,
}

/// What can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// An engine's process dies and starts again.
    EngineCrash,
    /// A node's process dies and starts again with a new identity.
    NodeCrash,
    /// An engine's version swaps fail.
    SwapFailure,
}

/// Faults at random times drawn from the seed, over the whole deployment.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRates {
    /// Engine crashes an hour.
    pub engine_crashes_per_hour: f64,
    /// Node crashes an hour.
    pub node_crashes_per_hour: f64,
    /// Times an hour at which one engine's swaps begin to fail.
    pub swap_failures_per_hour: f64,
    /// Seconds until what failed works again.
    pub for_s: f64,
}

/// Platform services.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformOverrides {
    /// Weight fetches that the store starts in a second.
    pub weight_fetches_per_second: u32,
    /// Milliseconds one weight fetch takes.
    pub weight_fetch_ms: u64,
}

impl Default for Experiment {
    fn default() -> Self {
        Self {
            name: "experiment".to_owned(),
            deployment: DeploymentName::PoValley,
            scale_percent: 100,
            nodes_per_zone: 1,
            seed: 1,
            duration_s: 3_600.0,
            training: true,
            policy: PolicyName::default(),
            pool: PoolLimits::default(),
            job: JobSettings::default(),
            trainer: TrainerSettings::default(),
            live: Vec::new(),
            faults: Vec::new(),
            fault_rates: FaultRates::default(),
            platform: PlatformOverrides::default(),
            engine: EngineSettings::default(),
            node: NodeSettings::default(),
        }
    }
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            max_running: 64,
            max_queued: 128,
            live_reserve_percent: 10,
        }
    }
}

impl Default for JobSettings {
    fn default() -> Self {
        Self {
            prompts: 1_024,
            shared_words: 32,
            own_words: 96,
            group_size: 8,
            samples_per_step: 512,
            staleness_bound: 1,
            max_tokens: 4_096,
            steps: 4,
            steps_ahead: 1,
        }
    }
}

impl Default for TrainerSettings {
    fn default() -> Self {
        Self {
            train_s: 20.0,
            steps_per_version: 1,
            batch: 256,
        }
    }
}

impl Default for FaultRates {
    fn default() -> Self {
        Self {
            engine_crashes_per_hour: 0.0,
            node_crashes_per_hour: 0.0,
            swap_failures_per_hour: 0.0,
            for_s: 5.0,
        }
    }
}

impl Default for PlatformOverrides {
    fn default() -> Self {
        Self {
            weight_fetches_per_second: 200,
            weight_fetch_ms: 800,
        }
    }
}

/// Seconds of a settings file as a duration.
pub(super) fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}
