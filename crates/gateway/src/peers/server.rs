//! The server for questions of other nodes, with limits on connections, questions and bytes.
//!
//! The head of an answer is sent as soon as the question has been read, so that the asking node knows that its question
//! has arrived. The body follows when the answer is known.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{FutureExt, StreamExt, stream};
use havenstage_http_link::end_when_unacknowledged;
use havenstage_http_server::{BodyLimits, ConnectionSlot, RequestInProgress};
use havenstage_rollout::peer_message::{PeerAnswer, PeerRefusal, PeerRequest};
use havenstage_rollout::stored::Stored;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;

use super::answers;
use crate::caller_stream;
use crate::context::Context;
use crate::metrics;
use crate::responses::{Body, empty_response, full_body};
use crate::server::accept;

/// Request path of questions.
pub(super) const QUESTION_PATH: &str = "/batch-question";

/// Time for which a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(25);
/// Time after which a connection is closed whose peer accepts or acknowledges no bytes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Limits on a question, which holds only names and a position.
const QUESTION_LIMITS: BodyLimits = BodyLimits {
    max_bytes: 16 * 1024,
    timeout: Duration::from_secs(10),
};
/// Size of the read and write buffers of a connection.
const BUFFER_BYTES: usize = 32 * 1024;
/// Bytes of an answer that are passed to a connection at a time.
const PIECE_BYTES: usize = 16 * 1024;
/// Bytes for each permit for answers.
const BYTES_PER_KB: usize = 1_024;

/// Accepts connections of other nodes and answers their questions, until the process ends.
pub async fn serve(context: Arc<Context>, listener: TcpListener) {
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let Some(slot) = context.intake.peers.admit().await else {
            metrics::peer_answered("no_connection", 0);
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move { serve_connection(context, stream, Arc::new(slot)).await });
    }
}

async fn serve_connection(context: Arc<Context>, stream: TcpStream, slot: Arc<ConnectionSlot>) {
    end_when_unacknowledged(&stream, UNACKNOWLEDGED_TIMEOUT);
    let service = service_fn(|request: Request<Incoming>| {
        let (context, slot) = (context.clone(), slot.clone());
        async move { Ok::<_, Infallible>(handle(context, &slot, request).await) }
    });
    let (stream, watch) = caller_stream::split_with_close_watch(stream);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Work for a node that has disconnected is dropped.
        biased;
        () = watch.closed() => {}
        () = slot.close().notified() => {}
        // A broken connection needs no log line.
        _ = connection => {}
    }
}

async fn handle(
    context: Arc<Context>,
    slot: &Arc<ConnectionSlot>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    if head.method != Method::POST || head.uri.path() != QUESTION_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let questions = &context.peers.questions;
    let body = match questions.receive(body, QUESTION_LIMITS, slot).await {
        Ok(body) => body,
        Err(error) => {
            warn!(event = "body_refused", listener = "peers", reason = error.name(),
                status = error.status().as_u16(); "");
            return empty_response(error.status());
        }
    };
    // Acquired only now, so that questions that stop short of their end do not keep others from being answered.
    let Ok(permit) = context.peers.incoming.clone().try_acquire_owned() else {
        return declined(PeerRefusal::Overloaded);
    };
    let in_progress = slot.begin_request();
    let request = match PeerRequest::decode(&body) {
        Ok(request) => request,
        Err(error) => {
            warn!(event = "peer_question_unreadable", reason = error.to_string().as_str(); "");
            return declined(PeerRefusal::Unreadable);
        }
    };
    let permits = QuestionPermits {
        _question: permit,
        _in_progress: in_progress,
    };
    let pieces = prepare(context, request, permits).into_stream().flatten();
    Response::new(StreamBody::new(pieces.map(|piece| Ok(Frame::data(piece)))).boxed_unsync())
}

fn declined(refusal: PeerRefusal) -> Response<Body> {
    metrics::peer_answered(refusal.name(), 0);
    let answer = PeerAnswer::Declined(refusal);
    Response::new(full_body(Bytes::from(answer.encode())))
}

/// What a question holds until its answer is sent.
struct QuestionPermits {
    _question: OwnedSemaphorePermit,
    _in_progress: RequestInProgress,
}

/// The unsent rest of an answer, with the permits that it holds until it is sent.
struct UnsentAnswer {
    rest: Bytes,
    _question_permits: QuestionPermits,
    _bytes_permit: Option<OwnedSemaphorePermit>,
}

/// Answers a question, and returns the encoded answer in pieces.
async fn prepare(
    context: Arc<Context>,
    request: PeerRequest,
    question: QuestionPermits,
) -> impl futures::Stream<Item = Bytes> {
    let answer = answers::answer(&context, &request).await;
    let (answer, body) = reserve_bytes(&context, answer);
    let outcome = outcome_of(&answer);
    let encoded = Bytes::from(answer.encode());
    metrics::peer_answered(outcome, encoded.len());
    info!(event = "peer_answered", batch = request.batch.as_str(), zone = request.zone.as_str(),
        outcome = outcome, bytes = encoded.len(); "");
    let unsent = UnsentAnswer {
        rest: encoded,
        _question_permits: question,
        _bytes_permit: body,
    };
    stream::unfold(unsent, |mut unsent| async move {
        if unsent.rest.is_empty() {
            return None;
        }
        let length = unsent.rest.len().min(PIECE_BYTES);
        Some((unsent.rest.split_to(length), unsent))
    })
}

/// Reserves the bytes of an answer, or declines the question if too many bytes are in flight.
fn reserve_bytes(
    context: &Context,
    answer: PeerAnswer,
) -> (PeerAnswer, Option<OwnedSemaphorePermit>) {
    let bytes = match &answer {
        PeerAnswer::Answered { body, .. } => body.len(),
        PeerAnswer::MayBeDone | PeerAnswer::Declined(_) => 0,
    };
    let kilobytes = u32::try_from(bytes / BYTES_PER_KB).unwrap_or(u32::MAX);
    let permits = context.peers.answer_kb_permits.clone();
    match permits.try_acquire_many_owned(kilobytes) {
        Ok(permit) => (answer, Some(permit)),
        Err(_) => (PeerAnswer::Declined(PeerRefusal::Overloaded), None),
    }
}

fn outcome_of(answer: &PeerAnswer) -> &'static str {
    match answer {
        PeerAnswer::Answered { .. } => "answered",
        PeerAnswer::MayBeDone => "may_be_done",
        PeerAnswer::Declined(refusal) => refusal.name(),
    }
}
