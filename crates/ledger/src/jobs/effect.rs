//! What a record of a job stream changed.

use havenstage_types::ids::{AttemptId, Revision, SampleId, StepNumber, VersionNumber};
use havenstage_types::job::{DropReason, SampleDrop};

/// What applying one record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEffect {
    /// The sample fills its slot and will be delivered.
    Committed(SampleId),
    /// The sample does not count.
    Rejected {
        /// Slot it was meant for.
        id: SampleId,
        /// Attempt that produced it.
        attempt: AttemptId,
        /// Why it does not count.
        reason: DropReason,
    },
    /// An attempt was given up before its commit; its slot is as it was.
    Dropped(SampleDrop),
    /// The newest version is now this one.
    VersionAdvanced(VersionNumber),
    /// The step is acknowledged; its samples are released.
    StepAcknowledged(StepNumber),
    /// The rules of this configuration revision are in force.
    RulesChanged(Revision),
    /// Nothing changed.
    Ignored,
}
