//! What model engines see. Every engine of a run must record, or the checker would take work of
//! an unrecorded engine for invented answers.

use std::fmt;

use havenstage_types::ids::{EngineName, NodeId, RequestId, SampleId, VersionNumber};
use havenstage_types::version::VersionSegments;
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;

/// One execution, as its engine counts it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ExecutionId {
    /// The engine.
    pub engine: EngineName,
    /// Number drawn at the start of the engine process.
    pub boot: u64,
    /// The engine's count of executions since then.
    pub sequence: u64,
}

impl fmt::Display for ExecutionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}/{:x}/{}",
            self.engine, self.boot, self.sequence
        )
    }
}

/// The attempt an execution belongs to, as it stands in the request to the engine: the node in
/// hexadecimal, a dot, and a counter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptLabel(pub String);

impl AttemptLabel {
    /// Node that made the attempt, if the label has the usual form.
    pub fn node(&self) -> Option<NodeId> {
        let (node, _sequence) = self.0.split_once('.')?;
        u64::from_str_radix(node, 16).ok().map(NodeId)
    }
}

impl fmt::Display for AttemptLabel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// On whose behalf an engine executes, as the engine was told.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A live request.
    Request(RequestId),
    /// A training sample.
    Sample(SampleId),
}

impl Subject {
    /// Reads the text form: `job/step/index` is a sample, anything else a request id.
    pub fn from_text(text: &str) -> Self {
        sample_from_text(text).map_or_else(|| Self::Request(RequestId::new(text)), Self::Sample)
    }
}

fn sample_from_text(text: &str) -> Option<SampleId> {
    let mut parts = text.rsplitn(3, '/');
    let index = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let job = parts.next()?;
    Some(SampleId {
        job: havenstage_types::ids::JobName::new(job),
        step: havenstage_types::ids::StepNumber(step),
        index,
    })
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => request.fmt(formatter),
            Self::Sample(sample) => sample.fmt(formatter),
        }
    }
}

/// An engine began to execute.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionStarted {
    /// The execution.
    pub execution: ExecutionId,
    /// Attempt it belongs to.
    pub attempt: AttemptLabel,
    /// On whose behalf.
    pub subject: Subject,
    /// Fingerprint of the prompt.
    pub prompt: Fingerprint,
    /// Tokens of an earlier execution that this one continues; 0 for a fresh one.
    pub resumed_tokens: u32,
    /// Fingerprint of those tokens.
    pub resumed: Option<Fingerprint>,
}

/// An execution ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionEnded {
    /// The execution.
    pub execution: ExecutionId,
    /// How it ended.
    pub outcome: ExecutionOutcome,
    /// Versions of the tokens it produced itself, counted from 0 after the resumed ones.
    pub segments: VersionSegments,
    /// Fingerprint of the whole text so far, that of the resumed tokens included.
    pub text: Fingerprint,
    /// Fingerprint of all token ids so far, the resumed ones included.
    pub tokens: Fingerprint,
    /// Token ids it produced itself. Recorded in small runs; they let the checker compare what a
    /// later execution resumed with what this one produced.
    pub produced: Option<Vec<u32>>,
}

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// The answer is whole.
    Finished(Finish),
    /// The client of the engine cancelled it or went away.
    Cancelled,
    /// The engine failed.
    Crashed,
}

/// Why generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended its answer.
    Stop,
    /// The token limit was reached.
    Length,
}

/// An engine generates with another version from here on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineVersionCurrent {
    /// The engine.
    pub engine: EngineName,
    /// Its process.
    pub boot: u64,
    /// The version.
    pub version: VersionNumber,
}

/// An engine that knows it is leaving was given work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkWhileLeaving {
    /// The execution asked for.
    pub execution: ExecutionId,
    /// Since when the engine had been saying that it is leaving, in milliseconds before this event.
    pub leaving_for_ms: u64,
}

/// A back end is to leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndLeaving {
    /// The engine.
    pub engine: EngineName,
    /// Who said so.
    pub origin: LeavingOrigin,
}

/// Who said that a back end is to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingOrigin {
    /// An operator, whose change was accepted at this moment.
    Operator,
    /// The machine list, which shows it from this moment.
    MachineList,
    /// The engine itself, in its load report.
    Engine,
}

/// A back end takes work again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndReturned {
    /// The engine.
    pub engine: EngineName,
    /// Whose word is withdrawn.
    pub origin: LeavingOrigin,
}
