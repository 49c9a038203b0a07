//! Sends requests of one case and reads their answers to the end.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use havenstage_platform_http::engine::{COMPLETIONS_PATH, CompletionRequest, STREAM_END};
use havenstage_platform_http::http_client::{
    HttpClient, HttpClientSettings, HttpError, json_request,
};
use havenstage_types::ids::{AttemptId, NodeId};
use havenstage_types::resource::PriorityClass;
use hdrhistogram::Histogram;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::task::JoinSet;

use super::Targets;
use super::case::{AnswerKind, Case, Path};
use super::settings::LatencySettings;
use super::summary::new_histogram;

/// Header that makes a request run at most once.
const AT_MOST_ONCE: &str = "x-havenstage-at-most-once";

/// Patience with one answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// Calls that put load on one case.
#[derive(Debug)]
pub(super) struct Caller {
    targets: Targets,
    client: HttpClient,
    prompt: String,
    answer_tokens: u32,
    /// Stands for a node in the attempts of direct calls.
    sender: NodeId,
    next: AtomicU64,
}

/// What a slice of load brought.
#[derive(Debug)]
pub(super) struct Slice {
    /// Nanoseconds from sending to the answer's last byte.
    pub(super) latency: Histogram<u64>,
    /// Requests that got something else than a whole answer.
    pub(super) failures: u64,
    /// How long the slice took.
    pub(super) elapsed: Duration,
}

/// Why a request has no whole answer.
#[derive(Debug, Error)]
pub(super) enum CallError {
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error("status {status}: {body}")]
    Refused { status: StatusCode, body: String },
    #[error("the answer is not whole: {0}")]
    NotWhole(String),
}

/// Body of a completion as callers send it to a node.
#[derive(Debug, Serialize)]
struct NodeRequest<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
}

/// The part of a whole answer that is checked.
#[derive(Debug, Deserialize)]
struct NodeAnswer {
    usage: NodeUsage,
}

#[derive(Debug, Deserialize)]
struct NodeUsage {
    completion_tokens: u32,
}

impl Caller {
    pub(super) fn new(settings: &LatencySettings, targets: &Targets) -> Self {
        let connections = settings
            .throughput_connections
            .max(settings.latency_connections);
        let client = HttpClient::new(HttpClientSettings {
            pool_max_idle_per_server: connections as usize,
            ..HttpClientSettings::default()
        });
        Self {
            targets: targets.clone(),
            client,
            prompt: "x".repeat(settings.prompt_bytes),
            answer_tokens: settings.answer_tokens,
            sender: NodeId::from_random(rand::random()),
            next: AtomicU64::new(1),
        }
    }

    /// Sends one request and reads its answer to the end.
    pub(super) async fn call(&self, case: Case) -> Result<(), CallError> {
        let request = self.request(case)?;
        let response = self.client.send(request, PATIENCE).await?;
        let status = response.status();
        let body = self.client.read_whole(response).await?;
        if status != StatusCode::OK {
            let body = String::from_utf8_lossy(&body).into_owned();
            return Err(CallError::Refused { status, body });
        }
        self.check(case, &body)
    }

    fn request(&self, case: Case) -> Result<Request<Full<Bytes>>, HttpError> {
        let server = match case.path {
            Path::Direct => return self.direct_request(),
            Path::OneHop => self.targets.home,
            Path::TwoHop => self.targets.front,
        };
        let body = NodeRequest {
            model: self.targets.pool.as_str(),
            prompt: &self.prompt,
            max_tokens: self.answer_tokens,
            stream: case.kind == AnswerKind::Streamed,
        };
        let mut request = json_request(server, COMPLETIONS_PATH, &body)?;
        if case.kind == AnswerKind::AtMostOnce {
            let value = HeaderValue::from_static("true");
            request.headers_mut().insert(AT_MOST_ONCE, value);
        }
        Ok(request)
    }

    fn direct_request(&self) -> Result<Request<Full<Bytes>>, HttpError> {
        let sequence = self.next.fetch_add(1, Ordering::Relaxed);
        let body = CompletionRequest {
            prompt: self.prompt.clone(),
            max_tokens: self.answer_tokens,
            stream: true,
            attempt: AttemptId {
                node: self.sender,
                sequence,
            },
            subject: format!("direct-{sequence:x}"),
            resume_tokens: Vec::new(),
            priority: PriorityClass::Live,
        };
        json_request(self.targets.engine, COMPLETIONS_PATH, &body)
    }

    fn check(&self, case: Case, body: &[u8]) -> Result<(), CallError> {
        let is_whole = if case.kind == AnswerKind::Streamed {
            body.trim_ascii_end().ends_with(STREAM_END.as_bytes())
        } else {
            serde_json::from_slice::<NodeAnswer>(body)
                .is_ok_and(|answer| answer.usage.completion_tokens == self.answer_tokens)
        };
        if is_whole {
            return Ok(());
        }
        let body = String::from_utf8_lossy(body).into_owned();
        Err(CallError::NotWhole(body))
    }

    /// Puts load on a case over a number of connections for a time, closed-loop.
    pub(super) async fn load(
        self: &std::sync::Arc<Self>,
        case: Case,
        connections: u32,
        time: Duration,
    ) -> Slice {
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        for _ in 0..connections {
            let caller = self.clone();
            tasks.spawn(async move { caller.repeat(case, start, time).await });
        }
        let mut slice = Slice {
            latency: new_histogram(),
            failures: 0,
            elapsed: Duration::ZERO,
        };
        while let Some(joined) = tasks.join_next().await {
            let Ok((latency, failures)) = joined else {
                slice.failures += 1;
                continue;
            };
            // Both were made by `new_histogram`, so that the one holds what the other does.
            let _ = slice.latency.add(&latency);
            slice.failures += failures;
        }
        slice.elapsed = start.elapsed();
        slice
    }

    async fn repeat(&self, case: Case, start: Instant, time: Duration) -> (Histogram<u64>, u64) {
        let mut latency = new_histogram();
        let mut failures = 0;
        while start.elapsed() < time {
            let sent = Instant::now();
            match self.call(case).await {
                Ok(()) => latency.saturating_record(sent.elapsed().as_nanos() as u64),
                Err(_no_answer) => failures += 1,
            }
        }
        (latency, failures)
    }
}
