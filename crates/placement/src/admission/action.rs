//! What admission asks its shell to do.

use havenstage_types::decision::EngineStopReason;
use havenstage_types::ids::AttemptId;
use havenstage_types::peer::Permit;
use havenstage_types::refusal::Refusal;

/// One thing the shell has to do, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Answer every waiting ask of the permit's attempt with the permit.
    Grant(Permit),
    /// Answer every waiting ask of the attempt with the refusal.
    Refuse {
        /// Attempt refused.
        attempt: AttemptId,
        /// Why; always "not run".
        refusal: Refusal,
        /// Requests running and queued at the engine; a hint for later choices.
        load: u32,
    },
    /// Ask the node that holds the attempt's permit to cancel the training work and resume it
    /// later. Sent once for each attempt; the permit counts until it is released.
    Preempt {
        /// Attempt to cancel.
        attempt: AttemptId,
    },
    /// Record that the engine gets no more new work, for this reason.
    EngineStopped(EngineStopReason),
    /// Record that the engine gets new work again.
    EngineResumed,
}
