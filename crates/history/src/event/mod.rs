//! Events of a history. Each is recorded by the one who saw it, at the edge of the system.

pub mod caller;
pub mod engine;
pub mod fault;
pub mod node;
pub mod operator;
pub mod trainer;

use havenstage_types::ids::{CallerName, EngineName, TrainerName};
use serde::{Deserialize, Serialize};

use caller::{CallAnswered, CallBroken, CallRefused, CallSent};
use engine::{
    BackEndLeaving, BackEndReturned, EngineVersionCurrent, ExecutionEnded, ExecutionStarted,
    WorkWhileLeaving,
};
use fault::{FaultBegan, FaultEnded};
use node::{ConfigRead, NodeEvent, NodeExited, NodeStarted};
use operator::{ChangeAnswered, ChangeInForce, ChangeProposed, VersionPublished};
use trainer::{
    JobDrained, JobStreamCommitObserved, SampleReceived, StepAcknowledged, StepReportedComplete,
};

/// One thing that somebody outside the nodes saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEvent {
    /// When, in milliseconds on the one clock of the recorder (virtual time in a simulation, wall
    /// time of the one recording process otherwise).
    pub at_ms: u64,
    /// Who saw it.
    pub source: EventSource,
    /// What was seen.
    pub body: EventBody,
}

/// Who recorded an event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "name", rename_all = "snake_case")]
pub enum EventSource {
    /// A caller of the live API.
    Caller(CallerName),
    /// A model engine.
    Engine(EngineName),
    /// A trainer process.
    Trainer(TrainerName),
    /// An operator's client, by its own name.
    Operator(String),
    /// The log, the machine list, or whoever starts and stops machines.
    Platform,
    /// The test harness, which injects faults.
    Harness,
}

/// What was seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EventBody {
    /// A caller sent a request.
    CallSent(CallSent),
    /// A caller got a whole answer.
    CallAnswered(CallAnswered),
    /// A caller got a refusal.
    CallRefused(CallRefused),
    /// A caller's connection ended without a final answer.
    CallBroken(CallBroken),
    /// An engine began to execute.
    ExecutionStarted(ExecutionStarted),
    /// An execution ended.
    ExecutionEnded(ExecutionEnded),
    /// An engine generates with another version from here on.
    EngineVersionCurrent(EngineVersionCurrent),
    /// An engine that knows it is leaving was given work.
    WorkWhileLeaving(WorkWhileLeaving),
    /// A back end is to leave.
    BackEndLeaving(BackEndLeaving),
    /// A back end takes work again.
    BackEndReturned(BackEndReturned),
    /// A trainer received a sample.
    SampleReceived(SampleReceived),
    /// A trainer was told that it has all samples of a step.
    StepReportedComplete(StepReportedComplete),
    /// A trainer's acknowledgement of a step was accepted.
    StepAcknowledged(StepAcknowledged),
    /// A sample's record was read in the job's stream.
    JobStreamCommitObserved(JobStreamCommitObserved),
    /// A job ran to its end and its trainer has read everything.
    JobDrained(JobDrained),
    /// The publication of a weight version was accepted.
    VersionPublished(VersionPublished),
    /// An operator sent a configuration change.
    ChangeProposed(ChangeProposed),
    /// An operator learned what became of a change.
    ChangeAnswered(ChangeAnswered),
    /// An operator was told that a change is in force.
    ChangeInForce(ChangeInForce),
    /// An operator read a resource at one node.
    ConfigRead(ConfigRead),
    /// A node process started.
    NodeStarted(NodeStarted),
    /// A node was told to stop in good order.
    NodeStopBegun(NodeEvent),
    /// A node process ended by itself.
    NodeExited(NodeExited),
    /// A node process was killed.
    NodeKilled(NodeEvent),
    /// A node process was frozen: it neither runs nor loses its connections.
    NodeFrozen(NodeEvent),
    /// A frozen node process runs again.
    NodeWoken(NodeEvent),
    /// A fault was injected.
    FaultBegan(FaultBegan),
    /// An injected fault was taken away.
    FaultEnded(FaultEnded),
}
