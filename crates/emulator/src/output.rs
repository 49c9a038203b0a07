//! What the model puts out and how it refuses.

use havenstage_types::engine::TokenChunk;
use havenstage_types::ids::{AttemptId, FencingToken, VersionNumber};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::cache_events::CacheEvent;

/// Something the engine did.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EngineOutput {
    /// A piece of an execution's output; the last one has `finish` set.
    Chunk {
        /// Execution it belongs to.
        attempt: AttemptId,
        /// The piece.
        chunk: TokenChunk,
    },
    /// The execution ended without a finishing chunk because the engine crashed.
    Broken {
        /// Execution that ended.
        attempt: AttemptId,
    },
    /// The engine crashed and started again empty.
    Crashed {
        /// Boot identifier of the new run.
        boot: u64,
    },
    /// Weights are wanted from the store; answer with [`crate::Engine::fetch_finished`]. Only put
    /// out when the settings say that fetches are external.
    FetchWanted {
        /// Version wanted.
        version: VersionNumber,
        /// Where the weight store keeps it.
        location: String,
    },
    /// The engine generates with this version from now on.
    VersionLoaded(VersionNumber),
    /// The swap to this version failed; the engine goes on with the version it had.
    SwapFailed(VersionNumber),
    /// The prefix cache changed some time ago.
    Cache(CacheEvent),
}

/// Why a request was not taken. Nothing ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmitRefusal {
    /// No version has been loaded yet.
    #[error("no weight version is loaded")]
    NoVersion,
    /// The engine is leaving.
    #[error("the engine is leaving")]
    Leaving,
    /// The attempt runs already, or ran on this boot.
    #[error("the attempt is known already")]
    KnownAttempt,
    /// Prompt and answer can exceed the KV memory.
    #[error("prompt and answer need {needed_tokens} KV tokens of {capacity_tokens}")]
    TooLong {
        /// KV tokens that may be needed.
        needed_tokens: u64,
        /// KV tokens there are.
        capacity_tokens: u64,
    },
    /// The queue inside the engine is full.
    #[error("the engine's queue is full")]
    QueueFull,
}

/// Why an order was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum OrderRefusal {
    /// A higher fencing token has been seen.
    #[error("fencing token {highest} has been seen")]
    Fenced {
        /// Highest token seen.
        highest: FencingToken,
    },
}
