//! Actions that the admission state machine returns to the code that drives it.

use havenstage_types::decision::EngineStopReason;
use havenstage_types::ids::AttemptId;
use havenstage_types::peer::Permit;
use havenstage_types::refusal::Refusal;

/// One action for the caller of the state machine. Actions are carried out in the order returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Answer every pending admission request of the permit's attempt with this permit.
    Grant(Permit),
    /// Answer every pending admission request of the attempt with this refusal.
    Refuse {
        /// Attempt whose pending admission requests are answered.
        attempt: AttemptId,
        /// Reason of the refusal and the retry delay, if any; its execution is always "not run".
        refusal: Refusal,
        /// Number of requests running and queued at the engine; a load hint for later placement.
        load: u32,
    },
    /// Ask the node that holds the attempt's permit to cancel the training work and resume it
    /// later. Sent once per attempt. The permit occupies its slot until it is released.
    Preempt {
        /// Training attempt to cancel.
        attempt: AttemptId,
    },
    /// Record that the engine stops receiving new work, for this reason.
    EngineStopped(EngineStopReason),
    /// Record that the engine receives new work again.
    EngineResumed,
}
