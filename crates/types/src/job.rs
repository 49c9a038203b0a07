//! Records of a job's stream, samples, and what a trainer reads.

use serde::{Deserialize, Serialize};

use crate::ids::{
    AttemptId, EngineName, LogOffset, NodeId, Revision, SampleId, StepNumber, TrainerName,
    VersionNumber,
};
use crate::resource::{JobSpec, PolicyName};
use crate::version::VersionSegments;

/// One record of a job's stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobRecord {
    /// A newer version exists; from this offset on staleness is counted from it.
    VersionPublished(VersionNumber),
    /// A finished sample. It fills its slot if it is the first and not too stale at its offset.
    SampleCommitted(Box<Sample>),
    /// An attempt was given up before it could be committed.
    SampleDropped(SampleDrop),
    /// The trainer has all samples of the step; the next step may open.
    StepAcknowledged {
        /// Step acknowledged.
        step: StepNumber,
        /// Trainer that acknowledged.
        trainer: TrainerName,
        /// Version the trainer trains from, as it reports.
        version_in_use: VersionNumber,
    },
    /// The job's rules from this offset on. The first one creates the job; a later one counts only
    /// if its revision is higher, so that two owners may append the same change.
    RulesChanged {
        /// Configuration revision of the job resource the rules were taken from.
        revision: Revision,
        /// The rules.
        rules: JobRules,
    },
}

/// The part of a [`JobSpec`] that decides which samples count. It is copied from the configuration
/// into the job's stream, because every reader must apply it at the same offset of that stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRules {
    /// Samples in one step; a multiple of `group_size`.
    pub samples_per_step: u32,
    /// Samples drawn from one prompt.
    pub group_size: u32,
    /// Number of prompts.
    pub prompt_count: u32,
    /// How many versions older than the newest one any token of a sample may be.
    pub staleness_bound: u64,
    /// Number of steps after which the job is complete; `None` runs until deleted.
    pub steps: Option<u64>,
    /// How many steps may be open beyond the last acknowledged one; at least 1.
    pub steps_ahead: u32,
}

impl From<&JobSpec> for JobRules {
    fn from(spec: &JobSpec) -> Self {
        Self {
            samples_per_step: spec.samples_per_step,
            group_size: spec.group_size,
            prompt_count: u32::try_from(spec.prompts.len()).unwrap_or(u32::MAX),
            staleness_bound: spec.staleness_bound,
            steps: spec.steps,
            steps_ahead: spec.steps_ahead,
        }
    }
}

/// A finished sample.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Slot it fills.
    pub id: SampleId,
    /// Attempt that produced it.
    pub attempt: AttemptId,
    /// Index into the job's prompts.
    pub prompt_index: u32,
    /// Generated text.
    pub text: String,
    /// Generated token ids.
    pub tokens: Vec<u32>,
    /// Natural-log probability of each token; empty when the engine gives none.
    pub log_probabilities: Vec<f32>,
    /// Reward from the scorer.
    pub reward: f64,
    /// Versions that produced the tokens.
    pub segments: VersionSegments,
    /// Why it ran where it ran.
    pub placement: Placement,
}

/// Why work was placed on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Engine that produced the last token.
    pub engine: EngineName,
    /// Policy that chose it.
    pub policy: PolicyName,
    /// Node that chose it.
    pub node: NodeId,
}

/// An attempt at a sample that was given up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleDrop {
    /// Slot that is open again.
    pub id: SampleId,
    /// Attempt given up.
    pub attempt: AttemptId,
    /// Why.
    pub reason: DropReason,
    /// Tokens that were generated in vain.
    pub wasted_tokens: u32,
}

/// Why an attempt at a sample was given up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// A segment is older than the bound allows.
    TooStale {
        /// Oldest version among the segments.
        oldest: VersionNumber,
        /// Newest version at that offset.
        newest: VersionNumber,
    },
    /// Another attempt had filled the slot.
    SlotFilled,
    /// The step is not open (already acknowledged, or beyond the job's end).
    StepNotOpen,
    /// The engine failed.
    EngineFailed(EngineName),
    /// The scorer failed.
    ScorerFailed,
    /// The job is gone.
    JobDeleted,
    /// A sample without tokens or whose segments do not cover its tokens.
    Malformed,
    /// The job's rules changed: the slot does not exist or is for another prompt.
    RulesChanged,
}

/// A sample as handed to a trainer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeliveredSample {
    /// Offset in the job's stream: the trainer's cursor moves past it.
    pub offset: LogOffset,
    /// The sample.
    pub sample: Sample,
}

/// A batch of samples for a trainer. Every node serves the same sequence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SampleBatch {
    /// Samples in stream order.
    pub samples: Vec<DeliveredSample>,
    /// Cursor to ask with next.
    pub next_cursor: LogOffset,
    /// Whether the step asked for is complete with this batch.
    pub step_complete: bool,
}
