//! Wire format of engines: the OpenAI completions dialect with server-sent events, plus vendor
//! fields for versions, token ids, resuming and priorities, and a small control interface.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt, stream};
use havenstage_edge::engine::{ChunkStream, EngineClient, EngineError};
use havenstage_types::engine::{
    EngineEndpoint, EngineOrder, GenerateRequest, LoadReport, TokenChunk,
};
use havenstage_types::ids::{AttemptId, FencingToken, VersionNumber};
use havenstage_types::request::FinishReason;
use havenstage_types::resource::PriorityClass;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::http_client::{HttpClient, HttpError, ShortAnswer, json_request};

/// Path that takes a [`CompletionRequest`].
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path that takes a [`CancelRequest`].
pub const CANCEL_PATH: &str = "/control/cancel";
/// Path that takes an [`EngineOrder`].
pub const ORDER_PATH: &str = "/control/order";
/// Path that answers a [`LoadReport`].
pub const LOAD_PATH: &str = "/load";
/// Header of an error answer that says nothing was run; its value is `true`.
pub const NOT_RUN_HEADER: &str = "x-engine-not-run";
/// Data of the event that ends a stream.
pub const STREAM_END: &str = "[DONE]";

/// Asks for a completion; always streamed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Prompt text.
    pub prompt: String,
    /// Upper bound on generated tokens, the resumed ones included.
    pub max_tokens: u32,
    /// Whether to stream; always `true`.
    pub stream: bool,
    /// Attempt the execution belongs to.
    pub attempt: AttemptId,
    /// What is generated: a request id or sample id.
    pub subject: String,
    /// Tokens an earlier execution generated.
    #[serde(default)]
    pub resume_tokens: Vec<u32>,
    /// Priority class.
    pub priority: PriorityClass,
}

impl From<GenerateRequest> for CompletionRequest {
    fn from(request: GenerateRequest) -> Self {
        Self {
            prompt: request.prompt,
            max_tokens: request.max_tokens,
            stream: true,
            attempt: request.attempt,
            subject: request.subject,
            resume_tokens: request.resume_tokens,
            priority: request.class,
        }
    }
}

impl From<CompletionRequest> for GenerateRequest {
    fn from(request: CompletionRequest) -> Self {
        Self {
            attempt: request.attempt,
            subject: request.subject,
            prompt: request.prompt,
            resume_tokens: request.resume_tokens,
            max_tokens: request.max_tokens,
            class: request.priority,
        }
    }
}

/// One event of a streamed completion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// Always `text_completion`.
    pub object: String,
    /// Exactly one choice.
    pub choices: Vec<CompletionChoice>,
    /// Version that produced the tokens of this event.
    pub weight_version: VersionNumber,
    /// Token ids of this event.
    pub token_ids: Vec<u32>,
    /// Natural-log probability of each token.
    #[serde(default)]
    pub log_probabilities: Vec<f32>,
    /// Set on the last event.
    #[serde(default)]
    pub usage: Option<CompletionUsage>,
}

/// The choice of a [`CompletionChunk`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Always 0.
    pub index: u32,
    /// Text of this event.
    pub text: String,
    /// Set on the last event.
    pub finish_reason: Option<FinishReason>,
}

/// Token counts of a whole completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
}

impl From<TokenChunk> for CompletionChunk {
    fn from(chunk: TokenChunk) -> Self {
        let usage = chunk.finish.map(|_| CompletionUsage {
            prompt_tokens: chunk.prompt_tokens,
            cached_tokens: chunk.cached_tokens,
        });
        Self {
            object: "text_completion".to_owned(),
            choices: vec![CompletionChoice {
                index: 0,
                text: chunk.text,
                finish_reason: chunk.finish,
            }],
            weight_version: chunk.version,
            token_ids: chunk.tokens,
            log_probabilities: chunk.log_probabilities,
            usage,
        }
    }
}

impl CompletionChunk {
    /// The chunk it carries, or `None` when it has no choice.
    pub fn into_token_chunk(self) -> Option<TokenChunk> {
        let choice = self.choices.into_iter().next()?;
        Some(TokenChunk {
            version: self.weight_version,
            tokens: self.token_ids,
            log_probabilities: self.log_probabilities,
            text: choice.text,
            finish: choice.finish_reason,
            prompt_tokens: self.usage.map_or(0, |usage| usage.prompt_tokens),
            cached_tokens: self.usage.map_or(0, |usage| usage.cached_tokens),
        })
    }
}

/// Asks to stop an execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Attempt to stop.
    pub attempt: AttemptId,
}

/// Answer to an order whose fencing token is too low, with status 409.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedAnswer {
    /// Highest token seen.
    pub highest: FencingToken,
}

/// Client of engines that speak this dialect.
#[derive(Debug, Clone)]
pub struct OpenAiEngineClient {
    client: HttpClient,
}

impl OpenAiEngineClient {
    /// A client; engines are named with each call.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    async fn control<T: Serialize + Sync>(
        &self,
        server: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<ShortAnswer, EngineError> {
        self.client
            .post(server, path, body)
            .await
            .map_err(engine_error)
    }
}

#[async_trait]
impl EngineClient for OpenAiEngineClient {
    async fn generate(
        &self,
        engine: &EngineEndpoint,
        request: GenerateRequest,
    ) -> Result<ChunkStream, EngineError> {
        let body = CompletionRequest::from(request);
        let request =
            json_request(engine.address, COMPLETIONS_PATH, &body).map_err(engine_error)?;
        let settings = self.client.settings();
        let response = self
            .client
            .send(request, settings.request_timeout())
            .await
            .map_err(engine_error)?;
        if response.status() != StatusCode::OK {
            return Err(refusal(response.status(), response.headers()));
        }
        Ok(chunk_stream(response, settings.stream_idle_timeout()).boxed())
    }

    async fn cancel(&self, engine: &EngineEndpoint, attempt: AttemptId) -> Result<(), EngineError> {
        let body = CancelRequest { attempt };
        let answer = self.control(engine.address, CANCEL_PATH, &body).await?;
        expect_ok(&answer)
    }

    async fn order(&self, engine: &EngineEndpoint, order: EngineOrder) -> Result<(), EngineError> {
        let answer = self.control(engine.address, ORDER_PATH, &order).await?;
        if answer.status == StatusCode::CONFLICT {
            let fenced: FencedAnswer = answer.json().ok_or(EngineError::Malformed)?;
            return Err(EngineError::Fenced {
                highest: fenced.highest,
            });
        }
        expect_ok(&answer)
    }

    async fn load(&self, engine: &EngineEndpoint) -> Result<LoadReport, EngineError> {
        let answer = self
            .client
            .get(engine.address, LOAD_PATH)
            .await
            .map_err(engine_error)?;
        expect_ok(&answer)?;
        answer.json().ok_or(EngineError::Malformed)
    }
}

/// The chunks of a streamed answer. It ends after the finishing chunk; whatever else ends it is
/// an error. Polling it to its end lets the connection be used again.
fn chunk_stream(
    response: Response<Incoming>,
    idle_timeout: Duration,
) -> impl Stream<Item = Result<TokenChunk, EngineError>> + Send + 'static {
    let body = response.into_body().into_data_stream();
    let bytes = tokio_stream::StreamExt::timeout(body, idle_timeout).map(|item| match item {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(_)) | Err(_) => Err(EngineError::Broken),
    });
    let events = Box::pin(bytes.eventsource());
    stream::unfold(StreamState::Open(events), |state| async move {
        let mut events = match state {
            StreamState::Open(events) => events,
            StreamState::Finished(mut events) => {
                while let Some(Ok(_)) = events.next().await {}
                return None;
            }
            StreamState::Failed => return None,
        };
        let chunk = match events.next().await {
            Some(Ok(event)) => parse_event(&event.data),
            Some(Err(_)) | None => Err(EngineError::Broken),
        };
        let state = match &chunk {
            Ok(chunk) if chunk.finish.is_none() => StreamState::Open(events),
            Ok(_) => StreamState::Finished(events),
            Err(_) => StreamState::Failed,
        };
        Some((chunk, state))
    })
}

/// State of a stream of events.
enum StreamState<E> {
    /// More chunks are expected.
    Open(E),
    /// The finishing chunk has come; the rest is read only to reuse the connection.
    Finished(E),
    /// It failed; the connection is dropped.
    Failed,
}

fn parse_event(data: &str) -> Result<TokenChunk, EngineError> {
    if data == STREAM_END {
        return Err(EngineError::Broken);
    }
    let chunk: CompletionChunk = serde_json::from_str(data).map_err(|_| EngineError::Malformed)?;
    chunk.into_token_chunk().ok_or(EngineError::Malformed)
}

fn refusal(status: StatusCode, headers: &HeaderMap) -> EngineError {
    let says_not_run = headers
        .get(NOT_RUN_HEADER)
        .is_some_and(|value| value == "true");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if says_not_run => {
            EngineError::Rejected
        }
        _ if status.is_server_error() => EngineError::Broken,
        _ => EngineError::Malformed,
    }
}

fn expect_ok(answer: &ShortAnswer) -> Result<(), EngineError> {
    match answer.status {
        StatusCode::OK => Ok(()),
        status if status.is_server_error() => Err(EngineError::Broken),
        _ => Err(EngineError::Malformed),
    }
}

fn engine_error(error: HttpError) -> EngineError {
    match error {
        HttpError::NotConnected | HttpError::InvalidRequest => EngineError::NotSent,
        HttpError::NoAnswer => EngineError::Broken,
    }
}
