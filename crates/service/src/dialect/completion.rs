//! JSON bodies of completion requests and answers, modelled on the OpenAI completions API.

use serde::{Deserialize, Serialize};

/// Data of the event that ends a stream.
pub const STREAM_END: &str = "[DONE]";

/// A request for a completion. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of the model that is to answer.
    pub model: String,
    /// Text that the model continues.
    pub prompt: String,
    /// Maximum number of tokens in the answer.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer is sent as a stream of server-sent events instead of one JSON body.
    #[serde(default)]
    pub stream: bool,
    /// Whether a stream ends with the event [`STREAM_END`]. The stream of a sample does not: the gateway
    /// stores each of its events with the weight version that generated it, and no version generates the
    /// end event.
    #[serde(default = "has_end_mark")]
    pub has_end_mark: bool,
}

/// The default of the OpenAI API.
fn has_end_mark() -> bool {
    true
}

/// The default of the OpenAI API.
fn default_max_tokens() -> u32 {
    16
}

/// One event of a streamed answer, or a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// The generated text; always one choice.
    pub choices: Vec<Choice>,
    /// Weight versions that generated a whole answer; empty in the events of a stream.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub weight_versions: Vec<u64>,
}

/// Generated text of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Index of the choice; always 0.
    pub index: u32,
    /// Text of this event, or of the whole answer.
    pub text: String,
    /// Why the answer ends: `stop` or `length`. `None` in every event but the last.
    pub finish_reason: Option<String>,
}

impl CompletionChunk {
    /// Builds a chunk with one choice and without weight versions.
    pub fn with_text(text: String, finish_reason: Option<String>) -> Self {
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
