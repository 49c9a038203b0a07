//! One live call over HTTP, from its sending to its end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use havenstage_history::event::caller::{
    BrokenCause, CallAnswered, CallBroken, CallClass, CallId, CallRefused, CallSent, RefusalCode,
    ToldExecution,
};
use havenstage_history::event::engine::Finish;
use havenstage_history::event::{EventBody, EventSource};
use havenstage_history::fingerprint::Fingerprint;
use havenstage_http_api::error::{ErrorBody, ErrorDetail};
use havenstage_http_api::headers::{
    AT_MOST_ONCE, CALLER, DEADLINE_MS, IDEMPOTENCY_KEY, REQUEST_ID,
};
use havenstage_http_api::openai::AnswerFacts;
use havenstage_platform_http::engine::{COMPLETIONS_PATH, STREAM_END};
use havenstage_platform_http::http_client::{HttpClient, HttpError};
use havenstage_types::ids::{IdempotencyKey, PoolName, RequestId};
use havenstage_types::refusal::Execution;
use havenstage_types::request::FinishReason;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyDataStream, Full};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use super::nodes::DemoNode;
use super::recorder::{Recorder, milliseconds};

/// Time that a call allows.
const DEADLINE: Duration = Duration::from_secs(15);

/// Time after which a caller gives up: its deadline and a while more.
const PATIENCE: Duration = Duration::from_secs(20);

/// What a caller asks.
#[derive(Debug, Clone)]
pub struct Call {
    /// The call.
    pub id: CallId,
    /// Pool asked for.
    pub pool: PoolName,
    /// Prompt.
    pub prompt: String,
    /// Most tokens wanted.
    pub max_tokens: u32,
    /// Key for repeats.
    pub key: Option<IdempotencyKey>,
    /// Whether it must run at most once.
    pub at_most_once: bool,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// Class that the priority rules give its caller.
    pub class: CallClass,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// By a whole answer.
    Answered {
        /// Time to the first text; `None` for answers that are not streamed.
        first_text: Option<Duration>,
        /// Time to the end.
        total: Duration,
    },
    /// By a refusal.
    Refused(ErrorDetail),
    /// Without a final answer.
    Broken(BrokenCause),
}

/// A piece of an answer, or a whole one.
#[derive(Deserialize)]
struct AnswerPart {
    choices: [ChoicePart; 1],
    usage: Option<UsagePart>,
    havenstage: Option<AnswerFacts>,
}

#[derive(Deserialize)]
struct ChoicePart {
    text: String,
}

#[derive(Deserialize)]
struct UsagePart {
    completion_tokens: u32,
}

#[derive(Default)]
struct Received {
    request: Option<RequestId>,
    text: String,
    first_text: Option<Duration>,
    token_count: u32,
    facts: Option<AnswerFacts>,
}

/// How a reading of an answer ended.
enum Ending {
    Whole,
    Refused(ErrorDetail),
    Broken(BrokenCause),
}

/// Calls nodes and records sendings and ends.
#[derive(Clone)]
pub struct CallClient {
    /// Client of the callers.
    pub client: HttpClient,
    /// Where they record.
    pub recorder: Arc<Recorder>,
}

impl CallClient {
    /// Makes a call and waits for its end.
    pub async fn call(&self, node: &DemoNode, call: &Call) -> CallEnd {
        self.record(call, EventBody::CallSent(sent(call, node)));
        let sent_at = Instant::now();
        let mut received = Received::default();
        let exchange = self.exchange(node, call, sent_at, &mut received);
        let ending = tokio::time::timeout(PATIENCE, exchange)
            .await
            .unwrap_or(Ending::Broken(BrokenCause::TimedOut));
        self.record(call, received.event(call, &ending));
        match ending {
            Ending::Whole => CallEnd::Answered {
                first_text: received.first_text,
                total: sent_at.elapsed(),
            },
            Ending::Refused(detail) => CallEnd::Refused(detail),
            Ending::Broken(cause) => CallEnd::Broken(cause),
        }
    }

    async fn exchange(
        &self,
        node: &DemoNode,
        call: &Call,
        sent_at: Instant,
        received: &mut Received,
    ) -> Ending {
        let Ok(request) = http_request(node, call) else {
            return Ending::Broken(BrokenCause::Abandoned);
        };
        let response = match self.client.send(request, PATIENCE).await {
            Ok(response) => response,
            Err(HttpError::NotConnected) => return Ending::Broken(BrokenCause::NotConnected),
            Err(_) => return Ending::Broken(BrokenCause::Reset),
        };
        received.request = request_id(&response);
        if call.streamed && response.status() == StatusCode::OK {
            return read_stream(response, sent_at, received).await;
        }
        let status = response.status();
        let Ok(body) = self.client.read_whole(response).await else {
            return Ending::Broken(BrokenCause::Reset);
        };
        read_whole(status, &body, received)
    }

    fn record(&self, call: &Call, body: EventBody) {
        let source = EventSource::Caller(call.id.caller.clone());
        self.recorder.record(source, body);
    }
}

async fn read_stream(
    response: Response<Incoming>,
    sent_at: Instant,
    received: &mut Received,
) -> Ending {
    let mut events = BodyDataStream::new(response.into_body()).eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return Ending::Broken(BrokenCause::Reset);
        };
        if event.data == STREAM_END {
            return received.ending();
        }
        if let Ok(error) = serde_json::from_str::<ErrorBody>(&event.data) {
            return Ending::Refused(error.error);
        }
        let Ok(part) = serde_json::from_str::<AnswerPart>(&event.data) else {
            return Ending::Broken(BrokenCause::StreamTruncated);
        };
        received.first_text.get_or_insert_with(|| sent_at.elapsed());
        received.take(part);
    }
    Ending::Broken(BrokenCause::StreamTruncated)
}

fn read_whole(status: StatusCode, body: &[u8], received: &mut Received) -> Ending {
    if status != StatusCode::OK {
        return match serde_json::from_slice::<ErrorBody>(body) {
            Ok(error) => Ending::Refused(error.error),
            Err(_) => Ending::Broken(BrokenCause::Reset),
        };
    }
    let Ok(part) = serde_json::from_slice::<AnswerPart>(body) else {
        return Ending::Broken(BrokenCause::StreamTruncated);
    };
    received.take(part);
    received.ending()
}

impl Received {
    fn take(&mut self, part: AnswerPart) {
        let [choice] = part.choices;
        self.text.push_str(&choice.text);
        if let Some(usage) = part.usage {
            self.token_count = usage.completion_tokens;
        }
        self.facts = part.havenstage.or(self.facts.take());
    }

    /// The ending of an answer that came to its end mark: whole only if it says what it is.
    fn ending(&self) -> Ending {
        match self.facts {
            Some(_) => Ending::Whole,
            None => Ending::Broken(BrokenCause::StreamTruncated),
        }
    }

    fn event(&self, call: &Call, ending: &Ending) -> EventBody {
        let call = call.id.clone();
        let request = self.request.clone();
        match (ending, &self.facts) {
            (Ending::Whole, Some(facts)) => EventBody::CallAnswered(CallAnswered {
                call,
                request,
                text: Fingerprint::of_text(&self.text),
                token_count: self.token_count,
                segments: facts.segments.clone(),
                finish: finish_of(facts.finish),
            }),
            (Ending::Refused(detail), _) => EventBody::CallRefused(CallRefused {
                call,
                request,
                code: RefusalCode(detail.code.clone()),
                execution: told(detail.execution),
                retry_after_ms: detail.retry_after_ms,
            }),
            (Ending::Broken(cause), _) => self.broken(call, request, *cause),
            (Ending::Whole, None) => self.broken(call, request, BrokenCause::StreamTruncated),
        }
    }

    fn broken(&self, call: CallId, request: Option<RequestId>, cause: BrokenCause) -> EventBody {
        let words = self.text.split_whitespace().count();
        EventBody::CallBroken(CallBroken {
            call,
            request,
            cause,
            received_tokens: u32::try_from(words).unwrap_or(u32::MAX),
        })
    }
}

fn http_request(node: &DemoNode, call: &Call) -> Result<Request<Full<Bytes>>, http::Error> {
    let body = json!({
        "model": call.pool,
        "prompt": call.prompt,
        "max_tokens": call.max_tokens,
        "stream": call.streamed,
    });
    let mut request = Request::post(format!("http://{}{COMPLETIONS_PATH}", node.http_address))
        .header(header::CONTENT_TYPE, "application/json")
        .header(CALLER, call.id.caller.as_str())
        .header(DEADLINE_MS, milliseconds(DEADLINE))
        .header(
            AT_MOST_ONCE,
            HeaderValue::from_static(if call.at_most_once { "true" } else { "false" }),
        );
    if let Some(key) = &call.key {
        request = request.header(IDEMPOTENCY_KEY, key.as_str());
    }
    request.body(Full::from(body.to_string()))
}

fn request_id(response: &Response<Incoming>) -> Option<RequestId> {
    let value = response.headers().get(REQUEST_ID)?;
    value.to_str().ok().map(RequestId::new)
}

fn sent(call: &Call, node: &DemoNode) -> CallSent {
    CallSent {
        call: call.id.clone(),
        node: Some(node.id()),
        pool: call.pool.clone(),
        at_most_once: call.at_most_once,
        idempotency_key: call.key.clone(),
        prompt: Fingerprint::of_text(&call.prompt),
        class: call.class,
        deadline_ms: Some(milliseconds(DEADLINE)),
    }
}

/// The history's word for a reason to end.
pub fn finish_of(reason: FinishReason) -> Finish {
    match reason {
        FinishReason::Stop => Finish::Stop,
        FinishReason::Length => Finish::Length,
    }
}

fn told(execution: Execution) -> ToldExecution {
    match execution {
        Execution::NotRun => ToldExecution::NotRun,
        Execution::Ran => ToldExecution::Ran,
        Execution::Unknown => ToldExecution::Unknown,
    }
}
