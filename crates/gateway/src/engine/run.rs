//! One run of an item on a back end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_http_link::{Answer, LinkError, Sending};
use havenstage_rollout::back_end_speed::StreamGaps;
use havenstage_rollout::batch::Item;
use havenstage_rollout::event_stream::EventReader;
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
use crate::crash_evidence::{self, UnansweredSend};
use crate::crash_guard;
use crate::fingerprint;
use crate::send;

/// Longest time for the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest time without an event.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Events after which a run that breaks off is not held against its item: the back end ran it well for so
/// long, and the next run goes on behind them.
const EVENTS_OF_A_SOUND_RUN: u32 = 3;

/// An item of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ItemKey {
    /// Batch.
    pub batch: BatchId,
    /// Item.
    pub item: ItemId,
}

/// What a run tells the engine.
#[derive(Debug)]
pub struct RunMessage {
    /// The item.
    pub key: ItemKey,
    /// The run.
    pub run: RunId,
    /// What happened.
    pub news: RunNews,
}

/// What happened in a run.
#[derive(Debug)]
pub enum RunNews {
    /// The head of the answer came, so the back end is there.
    Answered,
    /// One more event.
    Event(OutputEvent),
    /// The run ended.
    Ended(RunEnd),
    /// The reward call ended.
    Scored(ScoreEnd),
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The output is whole.
    Whole,
    /// The back end did not run it.
    NotRun,
    /// What was known of the batch had become too old before the request could be written.
    TooLate,
    /// The back end could not be reached.
    Unreachable,
    /// The stream broke off, fell silent, or brought something else.
    Broken,
    /// Nothing came any more, and the item goes on elsewhere.
    Stalled,
    /// The back end failed.
    Failed,
    /// The back end said that it can never be done.
    Impossible,
    /// The back end's weights are not of a version that is allowed.
    WrongVersion(Version),
}

impl RunEnd {
    /// Name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::NotRun => "not_run",
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

/// Which versions may make an item's events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionRule {
    /// The oldest one.
    pub minimum: Version,
    /// Whether all events must come from one version.
    pub is_single: bool,
    /// The version of the events already there.
    pub made_by: Option<Version>,
}

impl VersionRule {
    /// Whether a version may make the next event; `before` made the last one of this run.
    fn allows(&self, version: Version, before: Option<Version>) -> bool {
        let bound = before.or(self.made_by).filter(|_| self.is_single);
        version >= self.minimum && bound.is_none_or(|bound| bound == version)
    }
}

/// A run to be made.
pub struct RunOrder {
    /// The item.
    pub key: ItemKey,
    /// The run.
    pub run: RunId,
    /// What to send.
    pub spec: Arc<Item>,
    /// Host that selects the route.
    pub host: String,
    /// The tenant that the batch belongs to.
    pub tenant: Option<TenantName>,
    /// Events already there.
    pub resumed_from: u32,
    /// Versions that may make an event.
    pub versions: VersionRule,
    /// When the item may be given up.
    pub deadline: Instant,
    /// Time after which nothing of the request may be written: the batch may have been ended.
    pub write_by: Instant,
    /// How urgent the back end is to take it.
    pub urgency: u8,
    /// Told when the run counts as stalled.
    pub stalled: Arc<Notify>,
}

/// Makes a run and tells the engine of each event and of the end.
pub async fn make_run(
    context: Arc<Context>,
    backend: ChosenBackend,
    order: RunOrder,
    news: UnboundedSender<RunMessage>,
) {
    let mut events = 0;
    let end = tokio::select! {
        end = run_to_end(&context, &backend, &order, &news, &mut events) => end,
        // Drops the exchange, which resets its connection.
        () = order.stalled.notified() => RunEnd::Stalled,
    };
    note_crashes(&context, &backend, &order, &end, events).await;
    drop(backend);
    // The engine is gone only when the process ends.
    let _ = news.send(RunMessage {
        key: order.key,
        run: order.run,
        news: RunNews::Ended(end),
    });
}

/// Notes what the end of a run says of whether its item ends back ends.
async fn note_crashes(
    context: &Arc<Context>,
    backend: &ChosenBackend,
    order: &RunOrder,
    end: &RunEnd,
    events: u32,
) {
    let request = || fingerprint::of_item(&order.host, &order.spec);
    match end {
        RunEnd::Whole | RunEnd::Failed | RunEnd::Impossible => {
            let is_success = *end == RunEnd::Whole;
            crash_guard::record_answer(context, &backend.id, is_success, request);
        }
        RunEnd::Broken | RunEnd::Stalled if events < EVENTS_OF_A_SOUND_RUN => {
            let broken = UnansweredSend {
                request: request(),
                id: order.key.item.to_string(),
                backend: backend.id.clone(),
                link: backend.link.clone(),
                slot: None,
            };
            crash_evidence::check_broken_send(context, broken).await;
        }
        RunEnd::Broken
        | RunEnd::Stalled
        | RunEnd::NotRun
        | RunEnd::TooLate
        | RunEnd::Unreachable
        | RunEnd::WrongVersion(_) => {}
    }
}

/// Makes a run; `events` counts what it brings.
async fn run_to_end(
    context: &Context,
    backend: &ChosenBackend,
    order: &RunOrder,
    news: &UnboundedSender<RunMessage>,
    events: &mut u32,
) -> RunEnd {
    let Some(request) = item_request(context, &backend.id, order) else {
        return RunEnd::Impossible;
    };
    let sending = Sending::within(HEAD_TIMEOUT)
        .written_by(order.write_by)
        .patient_for(send::HEAD_SILENCE_TIMEOUT)
        .ended_when_silent();
    let answer = match backend.link.send_as(request.clone(), sending).await {
        // Closed with a reset, which cancels what may have begun; the rest of the connections is closed
        // too, so that this goes over a new one.
        Err(LinkError::Silent) => {
            let again = backend.link.send_as(request, sending).await;
            again.map_err(|_| LinkError::Silent)
        }
        answer => answer,
    };
    let answer = match answer {
        Ok(answer) => answer,
        Err(LinkError::TooLate) => return RunEnd::TooLate,
        Err(error) if error.is_unsent() => return RunEnd::Unreachable,
        Err(_) => return RunEnd::Broken,
    };
    match check_head(context, order, &answer) {
        Ok(version) => {
            tell_answered(order, news);
            read_events(context, backend, order, answer, version, news, events).await
        }
        Err(end) => {
            // Read to the end, so that the connection is kept.
            let rest = answer.whole(MOST_REFUSAL_BYTES);
            let _ = tokio::time::timeout(HEAD_TIMEOUT, rest).await;
            end
        }
    }
}

fn tell_answered(order: &RunOrder, news: &UnboundedSender<RunMessage>) {
    // The engine is gone only when the process ends.
    let _ = news.send(RunMessage {
        key: order.key.clone(),
        run: order.run,
        news: RunNews::Answered,
    });
}

/// Longest body of a refusal that is read.
const MOST_REFUSAL_BYTES: usize = 64 * 1024;

fn item_request(
    context: &Context,
    backend: &BackendId,
    order: &RunOrder,
) -> Option<Request<Full<Bytes>>> {
    let names = context.dialect.headers();
    let left = order.deadline.saturating_duration_since(Instant::now());
    let mut request = Request::new(Full::new(order.spec.body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = order.spec.path.parse::<Uri>().ok()?;
    let headers = request.headers_mut();
    for header in &order.spec.headers {
        let name = HeaderName::try_from(header.name.as_str()).ok()?;
        headers.insert(name, HeaderValue::from_str(&header.value).ok()?);
    }
    send::remove_connection_headers(headers);
    access::set_tenant_header(names, headers, order.tenant.as_ref());
    headers.insert(HOST, HeaderValue::from_str(&order.host).ok()?);
    let id = HeaderValue::from_str(order.key.item.as_str()).ok()?;
    headers.insert(names.request_id.clone(), id);
    let deadline_ms = left.as_millis().max(1) as u64;
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(deadline_ms));
    let expected = HeaderValue::from_str(backend.name()).ok()?;
    headers.insert(names.expected_backend.clone(), expected);
    headers.insert(
        names.urgency.clone(),
        HeaderValue::from(u64::from(order.urgency)),
    );
    if order.resumed_from > 0 {
        headers.insert(
            names.last_event_id.clone(),
            HeaderValue::from(order.resumed_from),
        );
    }
    Some(request)
}

/// The version that the stream begins with, if it is told, or how the run ends. A stream that has
/// nothing to add to what is there names no version.
fn check_head(
    context: &Context,
    order: &RunOrder,
    answer: &Answer,
) -> Result<Option<Version>, RunEnd> {
    let names = context.dialect.headers();
    if context
        .dialect
        .is_not_run(answer.status(), answer.headers())
    {
        return Err(RunEnd::NotRun);
    }
    let id = answer.headers().get(&names.request_id);
    if id.is_none_or(|id| id.as_bytes() != order.key.item.as_str().as_bytes()) {
        return Err(RunEnd::Broken);
    }
    match answer.status() {
        StatusCode::UNPROCESSABLE_ENTITY => return Err(RunEnd::Impossible),
        status if status.is_success() => {}
        StatusCode::INTERNAL_SERVER_ERROR => return Err(RunEnd::Failed),
        _ => return Err(RunEnd::Broken),
    }
    match read_version(answer.headers(), &names.weight_version) {
        Some(version) if !order.versions.allows(version, None) => {
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
    order: &RunOrder,
    mut answer: Answer,
    mut version: Option<Version>,
    news: &UnboundedSender<RunMessage>,
    events: &mut u32,
) -> RunEnd {
    let mut reader = EventReader::new(context.dialect.headers().weight_version.as_str());
    let mut count = u64::from(order.resumed_from);
    let mut last_event = Instant::now();
    let mut gaps = StreamGaps::default();
    let is_framed = answer.is_framed();
    loop {
        let bytes = match tokio::time::timeout(EVENT_TIMEOUT, answer.next_bytes()).await {
            Ok(Ok(Some(bytes))) => bytes,
            Ok(Ok(None)) if is_framed => return RunEnd::Whole,
            // An end that is not marked may be a break: a resumed run will tell.
            Ok(Ok(None)) => return RunEnd::Broken,
            Ok(Err(LinkError::Broken | _)) | Err(_) => return RunEnd::Broken,
        };
        reader.push(&bytes);
        while let Some(event) = reader.next_event() {
            count += 1;
            *events += 1;
            if event.id.is_some_and(|id| id != count) {
                return RunEnd::Broken;
            }
            let before = version;
            version = event.version.or(version);
            let made_by = version.unwrap_or(0);
            if !order.versions.allows(made_by, before) {
                // Without a word of the version it is not known to be allowed.
                return version.map_or(RunEnd::Broken, RunEnd::WrongVersion);
            }
            let gap_ms = last_event.elapsed().as_secs_f64() * 1_000.0;
            last_event = Instant::now();
            if let Some(gap) = gaps.record_event(gap_ms) {
                let now = context.now();
                let mut backends = context.backends.lock();
                backends.saw_event_gap(&backend.id, gap, now);
            }
            let event = OutputEvent {
                version: made_by,
                data: event.data,
            };
            let message = RunMessage {
                key: order.key.clone(),
                run: order.run,
                news: RunNews::Event(event),
            };
            if news.send(message).is_err() {
                return RunEnd::Broken;
            }
        }
    }
}
