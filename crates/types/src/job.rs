//! Records of a job's stream, samples, and what a trainer reads.

use serde::{Deserialize, Serialize};

use crate::ids::{
    AttemptId, EngineName, LogOffset, NodeId, SampleId, StepNumber, TrainerName, VersionNumber,
};
use crate::resource::PolicyName;
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
