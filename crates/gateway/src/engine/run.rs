//! One run of an item on a back end: sends the request and reads the stream of output events.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_http_link::{Answer, LinkError, SendOptions};
use havenstage_rollout::back_end_speed::StreamGaps;
use havenstage_rollout::batch::Item;
use havenstage_rollout::event_stream::{EventReader, EventTooLong};
use havenstage_rollout::ids::{BackendId, BatchId, ItemId, RunId, TenantName, Version};
use havenstage_rollout::record::OutputEvent;
use http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request, StatusCode, Uri};
use http_body_util::Full;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use super::reward::ScoreEnd;
use crate::access;
use crate::backends::ChosenBackend;
use crate::context::Context;
use crate::crash_guard;
use crate::edge;
use crate::send;

/// Maximum time until the head of a response arrives.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum time between two pieces of a response body.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Identifies an item of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ItemKey {
    /// The batch that the item belongs to.
    pub batch: BatchId,
    /// Id of the item, which is also the request id that back ends receive.
    pub item: ItemId,
}

/// A message from the task of a run, or of the reward call after it, to the engine.
#[derive(Debug)]
pub struct RunMessage {
    /// The item that the run is for.
    pub key: ItemKey,
    /// The run; the engine ignores messages of runs that are not the item's current one.
    pub run: RunId,
    /// What happened.
    pub update: RunUpdate,
}

/// What a run or reward call reports.
#[derive(Debug)]
pub enum RunUpdate {
    /// The head of the response arrived, so the back end is reachable.
    Answered,
    /// One output event arrived.
    Event(OutputEvent),
    /// The run ended, in this way.
    Ended(RunEnd),
    /// The reward call ended, in this way.
    Scored(ScoreEnd),
}

/// How a run ended. Decides whether the item is finished, and what the back end's circuit breaker records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The back end sent the whole output.
    Whole,
    /// The back end states that it did not run the item.
    NotRun,
    /// Another back end listens at the address and did not run the item: the chosen one has ended.
    Replaced,
    /// The request was not written: by the time it could be, this node's knowledge of the batch was too old.
    TooLate,
    /// The back end could not be reached, so the request was not sent.
    Unreachable,
    /// The response broke off, fell silent, or is not a valid stream of this item.
    Broken,
    /// The stall detector ended the run because the back end fell silent; the item continues on another one.
    Stalled,
    /// The back end answered with an internal server error.
    Failed,
    /// The item can never run: the back end says so, or no valid request can be made from it.
    Impossible,
    /// The back end's weights have this version, which the item does not allow.
    WrongVersion(Version),
}

impl RunEnd {
    /// Returns the name used in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::NotRun => "not_run",
            Self::Replaced => "replaced",
            Self::TooLate => "too_late",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Stalled => "stalled",
            Self::Failed => "failed",
            Self::Impossible => "impossible",
            Self::WrongVersion(_) => "wrong_version",
        }
    }
}

/// Which weight versions may produce an item's events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionRule {
    /// The oldest version allowed.
    pub minimum: Version,
    /// Whether all events must come from one version.
    pub is_single: bool,
    /// The version that produced the first event of the output so far; `None` if there is no output.
    pub first_version: Option<Version>,
}

impl VersionRule {
    /// Whether a version may produce the next event; `previous` produced the last event of this run.
    fn allows(&self, version: Version, previous: Option<Version>) -> bool {
        let bound = previous.or(self.first_version).filter(|_| self.is_single);
        version >= self.minimum && bound.is_none_or(|bound| bound == version)
    }
}

/// Everything that a run needs.
pub struct RunParameters {
    /// The item to run.
    pub key: ItemKey,
    /// Id of the run, which marks its messages and log records.
    pub run: RunId,
    /// The request: path, headers and body.
    pub spec: Arc<Item>,
    /// Host that selects the route.
    pub host: String,
    /// The tenant that the batch belongs to.
    pub tenant: Option<TenantName>,
    /// Number of events that the item already has; the back end continues after them.
    pub resumed_from: u32,
    /// Weight versions that may produce an event.
    pub versions: VersionRule,
    /// When the item is given up; sent to the back end as the time left.
    pub deadline: Instant,
    /// Time after which nothing of the request may be written: the batch may have been ended.
    pub write_deadline: Instant,
    /// Urgency that is sent to the back end; 0 is the most urgent.
    pub urgency: u8,
    /// Notified by the engine when the run counts as stalled.
    pub stall_signal: Arc<Notify>,
}

/// Runs an item and sends each event and the end of the run to the engine.
pub async fn run_item(
    context: Arc<Context>,
    backend: ChosenBackend,
    parameters: RunParameters,
    messages: UnboundedSender<RunMessage>,
) {
    let end = tokio::select! {
        end = send_and_read(&context, &backend, &parameters, &messages) => end,
        // Drops the exchange, which resets its connection.
        () = parameters.stall_signal.notified() => RunEnd::Stalled,
    };
    if matches!(end, RunEnd::Whole | RunEnd::Failed | RunEnd::Impossible) {
        crash_guard::record_live_backend(&context, &backend.id);
    }
    drop(backend);
    // The engine is gone only when the process ends.
    let _ = messages.send(RunMessage {
        key: parameters.key,
        run: parameters.run,
        update: RunUpdate::Ended(end),
    });
}

/// Sends the request and reads the response.
async fn send_and_read(
    context: &Context,
    backend: &ChosenBackend,
    parameters: &RunParameters,
    messages: &UnboundedSender<RunMessage>,
) -> RunEnd {
    let Some(request) = item_request(context, &backend.id, parameters) else {
        return RunEnd::Impossible;
    };
    let sending = SendOptions::within(HEAD_TIMEOUT)
        .write_deadline(parameters.write_deadline)
        .min_silence_timeout(send::HEAD_SILENCE_TIMEOUT)
        .abort_when_silent();
    let answer = match backend.link.send_as(request.clone(), sending).await {
        // The silent connection was closed with a reset, which cancels a run that may have begun. The other
        // connections to the back end are closed too, so the second attempt uses a new one.
        Err(LinkError::Silent) => {
            let second_attempt = backend.link.send_as(request, sending).await;
            second_attempt.map_err(|_| LinkError::Silent)
        }
        answer => answer,
    };
    let answer = match answer {
        Ok(answer) => answer,
        Err(LinkError::TooLate) => return RunEnd::TooLate,
        Err(error) if error.is_unsent() => return RunEnd::Unreachable,
        Err(_) => return RunEnd::Broken,
    };
    match check_head(context, parameters, &answer) {
        Ok(version) => {
            send_answered(parameters, messages);
            read_events(context, backend, parameters, answer, version, messages).await
        }
        Err(end) => {
            // Reads the body to its end, so that the connection can be reused.
            let rest = answer.whole(MAX_REJECTION_BYTES);
            let rest = tokio::time::timeout(HEAD_TIMEOUT, rest).await;
            match end {
                // Only a whole answer counts: what begins like one may be the bytes of a back end in trouble.
                RunEnd::NotRun | RunEnd::Replaced | RunEnd::Failed | RunEnd::Impossible
                    if !matches!(rest, Ok(Ok(_))) =>
                {
                    RunEnd::Broken
                }
                end => end,
            }
        }
    }
}

fn send_answered(parameters: &RunParameters, messages: &UnboundedSender<RunMessage>) {
    // The engine is gone only when the process ends.
    let _ = messages.send(RunMessage {
        key: parameters.key.clone(),
        run: parameters.run,
        update: RunUpdate::Answered,
    });
}

/// Maximum size of an error response's body that is read.
const MAX_REJECTION_BYTES: usize = 64 * 1024;

fn item_request(
    context: &Context,
    backend: &BackendId,
    parameters: &RunParameters,
) -> Option<Request<Full<Bytes>>> {
    let names = context.dialect.headers();
    let left = parameters
        .deadline
        .saturating_duration_since(Instant::now());
    let mut request = Request::new(Full::new(parameters.spec.body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = parameters.spec.path.parse::<Uri>().ok()?;
    let headers = request.headers_mut();
    for header in &parameters.spec.headers {
        let name = HeaderName::try_from(header.name.as_str()).ok()?;
        headers.insert(name, HeaderValue::from_str(&header.value).ok()?);
    }
    send::remove_connection_headers(headers);
    access::set_tenant_header(names, headers, parameters.tenant.as_ref());
    headers.insert(HOST, HeaderValue::from_str(&parameters.host).ok()?);
    let id = HeaderValue::from_str(parameters.key.item.as_str()).ok()?;
    headers.insert(names.request_id.clone(), id);
    let deadline_ms = left.as_millis().max(1) as u64;
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(deadline_ms));
    let expected = HeaderValue::from_str(backend.name()).ok()?;
    headers.insert(names.expected_backend.clone(), expected);
    headers.insert(
        names.urgency.clone(),
        HeaderValue::from(u64::from(parameters.urgency)),
    );
    if parameters.resumed_from > 0 {
        headers.insert(
            names.last_event_id.clone(),
            HeaderValue::from(parameters.resumed_from),
        );
    }
    Some(request)
}

/// Checks the head of a response. Returns the version that the stream begins with, if the head names one; a
/// stream that adds no event names none. Returns how the run ends if the response is not a valid stream.
fn check_head(
    context: &Context,
    parameters: &RunParameters,
    answer: &Answer,
) -> Result<Option<Version>, RunEnd> {
    let names = context.dialect.headers();
    if context
        .dialect
        .is_not_run(answer.status(), answer.headers())
    {
        return Err(match edge::is_misdirected(answer.status()) {
            true => RunEnd::Replaced,
            false => RunEnd::NotRun,
        });
    }
    let id = answer.headers().get(&names.request_id);
    if id.is_none_or(|id| id.as_bytes() != parameters.key.item.as_str().as_bytes()) {
        return Err(RunEnd::Broken);
    }
    match answer.status() {
        StatusCode::UNPROCESSABLE_ENTITY => return Err(RunEnd::Impossible),
        status if status.is_success() => {}
        StatusCode::INTERNAL_SERVER_ERROR => return Err(RunEnd::Failed),
        _ => return Err(RunEnd::Broken),
    }
    match read_version(answer.headers(), &names.weight_version) {
        Some(version) if !parameters.versions.allows(version, None) => {
            Err(RunEnd::WrongVersion(version))
        }
        version => Ok(version),
    }
}

fn read_version(headers: &HeaderMap, name: &HeaderName) -> Option<Version> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

async fn read_events(
    context: &Context,
    backend: &ChosenBackend,
    parameters: &RunParameters,
    mut answer: Answer,
    mut version: Option<Version>,
    messages: &UnboundedSender<RunMessage>,
) -> RunEnd {
    let mut reader = EventReader::new(context.dialect.headers().weight_version.as_str());
    let mut count = u64::from(parameters.resumed_from);
    let mut last_event = Instant::now();
    let mut gaps = StreamGaps::default();
    let is_framed = answer.is_framed();
    loop {
        let bytes = match tokio::time::timeout(EVENT_TIMEOUT, answer.next_bytes()).await {
            Ok(Ok(Some(bytes))) => bytes,
            Ok(Ok(None)) if is_framed => return RunEnd::Whole,
            // A body without a length or chunks has no marked end, so this may be a broken connection. A
            // resumed run shows whether the output is whole.
            Ok(Ok(None)) => return RunEnd::Broken,
            Ok(Err(LinkError::Broken | _)) | Err(_) => return RunEnd::Broken,
        };
        reader.push(&bytes);
        loop {
            let event = match reader.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(EventTooLong) => return RunEnd::Broken,
            };
            count += 1;
            if event.id.is_some_and(|id| id != count) {
                return RunEnd::Broken;
            }
            let previous = version;
            version = event.version.or(version);
            let event_version = version.unwrap_or(0);
            if !parameters.versions.allows(event_version, previous) {
                // If the stream names no version, the event cannot be checked and the run counts as broken.
                return version.map_or(RunEnd::Broken, RunEnd::WrongVersion);
            }
            let gap_ms = last_event.elapsed().as_secs_f64() * 1_000.0;
            last_event = Instant::now();
            if let Some(gap) = gaps.record_event(gap_ms) {
                let now = context.now();
                let mut backends = context.backends.lock();
                backends.record_event_gaps(&backend.id, gap, now);
            }
            let event = OutputEvent {
                version: event_version,
                data: event.data,
            };
            let message = RunMessage {
                key: parameters.key.clone(),
                run: parameters.run,
                update: RunUpdate::Event(event),
            };
            if messages.send(message).is_err() {
                return RunEnd::Broken;
            }
        }
    }
}
