//! The server for other nodes' questions: bounded connections, questions and bytes.
//!
//! The head of an answer is sent as soon as the question was read, so that the asking node knows that its question
//! has arrived, and the body once there is something to tell.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{FutureExt, StreamExt, stream};
use havenstage_http_link::end_when_unacknowledged;
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
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::answers;
use crate::caller_stream;
use crate::context::Context;
use crate::metrics;
use crate::responses::{Body, empty_response, full_body};
use crate::server::{accept, read_body};

/// Path of questions.
pub(super) const PATH: &str = "/batch-question";

/// Most connections at a time.
const MOST_CONNECTIONS: usize = 256;
/// Longest time that a connection may rest.
const IDLE_TIMEOUT: Duration = Duration::from_secs(25);
/// Time after which a connection is ended that takes or acknowledges nothing.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Most bytes of a question: names and a position.
const MOST_QUESTION_BYTES: usize = 16 * 1024;
/// Buffer of a connection.
const BUFFER_BYTES: usize = 32 * 1024;
/// Bytes given to a connection at a time.
const PIECE_BYTES: usize = 16 * 1024;
/// Unit in which the bytes of answers are counted.
const BYTES_PER_KB: usize = 1_024;

/// Answers other nodes.
pub async fn serve(context: Arc<Context>, listener: TcpListener) {
    let connections = Arc::new(Semaphore::new(MOST_CONNECTIONS));
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let Ok(place) = connections.clone().try_acquire_owned() else {
            metrics::peer_answered("no_connection", 0);
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move {
            let _place = place;
            serve_connection(context, stream).await;
        });
    }
}

async fn serve_connection(context: Arc<Context>, stream: TcpStream) {
    end_when_unacknowledged(&stream, UNACKNOWLEDGED_TIMEOUT);
    let service = service_fn(|request: Request<Incoming>| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(handle(context, request).await) }
    });
    let (stream, watch) = caller_stream::split_with_close_watch(stream);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Nothing is done for a node that has left.
        biased;
        () = watch.closed() => {}
        // A node that breaks off needs no word.
        _ = connection => {}
    }
}

async fn handle(context: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    if head.method != Method::POST || head.uri.path() != PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let Ok(place) = context.peers.questions.clone().try_acquire_owned() else {
        return declined(PeerRefusal::Overloaded);
    };
    let body = match read_body(body, MOST_QUESTION_BYTES).await {
        Ok(body) => body,
        Err(status) => return empty_response(status),
    };
    let request = match PeerRequest::decode(&body) {
        Ok(request) => request,
        Err(error) => {
            warn!(event = "peer_question_unreadable", reason = error.to_string().as_str(); "");
            return declined(PeerRefusal::Unreadable);
        }
    };
    let pieces = prepare(context, request, place).into_stream().flatten();
    Response::new(StreamBody::new(pieces.map(|piece| Ok(Frame::data(piece)))).boxed_unsync())
}

fn declined(refusal: PeerRefusal) -> Response<Body> {
    metrics::peer_answered(refusal.name(), 0);
    let answer = PeerAnswer::Declined(refusal);
    Response::new(full_body(Bytes::from(answer.encode())))
}

/// What an answer holds until it is taken.
struct Sent {
    rest: Bytes,
    _question: OwnedSemaphorePermit,
    _body: Option<OwnedSemaphorePermit>,
}

/// The pieces of the answer to a question.
async fn prepare(
    context: Arc<Context>,
    request: PeerRequest,
    question: OwnedSemaphorePermit,
) -> impl futures::Stream<Item = Bytes> {
    let answer = answers::answer(&context, &request).await;
    let (answer, body) = with_place(&context, answer);
    let outcome = outcome_of(&answer);
    let encoded = Bytes::from(answer.encode());
    metrics::peer_answered(outcome, encoded.len());
    info!(event = "peer_answered", batch = request.batch.as_str(), zone = request.zone.as_str(),
        outcome = outcome, bytes = encoded.len(); "");
    let sent = Sent {
        rest: encoded,
        _question: question,
        _body: body,
    };
    stream::unfold(sent, |mut sent| async move {
        if sent.rest.is_empty() {
            return None;
        }
        let length = sent.rest.len().min(PIECE_BYTES);
        Some((sent.rest.split_to(length), sent))
    })
}

/// Takes place for the bytes of an answer; it is declined if there is none.
fn with_place(context: &Context, answer: PeerAnswer) -> (PeerAnswer, Option<OwnedSemaphorePermit>) {
    let bytes = match &answer {
        PeerAnswer::Answered { body, .. } => body.len(),
        PeerAnswer::MayBeDone | PeerAnswer::Declined(_) => 0,
    };
    let kilobytes = u32::try_from(bytes / BYTES_PER_KB).unwrap_or(u32::MAX);
    let places = context.peers.answer_kb.clone();
    match places.try_acquire_many_owned(kilobytes) {
        Ok(place) => (answer, Some(place)),
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
