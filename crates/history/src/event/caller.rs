//! What callers of the live API see.

use std::fmt;

use havenstage_types::ids::{CallerName, IdempotencyKey, NodeId, PoolName, RequestId};
use havenstage_types::version::VersionSegments;
use serde::{Deserialize, Serialize};

use super::engine::Finish;
use crate::fingerprint::Fingerprint;

/// One call as the caller counts it. Retries of one logical request share `request` and differ
/// in `call`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// Who calls.
    pub caller: CallerName,
    /// The caller's number of the logical request.
    pub request: u64,
    /// Number of the call for that request, from 1.
    pub call: u32,
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}.{}", self.caller, self.request, self.call)
    }
}

/// Class the caller asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallClass {
    /// Jumps the queue.
    Urgent,
    /// Ordinary live call.
    Live,
    /// Gives way to live calls.
    Training,
}

/// A caller sent a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallSent {
    /// The call.
    pub call: CallId,
    /// Node the caller connected to, when known.
    pub node: Option<NodeId>,
    /// Pool asked for.
    pub pool: PoolName,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// Key under which the caller repeats it.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Fingerprint of the prompt as the engine will see it. A prompt that belongs to one logical
    /// request alone lets the checker judge calls whose request id never reached the caller.
    pub prompt: Fingerprint,
    /// Class asked for.
    pub class: CallClass,
    /// Time the caller allows, in milliseconds; `None` uses [`crate::checker::Bounds`].
    pub deadline_ms: Option<u64>,
}

/// A caller got a whole answer, up to and including its end mark.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnswered {
    /// The call.
    pub call: CallId,
    /// Identifier the system gave the request.
    pub request: Option<RequestId>,
    /// Fingerprint of the whole text.
    pub text: Fingerprint,
    /// Number of tokens as told.
    pub token_count: u32,
    /// Versions as told.
    pub segments: VersionSegments,
    /// Why generation ended, as told.
    pub finish: Finish,
}

/// A caller got a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRefused {
    /// The call.
    pub call: CallId,
    /// Identifier the system gave the request.
    pub request: Option<RequestId>,
    /// Machine-readable reason.
    pub code: RefusalCode,
    /// Whether the request ran, as told.
    pub execution: ToldExecution,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Machine-readable reason of a refusal, as it stands in the answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RefusalCode(pub String);

impl RefusalCode {
    /// The node is stopping.
    pub const STOPPING: &'static str = "stopping";
    /// The deadline passed.
    pub const DEADLINE_EXCEEDED: &'static str = "deadline_exceeded";
    /// More urgent work took the place.
    pub const PREEMPTED: &'static str = "preempted";

    /// Whether the code is `code`.
    pub fn is(&self, code: &str) -> bool {
        self.0 == code
    }
}

/// What a refusal says about execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToldExecution {
    /// It did not run and will not.
    NotRun,
    /// It ran, at least in part.
    Ran,
    /// Nobody can tell.
    Unknown,
}

/// A caller's connection ended without a final answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallBroken {
    /// The call.
    pub call: CallId,
    /// Identifier the system gave the request, if the caller had got it.
    pub request: Option<RequestId>,
    /// How it ended.
    pub cause: BrokenCause,
    /// Tokens the caller had received.
    pub received_tokens: u32,
}

/// How a connection ended without a final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BrokenCause {
    /// The connection was never established; the request was not sent.
    NotConnected,
    /// The connection was lost.
    Reset,
    /// The stream ended without its end mark.
    StreamTruncated,
    /// The caller gave up after its deadline.
    TimedOut,
    /// The caller hung up of its own will.
    Abandoned,
}
