//! One send of a call to one back end, and what its answer proves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_http_link::{Answer, Link, LinkError, Sending, WholeAnswer};
use havenstage_rollout::ids::BackendId;
use http::Request;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http_body_util::Full;

use crate::backends::ChosenBackend;
use crate::calls::Call;
use crate::context::Context;
use crate::crash_evidence::{self, UnansweredSend};
use crate::crash_guard;

/// Longest body of an answer that is read whole before it is passed on.
const MOST_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// A send of which nothing was written, as its time was over or its batch may have ended.
const TOO_LATE: &str = "too_late";
/// A send whose connection broke before the head of an answer.
const BROKEN: &str = "broken";
/// A send whose answer ended early.
const CUT_SHORT: &str = "cut_short";
/// Time without a head after which a kept connection may count as silent, for work that would be begun
/// anew: an engine reads the input before it answers.
pub(crate) const HEAD_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Outcome of a send without an answer.
pub(crate) const SILENT: &str = "silent";

/// What a call says of one send of it.
pub(crate) struct SendTerms {
    /// When it is given up.
    pub(crate) ends: Instant,
    /// Since when an earlier send of the call has no answer. What silenced that one may have silenced
    /// this back end's connections too: only one that was heard from since is used, or a new one.
    pub(crate) unanswered_since: Option<Instant>,
    /// Whether it is given up as soon as its connection is seen to be silent, to go on elsewhere.
    pub(crate) ends_when_silent: bool,
}

impl SendTerms {
    fn sending(&self, left: Duration) -> Sending {
        let mut sending = Sending::within(left);
        if let Some(moment) = self.unanswered_since {
            sending = sending.over_one_heard_since(moment);
        }
        if self.ends_when_silent {
            sending = sending
                .patient_for(HEAD_SILENCE_TIMEOUT)
                .ended_when_silent();
        }
        sending
    }
}

/// How one send ended.
pub(crate) enum SendOutcome {
    Answered(WholeAnswer),
    Streaming(Box<StartedStream>),
    NotRun(&'static str),
    MayHaveRun(&'static str),
}

impl SendOutcome {
    /// Its name in lines.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Answered(answer) if answer.status.is_server_error() => "failed",
            Self::Answered(_) => "answered",
            Self::Streaming(_) => "streaming",
            Self::NotRun(reason) | Self::MayHaveRun(reason) => reason,
        }
    }
}

/// A stream that a back end has begun.
pub(crate) struct StartedStream {
    pub(crate) answer: Answer,
    pub(crate) backend: ChosenBackend,
}

/// Sends a call to a back end and judges the back end by what comes.
pub(crate) async fn send(
    context: &Arc<Context>,
    chosen: ChosenBackend,
    call: &Call,
    terms: &SendTerms,
) -> SendOutcome {
    let (backend, link) = (chosen.id.clone(), chosen.link.clone());
    let began = Instant::now();
    let left = terms.ends.saturating_duration_since(began);
    let request = backend_request(context, &chosen, call, left);
    let answer = match call.write_by(context, terms.ends) {
        Some(write_by) => {
            let sending = terms.sending(left).written_by(write_by);
            chosen.link.send_as(request, sending).await
        }
        None => Err(LinkError::TooLate),
    };
    let outcome = read_answer(context, chosen, call, answer).await;
    judge_backend(context, &backend, &outcome, began);
    match &outcome {
        SendOutcome::Answered(answer) => {
            let is_success = answer.status.is_success();
            crash_guard::record_answer(context, &backend, is_success, || call.fingerprint());
        }
        SendOutcome::MayHaveRun(BROKEN | CUT_SHORT) => {
            crash_evidence::check_broken_send(context, unanswered(call, backend, link)).await;
        }
        SendOutcome::MayHaveRun(SILENT) => {
            crash_evidence::watch_given_up_send(context, unanswered(call, backend, link));
        }
        SendOutcome::Streaming(_) | SendOutcome::NotRun(_) | SendOutcome::MayHaveRun(_) => {}
    }
    outcome
}

/// A send of a call that got no whole answer.
pub(crate) fn unanswered(call: &Call, backend: BackendId, link: Link) -> UnansweredSend {
    UnansweredSend {
        request: call.fingerprint(),
        id: call.id_text(),
        backend,
        link,
        slot: None,
    }
}

/// Notes what the end of a send says of its back end.
fn judge_backend(context: &Context, backend: &BackendId, outcome: &SendOutcome, began: Instant) {
    let now = context.now();
    let mut backends = context.backends.lock();
    match outcome {
        SendOutcome::Answered(answer) if answer.status.is_success() => {
            let took = began.elapsed().as_millis() as u64;
            backends.health.record_answer(backend, Some(took));
        }
        SendOutcome::Answered(_) | SendOutcome::Streaming(_) => {
            backends.health.record_answer(backend, None);
        }
        // No fault of the back end.
        SendOutcome::NotRun(TOO_LATE) => {}
        SendOutcome::NotRun(_) | SendOutcome::MayHaveRun(_) => {
            backends.health.record_failure(backend, now)
        }
    }
}

/// The call as it goes to a back end, with the time that is left.
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
    let is_ours = answer.headers().get(&names.request_id) == Some(&call.id);
    if context
        .dialect
        .is_not_run(answer.status(), answer.headers())
    {
        return not_run_unless_foreign(context, answer, &call.id).await;
    }
    if !is_ours {
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
    match answer.whole(MOST_ANSWER_BYTES).await {
        Ok(whole) => SendOutcome::Answered(whole),
        Err(_) => SendOutcome::MayHaveRun(CUT_SHORT),
    }
}

/// An answer "not run" counts only if it does not name another request.
async fn not_run_unless_foreign(
    context: &Context,
    answer: Answer,
    id: &HeaderValue,
) -> SendOutcome {
    let named = answer.headers().get(&context.dialect.headers().request_id);
    if named.is_some_and(|named| named != id) {
        return SendOutcome::MayHaveRun("foreign_answer");
    }
    // Read to the end, so that the connection is kept.
    let _ = answer.whole(MOST_ANSWER_BYTES).await;
    SendOutcome::NotRun("turned_away")
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Such headers without a name in the library.
const MORE_CONNECTION_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes headers that concern one connection only, and the length, which is set anew.
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
    for name in MORE_CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}
