//! Forwards an event stream to the caller as it arrives. If a resumable stream breaks, it is resumed at another back
//! end within the same answer, after the last event that was forwarded whole.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_http_link::{Answer, LinkError, SendOptions};
use havenstage_rollout::event_stream::{EventReader, EventTooLong};
use havenstage_rollout::ids::{BackendId, PoolName};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::route::{RequestKind, Route};
use http::{HeaderMap, HeaderValue, StatusCode};
use log::info;
use thiserror::Error;

use crate::backends::{CallTarget, ChosenBackend};
use crate::calls::{Call, StreamingAnswer};
use crate::context::Context;
use crate::crash_evidence::{self, SendTarget};
use crate::crash_guard::{self, Admission, SuspectSlot};
use crate::send;

/// Pause before the next check whether a suspected stream may be resumed. Other sends of the same request end soon.
const ADMISSION_PAUSE: Duration = Duration::from_millis(20);
/// Time after the route's timeout for which a stream may end: its last events may be on their way.
const END_GRACE: Duration = Duration::from_millis(100);
/// Silence after which a resumable stream is resumed at another back end.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The back end's stream broke off. The caller's connection is then broken as well, so that the answer does not
/// look complete.
#[derive(Debug, Clone, Copy, Error)]
#[error("the back end's stream broke off")]
pub struct StreamBroken;

/// A stream that is being forwarded to a caller.
pub struct Relay {
    context: Arc<Context>,
    call: Call,
    pool: PoolName,
    residency: Residency,
    status: StatusCode,
    headers: HeaderMap,
    current: Option<ActiveAnswer>,
    reader: EventReader,
    last_event: Option<u64>,
    tried: Vec<BackendId>,
    resumes_left: u32,
    is_resumable: bool,
    /// Whether the last break was a silence. Its cause may have silenced other connections too.
    had_silent_send: bool,
    deadline: Instant,
    ends_at: Instant,
}

struct ActiveAnswer {
    answer: Answer,
    backend: ChosenBackend,
    /// Held while the send of a suspected request is in flight; limits the number of such sends.
    slot: Option<SuspectSlot>,
}

impl Relay {
    /// Starts to forward the answer of the first back end. Its status and headers go to the caller; the headers of
    /// back ends that resume the stream do not.
    pub fn new(context: Arc<Context>, route: &Route, streaming: StreamingAnswer) -> Self {
        let mut headers = streaming.answer.headers().clone();
        send::remove_connection_headers(&mut headers);
        let version_field = context.dialect.headers().weight_version.as_str().to_owned();
        let is_resumable = route.kind == RequestKind::Stream { resumable: true };
        let resume_header = streaming
            .call
            .headers
            .get(&context.dialect.headers().last_event_id);
        Self {
            last_event: resume_header.and_then(|id| id.to_str().ok()?.parse().ok()),
            call: streaming.call,
            pool: streaming.pool,
            residency: streaming.residency,
            status: streaming.answer.status(),
            headers,
            reader: EventReader::new(&version_field),
            tried: vec![streaming.backend.id.clone()],
            resumes_left: route.attempts.saturating_sub(streaming.sends),
            is_resumable,
            had_silent_send: false,
            deadline: streaming.deadline,
            ends_at: streaming.ends_at,
            current: Some(ActiveAnswer {
                answer: streaming.answer,
                backend: streaming.backend,
                slot: streaming.slot,
            }),
            context,
        }
    }

    /// HTTP status for the caller, from the first back end's answer.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Headers for the caller, from the first back end's answer, without hop-by-hop headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns the next bytes for the caller, or `None` at the end of the stream. The error means that the stream
    /// broke and could not be resumed.
    pub async fn next(&mut self) -> Option<Result<Bytes, StreamBroken>> {
        loop {
            let next_event = self.reader.next_event();
            if let Ok(Some(event)) = next_event {
                self.last_event = event.id.or(self.last_event);
                return Some(Ok(event.raw));
            }
            let current = self.current.as_mut()?;
            let received = match next_event {
                Ok(_) => read(&mut current.answer, self.is_resumable, self.ends_at).await,
                Err(EventTooLong) => Err(LinkError::TooLong),
            };
            match received {
                Ok(Some(bytes)) if self.is_resumable => self.reader.push(&bytes),
                Ok(Some(bytes)) => return Some(Ok(bytes)),
                Ok(None) if current.answer.is_framed() && self.reader.remaining().is_empty() => {
                    let backend = &current.backend.id;
                    crash_guard::record_answer(&self.context, backend, true, || {
                        self.call.fingerprint()
                    });
                    self.current = None;
                    return None;
                }
                broken @ (Ok(None) | Err(_)) => {
                    let error = broken.err();
                    self.had_silent_send = error.is_some_and(is_silence);
                    if error == Some(LinkError::Broken) {
                        let target = SendTarget::of(&current.backend);
                        self.record_broken_send(target).await;
                    }
                    if !self.resume().await {
                        self.current = None;
                        return Some(Err(StreamBroken));
                    }
                }
            }
        }
    }

    /// Resumes the stream at another back end; false if that is not possible.
    async fn resume(&mut self) -> bool {
        let from = self
            .current
            .take()
            .map(|current| current.backend.id.clone());
        let mut unreported_since = None;
        while self.is_resumable && self.resumes_left > 0 && Instant::now() < self.deadline {
            let request = self.call.fingerprint();
            let mut slot = match crash_guard::admit(&self.context, &request) {
                Admission::Send(slot) => slot,
                Admission::Wait => {
                    tokio::time::sleep(ADMISSION_PAUSE).await;
                    continue;
                }
                Admission::EndsUnreported => {
                    let since = *unreported_since.get_or_insert_with(Instant::now);
                    if since.elapsed() < crash_guard::UNREPORTED_END_TIMEOUT {
                        tokio::time::sleep(ADMISSION_PAUSE).await;
                        continue;
                    }
                    let id = self.call.id_text();
                    crash_guard::log_given_up_with_unreported_ends(&self.context, &request, &id);
                    break;
                }
                Admission::TrialOnly => {
                    let id = self.call.id_text();
                    crash_guard::log_awaits_trial(&self.context, &request, &id);
                    break;
                }
                Admission::Barred => {
                    crash_guard::record_barred_retry(&self.context, &request, &self.call.id_text());
                    break;
                }
            };
            self.resumes_left -= 1;
            let (now, draw) = (self.context.now(), self.context.draw());
            let backends = &self.context.backends;
            let ended = match slot {
                Some(_) => crash_guard::recently_ended_backends(&self.context),
                None => BTreeSet::new(),
            };
            let target = CallTarget {
                pool: &self.pool,
                residency: &self.residency,
                sender: self.context.call_sender(),
            };
            let chosen = backends.choose_for_call(&target, &self.tried, &ended, now, draw);
            let Some(backend) = chosen else {
                break;
            };
            if let Some(slot) = &mut slot {
                slot.set_may_have_run(true);
            }
            self.tried.push(backend.id.clone());
            if let Some(answer) = self.request_resume(&backend).await {
                self.report("resumed", from.as_ref(), Some(&backend.id));
                let version_field = self.context.dialect.headers().weight_version.as_str();
                self.reader = EventReader::new(version_field);
                self.current = Some(ActiveAnswer {
                    answer,
                    backend,
                    slot,
                });
                return true;
            }
        }
        self.report("broken_off", from.as_ref(), None);
        false
    }

    /// Asks a back end for the events after the last one that was forwarded; `None` if it does not answer with a
    /// stream of this request.
    async fn request_resume(&mut self, backend: &ChosenBackend) -> Option<Answer> {
        let names = self.context.dialect.headers();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mut request = send::backend_request(&self.context, backend, &self.call, left);
        if let Some(last_event) = self.last_event {
            let headers = request.headers_mut();
            headers.insert(names.last_event_id.clone(), HeaderValue::from(last_event));
        }
        let mut sending = SendOptions::within(SILENCE_TIMEOUT.min(left));
        if self.had_silent_send {
            let now = Instant::now();
            sending = sending
                .over_connection_active_since(now.checked_sub(SILENCE_TIMEOUT).unwrap_or(now));
        }
        let answer = match backend.link.send_as(request, sending).await {
            Ok(answer) => answer,
            Err(error) => {
                self.had_silent_send |= is_silence(error);
                if error == LinkError::Broken {
                    self.record_broken_send(SendTarget::of(backend)).await;
                }
                return None;
            }
        };
        let has_request_id = answer.headers().get(&names.request_id) == Some(&self.call.id);
        (answer.status().is_success() && has_request_id).then_some(answer)
    }

    async fn record_broken_send(&self, target: SendTarget) {
        let broken = send::unanswered_send(&self.call, target);
        crash_evidence::check_broken_send(&self.context, broken).await;
    }

    fn report(&self, outcome: &'static str, from: Option<&BackendId>, to: Option<&BackendId>) {
        let request = String::from_utf8_lossy(self.call.id.as_bytes());
        info!(event = "stream", request = request.as_ref(), outcome = outcome,
            from = from.map_or("", BackendId::as_str), to = to.map_or("", BackendId::as_str),
            last_event = self.last_event, resumes_left = self.resumes_left; "");
    }
}

impl Drop for Relay {
    /// A stream that is dropped before its end was abandoned by its caller.
    fn drop(&mut self) {
        if let Some(current) = self.current.take() {
            let target = SendTarget::of(&current.backend);
            let mut given_up = send::unanswered_send(&self.call, target);
            given_up.slot = current.slot;
            crash_evidence::watch_given_up_send(&self.context, given_up);
        }
    }
}

fn is_silence(error: LinkError) -> bool {
    matches!(error, LinkError::TimedOut | LinkError::Silent)
}

/// Reads the next bytes of a stream. A stream that cannot be resumed is not ended because of silence, but no stream goes on
/// after the route's timeout, even if its back end sends bytes all the time.
async fn read(
    answer: &mut Answer,
    is_resumable: bool,
    ends_at: Instant,
) -> Result<Option<Bytes>, LinkError> {
    let mut read_until = ends_at + END_GRACE;
    if is_resumable {
        read_until = read_until.min(Instant::now() + SILENCE_TIMEOUT);
    }
    if Instant::now() >= read_until {
        return Err(LinkError::TimedOut);
    }
    let read = havenstage_clock::timeout_at(read_until, answer.next_bytes()).await;
    read.unwrap_or(Err(LinkError::TimedOut))
}
