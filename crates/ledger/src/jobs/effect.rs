//! The effect of one record of a job stream.

use havenstage_types::ids::{AttemptId, Revision, SampleId, StepNumber, VersionNumber};
use havenstage_types::job::{DropReason, SampleDrop};

/// What a record changed when it was applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEffect {
    /// The sample fills its slot and will be delivered.
    Committed(SampleId),
    /// The sample was rejected and will not be delivered.
    Rejected {
        /// Slot that the sample names.
        id: SampleId,
        /// Attempt that produced it.
        attempt: AttemptId,
        /// Why the sample was rejected.
        reason: DropReason,
    },
    /// An attempt was given up before its commit; its slot is unchanged.
    Dropped(SampleDrop),
    /// The newest version was raised to this one.
    VersionAdvanced(VersionNumber),
    /// The step is acknowledged; its samples are released.
    StepAcknowledged(StepNumber),
    /// The rules of this configuration revision are in force.
    RulesChanged(Revision),
    /// The record had no effect.
    Ignored,
}
