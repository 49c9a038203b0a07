//! The engine's own record of what it ran, for checks from outside.

use havenstage_types::ids::AttemptId;
use havenstage_types::version::VersionSegments;
use serde::{Deserialize, Serialize};

use crate::clock::EngineTime;

/// One execution.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// Attempt it belongs to.
    pub attempt: AttemptId,
    /// Request id or sample id.
    pub subject: String,
    /// Boot of the engine it ran on.
    pub boot: u64,
    /// When the engine took it.
    pub started: EngineTime,
    /// When its first new token was put out.
    pub first_token: Option<EngineTime>,
    /// When it ended; `None` while it waits or runs.
    pub ended: Option<EngineTime>,
    /// Tokens resumed from an earlier execution.
    pub resumed_tokens: u32,
    /// New tokens put out.
    pub tokens: u32,
    /// Versions of the new tokens, counted from the first new token.
    pub versions: VersionSegments,
    /// How often it lost its KV memory to other work and was computed again.
    pub preemptions: u32,
    /// How it ended.
    pub outcome: ExecutionOutcome,
}

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// It waits or runs.
    Running,
    /// All tokens were put out.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// The engine crashed.
    Crashed,
}
