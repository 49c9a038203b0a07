//! Completions as callers ask for them and engines answer them, after the OpenAI dialect.

use serde::{Deserialize, Serialize};

/// Data of the last event of a stream.
pub const STREAM_END: &str = "[DONE]";

/// A request for a completion; fields that are not named here are passed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens of the answer.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer comes as a stream of events.
    #[serde(default)]
    pub stream: bool,
    /// Whether a stream ends with the event [`STREAM_END`]. A sample's does not: each event of it is kept
    /// as made by a weight version, and no version makes that one.
    #[serde(default = "has_end_mark")]
    pub has_end_mark: bool,
}

/// As in the OpenAI dialect.
fn has_end_mark() -> bool {
    true
}

/// What the OpenAI dialect takes where nothing is said.
fn default_max_tokens() -> u32 {
    16
}

/// A piece of an answer, or the whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// One choice.
    pub choices: Vec<Choice>,
    /// Versions of the weights that made it, on a whole answer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub weight_versions: Vec<u64>,
}

/// A choice of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Its number; always 0.
    pub index: u32,
    /// Text.
    pub text: String,
    /// Why the answer ends, on its last piece.
    pub finish_reason: Option<String>,
}

impl CompletionChunk {
    /// A piece with one choice.
    pub fn of(text: String, finish_reason: Option<String>) -> Self {
        let choice = Choice {
            index: 0,
            text,
            finish_reason,
        };
        Self {
            choices: vec![choice],
            weight_versions: Vec::new(),
        }
    }
}
