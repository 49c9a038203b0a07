//! Sends a call to one back end and classifies the result: answered, not run, or may have run.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_http_link::{Answer, LinkError, SendOptions, WholeAnswer};
use havenstage_rollout::ids::BackendId;
use http::Request;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http_body_util::Full;

use crate::backends::ChosenBackend;
use crate::calls::Call;
use crate::context::Context;
use crate::crash_evidence::{self, SendTarget, UnansweredSend};
use crate::crash_guard;
use crate::edge;

/// Maximum size of the body of an answer that says that the call was not run.
const MAX_REJECTION_BYTES: usize = 64 * 1024;

/// Reason of a send of which nothing was written, because its deadline had passed or its batch may have ended.
const TOO_LATE: &str = "too_late";
/// Reason of a send that another back end turned away: it listens at the address now.
const REPLACED: &str = "replaced";
/// Reason of a send whose connection broke before the head of an answer.
const BROKEN: &str = "broken";
/// Reason of a send whose answer's body ended early.
const CUT_SHORT: &str = "cut_short";
/// Reason of a send whose answer's body ended, without a length or chunks, as the back end's process did.
const UNMARKED_END: &str = "unmarked_end";
/// Time without the head of an answer after which a reused connection may count as silent, for work that another
/// back end would have to start from the beginning: an engine processes the whole input before it answers.
pub(crate) const HEAD_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Reason of a send that got no answer in time.
pub(crate) const SILENT: &str = "silent";

/// Time limits of one send of a call.
pub(crate) struct SendTerms {
    /// Time at which the send is given up.
    pub(crate) deadline: Instant,
    /// Time since which an earlier send of the call has no answer. The fault that silenced it may also have
    /// silenced connections to this back end, so only a connection that has received data since, or a new one, is
    /// used.
    pub(crate) unanswered_since: Option<Instant>,
    /// Whether the send is given up as soon as its connection counts as silent, so that another back end can take
    /// over.
    pub(crate) gives_up_on_silence: bool,
}

impl SendTerms {
    fn sending(&self, left: Duration) -> SendOptions {
        let mut sending = SendOptions::within(left);
        if let Some(moment) = self.unanswered_since {
            sending = sending.over_connection_active_since(moment);
        }
        if self.gives_up_on_silence {
            sending = sending
                .min_silence_timeout(HEAD_SILENCE_TIMEOUT)
                .abort_when_silent();
        }
        sending
    }
}

/// Outcome of one send. The text in `NotRun` and `MayHaveRun` is the reason that is logged.
pub(crate) enum SendOutcome {
    Answered(WholeAnswer),
    Streaming(Box<StartedStream>),
    NotRun(&'static str),
    MayHaveRun(&'static str),
}

impl SendOutcome {
    /// Name of the outcome in log lines.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Answered(answer) if answer.status.is_server_error() => "failed",
            Self::Answered(_) => "answered",
            Self::Streaming(_) => "streaming",
            Self::NotRun(reason) | Self::MayHaveRun(reason) => reason,
        }
    }
}

/// A stream whose head a back end has sent.
pub(crate) struct StartedStream {
    pub(crate) answer: Answer,
    pub(crate) backend: ChosenBackend,
}

/// Sends a call to a back end and records the outcome for the back end's health and for crash detection.
pub(crate) async fn send(
    context: &Arc<Context>,
    chosen: ChosenBackend,
    call: &Call,
    terms: &SendTerms,
) -> SendOutcome {
    let target = SendTarget::of(&chosen);
    let backend = chosen.id.clone();
    let started_at = Instant::now();
    let left = terms.deadline.saturating_duration_since(started_at);
    let request = backend_request(context, &chosen, call, left);
    let answer = match call.write_by(context, terms.deadline) {
        Some(write_by) => {
            let sending = terms.sending(left).write_deadline(write_by);
            chosen.link.send_as(request, sending).await
        }
        None => Err(LinkError::TooLate),
    };
    let outcome = read_answer(context, chosen, call, answer).await;
    record_health(context, &backend, &outcome, started_at);
    match &outcome {
        SendOutcome::Answered(answer) => {
            let is_success = answer.status.is_success();
            crash_guard::record_answer(context, &backend, is_success, || call.fingerprint());
        }
        SendOutcome::MayHaveRun(_) if !call.can_be_barred() => {}
        SendOutcome::MayHaveRun(BROKEN | CUT_SHORT | UNMARKED_END) => {
            crash_evidence::check_broken_send(context, unanswered_send(call, target)).await;
        }
        SendOutcome::MayHaveRun(SILENT) => {
            crash_evidence::watch_given_up_send(context, unanswered_send(call, target));
        }
        SendOutcome::Streaming(_) | SendOutcome::NotRun(_) | SendOutcome::MayHaveRun(_) => {}
    }
    outcome
}

/// Describes a send that got no complete answer, for crash detection.
pub(crate) fn unanswered_send(call: &Call, target: SendTarget) -> UnansweredSend {
    UnansweredSend {
        request: call.fingerprint(),
        id: call.id_text(),
        target,
        slot: None,
    }
}

/// Records the outcome of a send in the health of its back end.
fn record_health(
    context: &Context,
    backend: &BackendId,
    outcome: &SendOutcome,
    started_at: Instant,
) {
    let now = context.now();
    let mut backends = context.backends.lock();
    match outcome {
        SendOutcome::Answered(answer) if answer.status.is_success() => {
            let took = started_at.elapsed().as_millis() as u64;
            backends.health.record_answer(backend, Some(took));
        }
        SendOutcome::Answered(_) | SendOutcome::Streaming(_) => {
            backends.health.record_answer(backend, None);
        }
        // Nothing was sent, so this is no failure of the back end.
        SendOutcome::NotRun(TOO_LATE) => {}
        SendOutcome::NotRun(_) | SendOutcome::MayHaveRun(_) => {
            backends.health.record_failure(backend, now)
        }
    }
}

/// Builds the request for a back end. The deadline header carries `left`, the remaining time in milliseconds (at
/// least 1).
pub fn backend_request(
    context: &Context,
    chosen: &ChosenBackend,
    call: &Call,
    left: Duration,
) -> Request<Full<Bytes>> {
    let names = context.dialect.headers();
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let mut headers = call.headers.clone();
    headers.insert(names.request_id.clone(), call.id.clone());
    headers.insert(
        names.deadline_ms.clone(),
        HeaderValue::from(left.as_millis().max(1) as u64),
    );
    if let Ok(id) = HeaderValue::from_str(chosen.id.name()) {
        headers.insert(names.expected_backend.clone(), id);
    }
    *request.headers_mut() = headers;
    request
}

async fn read_answer(
    context: &Context,
    chosen: ChosenBackend,
    call: &Call,
    answer: Result<Answer, LinkError>,
) -> SendOutcome {
    let answer = match answer {
        Ok(answer) => answer,
        Err(LinkError::TooLate) => return SendOutcome::NotRun(TOO_LATE),
        Err(error) if error.is_unsent() => return SendOutcome::NotRun("unreachable"),
        Err(LinkError::TimedOut | LinkError::Silent) => return SendOutcome::MayHaveRun(SILENT),
        Err(_) => return SendOutcome::MayHaveRun(BROKEN),
    };
    let names = context.dialect.headers();
    let has_request_id = answer.headers().get(&names.request_id) == Some(&call.id);
    if context
        .dialect
        .is_not_run(answer.status(), answer.headers())
    {
        let is_misdirected = edge::is_misdirected(answer.status());
        let outcome = not_run_unless_foreign(context, answer, &call.id).await;
        if is_misdirected && matches!(outcome, SendOutcome::NotRun(_)) {
            let now = context.now();
            context.backends.record_replaced(&chosen.id, now);
            return SendOutcome::NotRun(REPLACED);
        }
        return outcome;
    }
    if !has_request_id {
        return SendOutcome::MayHaveRun("foreign_answer");
    }
    if answer.status().is_success() && !answer.headers().contains_key(&names.signature) {
        return SendOutcome::MayHaveRun("unsigned");
    }
    if answer.status().is_success() && is_event_stream(answer.headers()) {
        return SendOutcome::Streaming(Box::new(StartedStream {
            answer,
            backend: chosen,
        }));
    }
    match context.received_answers.receive(answer).await {
        Ok(whole) if whole.framed || crash_evidence::is_listening(&chosen.link).await => {
            SendOutcome::Answered(whole)
        }
        // Without a length or chunks, the end of a process looks like the end of its answer.
        Ok(_) => SendOutcome::MayHaveRun(UNMARKED_END),
        Err(_) => SendOutcome::MayHaveRun(CUT_SHORT),
    }
}

/// Outcome of an answer "not run", which counts only if it does not carry the id of another request.
async fn not_run_unless_foreign(
    context: &Context,
    answer: Answer,
    id: &HeaderValue,
) -> SendOutcome {
    let named = answer.headers().get(&context.dialect.headers().request_id);
    if named.is_some_and(|named| named != id) {
        return SendOutcome::MayHaveRun("foreign_answer");
    }
    // Only a whole answer counts: what begins like one may be the bytes of a back end in trouble.
    match answer.whole(MAX_REJECTION_BYTES).await {
        Ok(_) => SendOutcome::NotRun("turned_away"),
        Err(_) => SendOutcome::MayHaveRun(CUT_SHORT),
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Hop-by-hop headers, which concern a single connection.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Hop-by-hop headers for which the `http` crate has no constant.
const UNREGISTERED_CONNECTION_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes hop-by-hop headers, those that `connection` names, `expect`, and the length, which is set again when
/// the message is sent.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    for name in UNREGISTERED_CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}
