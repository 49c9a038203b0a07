//! Messages of the OpenAI dialect. Sampling parameters (such as `temperature`) are accepted and
//! left to the engines' defaults; what would change the shape of the answer is refused.

use havenstage_types::ids::{EngineName, RequestId};
use havenstage_types::request::{AnswerSummary, FinishReason};
use havenstage_types::version::VersionSegments;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::ApiError;

/// Which of the two routes is spoken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dialect {
    /// `/v1/completions`
    Completion,
    /// `/v1/chat/completions`
    Chat,
}

/// Fields that both routes share.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CommonFields {
    /// Pool that serves the request.
    pub model: String,
    /// Upper bound on generated tokens.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: Option<bool>,
    /// Number of answers; only 1 is served.
    #[serde(default)]
    pub n: Option<u32>,
    /// Not served.
    #[serde(default)]
    pub best_of: Option<u32>,
    /// Not served.
    #[serde(default)]
    pub echo: Option<bool>,
    /// Not served.
    #[serde(default)]
    pub stop: Option<Value>,
    /// Not served.
    #[serde(default)]
    pub logprobs: Option<Value>,
    /// Not served.
    #[serde(default)]
    pub tools: Option<Value>,
}

/// Body of `/v1/completions`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CompletionBody {
    /// Fields shared with chats.
    #[serde(flatten)]
    pub common: CommonFields,
    /// The prompt.
    pub prompt: Prompt,
}

/// One prompt, alone or as the only element of a list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Prompt {
    /// Text.
    Text(String),
    /// A list; only one element is served.
    List(Vec<String>),
}

/// Body of `/v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ChatBody {
    /// Fields shared with completions.
    #[serde(flatten)]
    pub common: CommonFields,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: ChatContent,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum ChatContent {
    /// Plain text.
    Text(String),
    /// Text parts, joined without a separator.
    Parts(Vec<TextPart>),
}

/// A text part; parts of other types are refused.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum TextPart {
    /// Text.
    Text {
        /// The text.
        text: String,
    },
}

impl CommonFields {
    /// Refuses fields whose effect would be missing from the answer.
    pub fn refuse_unserved(&self) -> Result<(), ApiError> {
        let asked = |value: &Option<Value>| value.as_ref().is_some_and(|value| !is_off(value));
        let unserved = [
            ("n", self.n.unwrap_or(1) != 1),
            ("best_of", self.best_of.unwrap_or(1) != 1),
            ("echo", self.echo.unwrap_or(false)),
            ("stop", asked(&self.stop)),
            ("logprobs", asked(&self.logprobs)),
            ("tools", asked(&self.tools)),
        ];
        match unserved.iter().find(|(_, is_asked)| *is_asked) {
            Some((field, _)) => Err(ApiError::malformed(format!(
                "field {field} is not served with this value"
            ))),
            None => Ok(()),
        }
    }
}

fn is_off(value: &Value) -> bool {
    match value {
        Value::Null | Value::Bool(false) => true,
        Value::Array(elements) => elements.is_empty(),
        _ => false,
    }
}

impl Prompt {
    /// The one prompt.
    pub fn into_text(self) -> Result<String, ApiError> {
        match self {
            Self::Text(text) => Ok(text),
            Self::List(mut list) if list.len() == 1 => Ok(list.remove(0)),
            Self::List(_) => Err(ApiError::malformed("prompt must be one text")),
        }
    }
}

/// A conversation as one prompt: a line for each message and an open line for the answer.
pub fn flatten_chat(messages: &[ChatMessage]) -> Result<String, ApiError> {
    if messages.is_empty() {
        return Err(ApiError::malformed("messages is empty"));
    }
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        push_content(&mut prompt, &message.content);
        prompt.push('\n');
    }
    prompt.push_str("assistant:");
    Ok(prompt)
}

fn push_content(prompt: &mut String, content: &ChatContent) {
    match content {
        ChatContent::Text(text) => prompt.push_str(text),
        ChatContent::Parts(parts) => {
            for TextPart::Text { text } in parts {
                prompt.push_str(text);
            }
        }
    }
}

/// What names an answer; the same in every chunk of it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AnswerHead {
    /// Request id.
    pub id: RequestId,
    /// `text_completion`, `chat.completion` or `chat.completion.chunk`.
    pub object: &'static str,
    /// Seconds since 1970.
    pub created: u64,
    /// Pool that served the request.
    pub model: String,
}

/// A whole answer, or a chunk of a streamed one.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AnswerBody {
    /// What names it.
    #[serde(flatten)]
    pub head: AnswerHead,
    /// The one choice.
    pub choices: [Choice; 1],
    /// Tokens used; in the last chunk only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// How the answer came about; in the last chunk only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub havenstage: Option<AnswerFacts>,
}

/// The one choice of an answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The text in the form of the dialect.
    #[serde(flatten)]
    pub content: ChoiceContent,
    /// Why the answer ended; in the last chunk only.
    pub finish_reason: Option<FinishReason>,
}

/// The text of a choice.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoiceContent {
    /// Of a completion, whole or a chunk.
    Text(String),
    /// Of a whole chat answer.
    Message(ChatText),
    /// Of a chunk of a chat answer.
    Delta(ChatText),
}

/// Text with its speaker.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ChatText {
    /// Always `assistant`.
    pub role: &'static str,
    /// The text.
    pub content: String,
}

/// Tokens used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Of the prompt.
    pub prompt_tokens: u32,
    /// Generated.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
}

/// How an answer came about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerFacts {
    /// Versions that produced the tokens.
    pub segments: VersionSegments,
    /// Engine that produced the last token.
    pub engine: EngineName,
    /// Why the answer ended.
    pub finish: FinishReason,
}

impl From<&AnswerSummary> for AnswerFacts {
    fn from(summary: &AnswerSummary) -> Self {
        Self {
            segments: summary.segments.clone(),
            engine: summary.engine.clone(),
            finish: summary.finish,
        }
    }
}

impl From<&AnswerSummary> for Usage {
    fn from(summary: &AnswerSummary) -> Self {
        let completion_tokens = summary.segments.token_count();
        Self {
            prompt_tokens: summary.prompt_tokens,
            completion_tokens,
            total_tokens: summary.prompt_tokens.saturating_add(completion_tokens),
        }
    }
}

impl Dialect {
    /// Name of the object in a whole answer or, with `streamed`, in a chunk.
    pub fn object(self, streamed: bool) -> &'static str {
        match (self, streamed) {
            (Self::Completion, _) => "text_completion",
            (Self::Chat, false) => "chat.completion",
            (Self::Chat, true) => "chat.completion.chunk",
        }
    }

    /// A chunk with more text.
    pub fn chunk(self, head: &AnswerHead, text: String) -> AnswerBody {
        self.body(head, text, true, None)
    }

    /// The last chunk, without text.
    pub fn last_chunk(self, head: &AnswerHead, summary: &AnswerSummary) -> AnswerBody {
        self.body(head, String::new(), true, Some(summary))
    }

    /// A whole answer.
    pub fn whole(self, head: &AnswerHead, text: String, summary: &AnswerSummary) -> AnswerBody {
        self.body(head, text, false, Some(summary))
    }

    fn body(
        self,
        head: &AnswerHead,
        text: String,
        streamed: bool,
        summary: Option<&AnswerSummary>,
    ) -> AnswerBody {
        AnswerBody {
            head: head.clone(),
            choices: [Choice {
                index: 0,
                content: self.content(text, streamed),
                finish_reason: summary.map(|summary| summary.finish),
            }],
            usage: summary.map(Usage::from),
            havenstage: summary.map(AnswerFacts::from),
        }
    }

    fn content(self, text: String, streamed: bool) -> ChoiceContent {
        let chat_text = |content| ChatText {
            role: "assistant",
            content,
        };
        match (self, streamed) {
            (Self::Completion, _) => ChoiceContent::Text(text),
            (Self::Chat, false) => ChoiceContent::Message(chat_text(text)),
            (Self::Chat, true) => ChoiceContent::Delta(chat_text(text)),
        }
    }
}
