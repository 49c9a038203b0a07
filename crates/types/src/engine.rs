//! What the system asks of engines and what engines answer, independent of their wire format.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, EngineName, FencingToken, VersionNumber};
use crate::request::FinishReason;
use crate::resource::PriorityClass;

/// Where an engine is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEndpoint {
    /// Its name.
    pub name: EngineName,
    /// Its HTTP address.
    pub address: SocketAddr,
}

/// A request to generate tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Attempt this execution belongs to; the engine records it.
    pub attempt: AttemptId,
    /// Caller request id or sample id, for the engine's own record.
    pub subject: String,
    /// Prompt text.
    pub prompt: String,
    /// Tokens generated so far by an earlier execution that is being resumed.
    pub resume_tokens: Vec<u32>,
    /// Upper bound on tokens to generate, the resumed ones included.
    pub max_tokens: u32,
    /// Priority the engine should honour.
    pub class: PriorityClass,
}

/// A piece of an engine's output.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenChunk {
    /// Version that produced these tokens.
    pub version: VersionNumber,
    /// Token ids.
    pub tokens: Vec<u32>,
    /// Natural-log probability of each token; may be empty.
    pub log_probabilities: Vec<f32>,
    /// The tokens as text.
    pub text: String,
    /// Set on the last chunk.
    pub finish: Option<FinishReason>,
    /// Tokens of the prompt; set on the last chunk.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache; set on the last chunk.
    pub cached_tokens: u32,
}

/// A fenced order. An engine refuses a token lower than the highest one it has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Offset of the record that caused the order.
    pub token: FencingToken,
    /// What to do.
    pub action: EngineAction,
}

/// What an engine is ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineAction {
    /// Fetch and switch to a weight version.
    LoadVersion {
        /// Version to load.
        version: VersionNumber,
        /// Where the weight store keeps it.
        location: String,
    },
}

/// What an engine reports about itself; it lags behind the truth.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Version it generates with now; `None` before the first load.
    pub version: Option<VersionNumber>,
    /// Whether a version swap is under way.
    pub swapping: bool,
    /// Whether the last swap failed, and to which version.
    pub failed_swap: Option<VersionNumber>,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// KV tokens in use.
    pub kv_used_tokens: u64,
    /// KV tokens it can hold.
    pub kv_capacity_tokens: u64,
    /// Whether the engine says it is leaving.
    pub leaving: bool,
    /// Drawn at random at each start of the engine.
    pub boot: u64,
}
