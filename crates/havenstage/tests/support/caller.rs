//! A caller of live requests that asks another node when a first answer does not come.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings, HttpError};
use havenstage_types::ids::{CallerName, IdempotencyKey, NodeId, PoolName, RequestId};
use havenstage_types::refusal::Execution;
use havenstage_types::request::FinishReason;
use http::{Request, Response};
use http_body_util::{BodyDataStream, BodyExt, Full};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::history::Recorder;

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(100);
/// Wait for an answer before the request is also sent to another node.
const FIRST_ANSWER: Duration = Duration::from_secs(3);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Calls made for one request, at most.
const MAX_CALLS: u32 = 6;
const MAX_TOKENS: u32 = 30;
const DEADLINE_MS_OF_CALLS: u64 = 15_000;
/// Far above the deadline; reached only when a node never answers.
const NEVER: Duration = Duration::from_secs(60);

/// The caller.
#[derive(Clone)]
pub struct Caller {
    client: HttpClient,
    nodes: Vec<(NodeId, SocketAddr)>,
    recorder: Arc<Recorder>,
}

/// How a call ended.
enum End {
    Answered { text: String, facts: AnswerFacts },
    Refused(ErrorDetail),
    Broken(BrokenCause),
}

#[derive(Deserialize)]
struct AnswerPart {
    choices: [ChoicePart; 1],
    havenstage: Option<AnswerFacts>,
}

#[derive(Deserialize)]
struct ChoicePart {
    text: String,
}

impl Caller {
    /// A caller of these nodes.
    pub fn new(nodes: Vec<(NodeId, SocketAddr)>, recorder: Arc<Recorder>) -> Self {
        Self {
            client: HttpClient::new(HttpClientSettings::default()),
            nodes,
            recorder,
        }
    }

    /// Sends requests until told to stop, then waits for the last ones to end.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let mut requests = JoinSet::new();
        let mut number = 0;
        while !*stop.borrow_and_update() {
            number += 1;
            requests.spawn(self.clone().request(number));
            // Either the time has passed or the end has come; the loop's head tells which.
            let _ = tokio::time::timeout(INTERVAL, stop.changed()).await;
        }
        while let Some(ended) = requests.join_next().await {
            ended.expect("no request panicked");
        }
    }

    /// Calls one node after the other until one says how the request ended. Earlier calls stay
    /// open, so that each tells what became of it.
    async fn request(self, number: u64) {
        let mut open = JoinSet::new();
        for call in 1..=MAX_CALLS {
            let sent = self.sent(number, call);
            open.spawn(self.clone().call(sent));
            let ended = tokio::time::timeout(FIRST_ANSWER, open.join_next()).await;
            if let Ok(Some(ended)) = ended {
                if ended.expect("no call panicked") {
                    break;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        while let Some(ended) = open.join_next().await {
            ended.expect("no call panicked");
        }
    }

    /// A third of the requests is repeatable without a key, a third with one, and a third must run
    /// at most once. Retries go to the next node, under the same key.
    fn sent(&self, number: u64, call: u32) -> CallSent {
        let turn = number + u64::from(call);
        let (node, _) = self.nodes[turn as usize % self.nodes.len()];
        let key = IdempotencyKey(format!("key-{number}"));
        CallSent {
            call: CallId {
                caller: CallerName::new("desk"),
                request: number,
                call,
            },
            node: Some(node),
            pool: PoolName::new("p"),
            at_most_once: number % 3 == 1,
            idempotency_key: (!number.is_multiple_of(3)).then_some(key),
            prompt: Fingerprint::of_text(&prompt(number)),
            class: CallClass::Live,
            deadline_ms: Some(DEADLINE_MS_OF_CALLS),
        }
    }

    /// Makes a call; says whether the request needs no other call.
    async fn call(self, sent: CallSent) -> bool {
        let source = EventSource::Caller(sent.call.caller.clone());
        let body = EventBody::CallSent(sent.clone());
        self.recorder.record(source.clone(), body);
        let mut request = None;
        let end = tokio::time::timeout(NEVER, self.exchange(&sent, &mut request)).await;
        let end = end.unwrap_or(End::Broken(BrokenCause::TimedOut));
        let settled = match &end {
            End::Answered { .. } => true,
            End::Refused(detail) => detail.execution != Execution::NotRun,
            End::Broken(_) => false,
        };
        self.recorder.record(source, end.event(sent.call, request));
        settled
    }

    async fn exchange(&self, sent: &CallSent, request: &mut Option<RequestId>) -> End {
        let response = match self.client.send(self.http_request(sent), NEVER).await {
            Ok(response) => response,
            Err(HttpError::NotConnected) => return End::Broken(BrokenCause::NotConnected),
            Err(_) => return End::Broken(BrokenCause::Reset),
        };
        let id = response.headers().get(REQUEST_ID);
        *request = id.map(|id| RequestId::new(id.to_str().expect("the id is text")));
        if response.status().is_success() {
            return read_stream(response).await;
        }
        let Ok(body) = response.into_body().collect().await else {
            return End::Broken(BrokenCause::Reset);
        };
        let error: ErrorBody = serde_json::from_slice(&body.to_bytes()).expect("a refusal");
        End::Refused(error.error)
    }

    fn http_request(&self, sent: &CallSent) -> Request<Full<bytes::Bytes>> {
        let address = self.nodes.iter().find(|(node, _)| sent.node == Some(*node));
        let (_, address) = address.expect("the node is known");
        let body = json!({
            "model": sent.pool,
            "prompt": prompt(sent.call.request),
            "max_tokens": MAX_TOKENS,
            "stream": true,
        });
        let mut request = Request::post(format!("http://{address}{COMPLETIONS_PATH}"))
            .header(CALLER, sent.call.caller.as_str())
            .header(DEADLINE_MS, DEADLINE_MS_OF_CALLS)
            .header(AT_MOST_ONCE, sent.at_most_once.to_string());
        if let Some(key) = &sent.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY, key.as_str());
        }
        let request = request.body(Full::from(body.to_string()));
        request.expect("the request is well formed")
    }
}

async fn read_stream(response: Response<Incoming>) -> End {
    let mut events = BodyDataStream::new(response.into_body()).eventsource();
    let mut text = String::new();
    let mut facts = None;
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return End::Broken(BrokenCause::Reset);
        };
        if event.data == STREAM_END {
            let facts = facts.expect("a whole answer says what it is");
            return End::Answered { text, facts };
        }
        if let Ok(error) = serde_json::from_str::<ErrorBody>(&event.data) {
            return End::Refused(error.error);
        }
        let part: AnswerPart = serde_json::from_str(&event.data).expect("a part of an answer");
        let [choice] = part.choices;
        text.push_str(&choice.text);
        facts = part.havenstage.or(facts);
    }
    End::Broken(BrokenCause::StreamTruncated)
}

impl End {
    fn event(self, call: CallId, request: Option<RequestId>) -> EventBody {
        match self {
            Self::Answered { text, facts } => EventBody::CallAnswered(CallAnswered {
                call,
                request,
                text: Fingerprint::of_text(&text),
                token_count: facts.segments.token_count(),
                segments: facts.segments,
                finish: match facts.finish {
                    FinishReason::Stop => Finish::Stop,
                    FinishReason::Length => Finish::Length,
                },
            }),
            Self::Refused(detail) => EventBody::CallRefused(CallRefused {
                call,
                request,
                code: RefusalCode(detail.code),
                execution: match detail.execution {
                    Execution::NotRun => ToldExecution::NotRun,
                    Execution::Ran => ToldExecution::Ran,
                    Execution::Unknown => ToldExecution::Unknown,
                },
                retry_after_ms: detail.retry_after_ms,
            }),
            Self::Broken(cause) => EventBody::CallBroken(CallBroken {
                call,
                request,
                cause,
                received_tokens: 0,
            }),
        }
    }
}

fn prompt(number: u64) -> String {
    format!("request {number}")
}
