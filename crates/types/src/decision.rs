//! Decision records: what was decided about a request, a sample or an engine, and why.

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, EngineName, NodeId, VersionNumber};
use crate::job::DropReason;
use crate::refusal::Refusal;
use crate::resource::{PolicyName, PriorityClass};

/// One decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Request id, sample id or engine name the decision is about, as text.
    pub subject: String,
    /// Node that decided.
    pub node: NodeId,
    /// Its order among that node's decisions, from 1.
    pub sequence: u64,
    /// Milliseconds since the Unix epoch by that node's wall clock; for people only.
    pub wall_clock_ms: u64,
    /// What was decided.
    pub decision: Decision,
}

/// What was decided.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// An engine was chosen.
    Placed {
        /// Attempt that was placed.
        attempt: AttemptId,
        /// Policy that ranked the candidates.
        policy: PolicyName,
        /// Class of the work.
        class: PriorityClass,
        /// Candidates weighed, the best first.
        candidates: Vec<CandidateScore>,
        /// Engine whose home admitted the work.
        chosen: EngineName,
        /// Version the engine had at admission.
        version: Option<VersionNumber>,
        /// Milliseconds the work waited in the home's queue.
        queued_ms: u64,
    },
    /// A request was refused or failed.
    Refused(Refusal),
    /// An attempt at a sample was given up.
    Dropped {
        /// Attempt given up.
        attempt: AttemptId,
        /// Why.
        reason: DropReason,
    },
    /// A sample filled its slot.
    Committed {
        /// Attempt that filled it.
        attempt: AttemptId,
    },
    /// Running training work was cancelled for live work and will resume.
    Preempted {
        /// Attempt cancelled.
        attempt: AttemptId,
        /// Tokens kept for the resume.
        kept_tokens: u32,
    },
    /// An engine gets no more new work.
    EngineStopped(EngineStopReason),
    /// An engine gets new work again.
    EngineResumed,
    /// A version was ordered on an engine.
    VersionOrdered {
        /// Version ordered.
        version: VersionNumber,
        /// Fencing token of the order.
        token: u64,
    },
}

/// Why an engine gets no more new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineStopReason {
    /// An operator set it to draining or deleted it.
    Operator,
    /// The machine list shows its machine as leaving.
    MachineList,
    /// It said so itself.
    EngineReport,
    /// It does not answer.
    Unreachable,
}

/// A candidate engine with the numbers that were used.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateScore {
    /// The engine.
    pub engine: EngineName,
    /// Running and queued requests as known to the chooser.
    pub load: u32,
    /// Whether the prompt's prefix maps to this engine.
    pub prefix_match: bool,
    /// Score by the policy; lower is better.
    pub score: f64,
}
