//! Resources that operators create: jobs, weight versions, pools, priority rules and engines.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{CallerName, JobName, ModelName, PoolName, Revision, VersionNumber, Zone};

/// Kind of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ResourceKind {
    /// A rollout job.
    Job,
    /// A weight version of a model.
    WeightVersion,
    /// A pool of engines.
    Pool,
    /// A rule that gives callers a priority class.
    PriorityRule,
    /// One engine of a pool.
    Engine,
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// Kind and name of a resource.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name, unique within the kind.
    pub name: String,
}

/// A resource as accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Kind and name.
    pub key: ResourceKey,
    /// What the operator asked for.
    pub spec: ResourceSpec,
    /// Offset of the change that last wrote it.
    pub revision: Revision,
}

/// What an operator asks of a resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ResourceSpec {
    /// See [`JobSpec`].
    Job(JobSpec),
    /// See [`WeightVersionSpec`].
    WeightVersion(WeightVersionSpec),
    /// See [`PoolSpec`].
    Pool(PoolSpec),
    /// See [`PriorityRuleSpec`].
    PriorityRule(PriorityRuleSpec),
    /// See [`EngineSpec`].
    Engine(EngineSpec),
}

impl ResourceSpec {
    /// The kind this specification belongs to.
    pub fn kind(&self) -> ResourceKind {
        match self {
            Self::Job(_) => ResourceKind::Job,
            Self::WeightVersion(_) => ResourceKind::WeightVersion,
            Self::Pool(_) => ResourceKind::Pool,
            Self::PriorityRule(_) => ResourceKind::PriorityRule,
            Self::Engine(_) => ResourceKind::Engine,
        }
    }
}

/// A rollout job: which prompts to sample, on which pool, and how stale a sample may be.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Pool whose engines run the samples.
    pub pool: PoolName,
    /// Prompts; step `s` samples them in order, starting where the step before stopped.
    pub prompts: Vec<String>,
    /// Samples drawn from one prompt.
    pub group_size: u32,
    /// Samples in one step; a multiple of `group_size`.
    pub samples_per_step: u32,
    /// How many versions older than the newest one any token of a sample may be.
    pub staleness_bound: u64,
    /// Upper bound on generated tokens of one sample.
    pub max_tokens: u32,
    /// Number of steps after which the job is complete; `None` runs until deleted.
    #[serde(default)]
    pub steps: Option<u64>,
    /// How many steps may be open beyond the last acknowledged one; at least 1.
    #[serde(default = "default_steps_ahead")]
    pub steps_ahead: u32,
}

fn default_steps_ahead() -> u32 {
    1
}

/// One weight version of a model, to be loaded by every engine of the model's pools.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightVersionSpec {
    /// Model the weights belong to.
    pub model: ModelName,
    /// Version number; must be higher than that of every version of the model before it.
    pub number: VersionNumber,
    /// Where the weight store keeps it.
    pub location: String,
}

/// A pool of engines that serve one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Model the engines serve.
    pub model: ModelName,
    /// How a node chooses among the engines.
    #[serde(default)]
    pub policy: PolicyName,
    /// Most requests an engine may run at once.
    #[serde(default = "default_max_running")]
    pub max_running_per_engine: u32,
    /// Most live requests that may wait at one engine's home.
    #[serde(default = "default_max_queued")]
    pub max_queued_per_engine: u32,
    /// Share of the running slots, in percent, that training never takes.
    #[serde(default = "default_live_reserve")]
    pub live_reserve_percent: u8,
}

fn default_max_running() -> u32 {
    64
}

fn default_max_queued() -> u32 {
    128
}

fn default_live_reserve() -> u8 {
    10
}

/// Placement policies an operator can name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Any engine with equal probability.
    Random,
    /// Engines in turn.
    RoundRobin,
    /// The engine whose last (lagging) report shows the least load.
    LeastReportedLoad,
    /// A few candidates by prompt prefix, the less loaded of them first.
    #[default]
    PrefixAffinity,
}

/// Gives the requests of some callers a priority class and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriorityRuleSpec {
    /// Caller the rule is for; `None` is for every caller without a rule of its own.
    #[serde(default)]
    pub caller: Option<CallerName>,
    /// Class the caller's requests get.
    pub class: PriorityClass,
    /// Most requests of one caller in flight at one node; `None` sets no limit.
    #[serde(default)]
    pub max_in_flight_per_node: Option<u32>,
}

/// Priority classes, the most urgent first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// Live calls that people wait for and that jump the queue.
    Urgent,
    /// Live calls.
    #[default]
    Live,
    /// Training samples; they give way to live calls.
    Training,
}

impl PriorityClass {
    /// Whether a person or service waits for the answer.
    pub fn is_live(self) -> bool {
        self != Self::Training
    }
}

/// One engine (a back end) of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Pool the engine belongs to.
    pub pool: PoolName,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Zone it runs in.
    pub zone: Zone,
    /// Tokens its KV cache holds.
    pub kv_capacity_tokens: u64,
    /// Whether it may get new work.
    #[serde(default)]
    pub desired_state: EngineDesiredState,
}

/// Whether an operator lets an engine have new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineDesiredState {
    /// New work is welcome.
    #[default]
    Active,
    /// Running work finishes, no new work is sent.
    Draining,
}

/// Why a resource was refused before it reached the log.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum InvalidResource {
    /// A field is outside its allowed range.
    #[error("{field} is {value}, allowed: {allowed}")]
    OutOfRange {
        /// Path of the field.
        field: String,
        /// Value given.
        value: String,
        /// Allowed range.
        allowed: String,
    },
    /// A resource that is referred to does not exist.
    #[error("{field} names {kind} {name}, which does not exist")]
    MissingReference {
        /// Path of the field.
        field: String,
        /// Kind referred to.
        kind: ResourceKind,
        /// Name referred to.
        name: String,
    },
    /// The manifest could not be read as this kind.
    #[error("{kind}: {reason}")]
    Malformed {
        /// Kind that the manifest named.
        kind: String,
        /// What the parser said.
        reason: String,
    },
    /// Other resources still need the resource that was to be deleted.
    #[error("{kind} {name} is needed by {by_kind} {by_name}")]
    InUse {
        /// Kind of the resource that was to be deleted.
        kind: ResourceKind,
        /// Name of the resource that was to be deleted.
        name: String,
        /// Kind of one resource that needs it.
        by_kind: ResourceKind,
        /// Name of one resource that needs it.
        by_name: String,
    },
    /// The field keeps the value it was created with.
    #[error("{field} cannot change once the {kind} exists")]
    Immutable {
        /// Kind of the resource.
        kind: ResourceKind,
        /// Path of the field.
        field: String,
    },
    /// Another resource of the kind already has this value, which only one may have.
    #[error("{field} is the same as that of {kind} {other}")]
    Duplicate {
        /// Path of the field.
        field: String,
        /// Kind of both resources.
        kind: ResourceKind,
        /// Name of the resource that has the value.
        other: String,
    },
}

/// Key of the job resource `job`.
pub fn job_key(job: &JobName) -> ResourceKey {
    ResourceKey {
        kind: ResourceKind::Job,
        name: job.0.clone(),
    }
}
