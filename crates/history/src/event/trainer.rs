//! What trainers see, and what a reader of a job's stream sees.

use havenstage_types::ids::{JobName, LogOffset, SampleId, StepNumber, TrainerName, VersionNumber};
use havenstage_types::version::VersionSegments;
use serde::{Deserialize, Serialize};

use super::engine::AttemptLabel;
use crate::fingerprint::Fingerprint;

/// A trainer received a sample.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleReceived {
    /// The trainer.
    pub trainer: TrainerName,
    /// The trainer's count of its reads; samples of one batch share it.
    pub read: u64,
    /// Cursor the trainer asked with: only offsets from it on were wanted.
    pub cursor: LogOffset,
    /// Offset in the job's stream, as told.
    pub offset: LogOffset,
    /// Slot, as told.
    pub sample: SampleId,
    /// Attempt that produced it, as told.
    pub attempt: AttemptLabel,
    /// Versions, as told.
    pub segments: VersionSegments,
    /// Fingerprint of the token ids.
    pub tokens: Fingerprint,
}

/// A trainer was told that it has all samples of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReportedComplete {
    /// The trainer.
    pub trainer: TrainerName,
    /// The job.
    pub job: JobName,
    /// The step.
    pub step: StepNumber,
}

/// A trainer's acknowledgement of a step was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepAcknowledged {
    /// The trainer.
    pub trainer: TrainerName,
    /// The job.
    pub job: JobName,
    /// The step.
    pub step: StepNumber,
}

/// A sample's record that fills its slot was read in the job's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStreamCommitObserved {
    /// Slot.
    pub sample: SampleId,
    /// Attempt that fills it.
    pub attempt: AttemptLabel,
    /// Offset of the record.
    pub offset: LogOffset,
    /// Newest version published in the stream before that offset.
    pub newest: VersionNumber,
}

/// A job ran to its end and its trainer has read everything.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobDrained {
    /// The job.
    pub job: JobName,
    /// Number of steps that must be complete: steps 0 to `steps` - 1.
    pub steps: u64,
}
