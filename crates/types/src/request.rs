//! Caller requests and their answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{CallerName, EngineName, IdempotencyKey, PoolName, RequestId};
use crate::resource::PriorityClass;
use crate::version::VersionSegments;

/// A live request after the HTTP front has read it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Identifier the front gave it.
    pub id: RequestId,
    /// Who asks.
    pub caller: CallerName,
    /// Pool that serves it (the `model` field of the OpenAI dialect).
    pub pool: PoolName,
    /// Prompt text; a chat is flattened by the front.
    pub prompt: String,
    /// Upper bound on generated tokens.
    pub max_tokens: u32,
    /// Key for repeats; absent when the caller gave none.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether a second run would do harm.
    pub repeatability: Repeatability,
    /// Class the caller asked for; a rule may override it.
    pub class: PriorityClass,
    /// Time left when the front received it; `None` uses the node's default.
    pub deadline: Option<Duration>,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeatability {
    /// A second run does no harm.
    Repeatable,
    /// Runs at most once in the whole deployment.
    AtMostOnce,
}

/// One piece of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerEvent {
    /// More text.
    Text {
        /// Text produced since the event before.
        text: String,
        /// Number of tokens in it.
        token_count: u32,
    },
    /// The answer is whole.
    Finished(AnswerSummary),
}

/// Facts about a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerSummary {
    /// Engine that produced the last token.
    pub engine: EngineName,
    /// Versions that produced the tokens.
    pub segments: VersionSegments,
    /// Why the answer ended.
    pub finish: FinishReason,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
}

/// Why an engine stopped generating.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The token limit was reached.
    Length,
}

/// A whole answer as kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WholeAnswer {
    /// All text.
    pub text: String,
    /// Facts about it.
    pub summary: AnswerSummary,
}
