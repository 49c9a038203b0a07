//! The engine's HTTP paths.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::sse::{Event, KeepAlive, Sse};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures::{Stream, stream};
use havenstage_emulator::{OrderRefusal, SubmitRefusal};
use havenstage_platform_http::engine::{
    CANCEL_PATH, COMPLETIONS_PATH, CancelRequest, CompletionChunk, CompletionRequest, FencedAnswer,
    LOAD_PATH, NOT_RUN_HEADER, ORDER_PATH, STREAM_END,
};
use havenstage_types::engine::{EngineOrder, GenerateRequest, LoadReport, TokenChunk};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::EngineStandin;

/// Body of an answer that refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalAnswer {
    /// Why nothing was run.
    pub refusal: SubmitRefusal,
}

pub(super) fn routes() -> Router<Arc<EngineStandin>> {
    Router::new()
        .route(COMPLETIONS_PATH, post(complete))
        .route(CANCEL_PATH, post(cancel))
        .route(ORDER_PATH, post(order))
        .route(LOAD_PATH, get(load))
}

async fn complete(
    State(standin): State<Arc<EngineStandin>>,
    Json(request): Json<CompletionRequest>,
) -> Response {
    let request = GenerateRequest::from(request);
    match standin.generate(request) {
        Ok(receiver) => Sse::new(event_stream(receiver))
            .keep_alive(KeepAlive::default())
            .into_response(),
        Err(refusal) => not_run(refusal),
    }
}

fn not_run(refusal: SubmitRefusal) -> Response {
    (
        StatusCode::SERVICE_UNAVAILABLE,
        [(NOT_RUN_HEADER, "true")],
        Json(RefusalAnswer { refusal }),
    )
        .into_response()
}

enum StreamState {
    Open(mpsc::UnboundedReceiver<TokenChunk>),
    Finished,
    Ended,
}

/// Chunks as events and the end mark after the last one. A stream that ends early breaks the
/// connection.
fn event_stream(
    receiver: mpsc::UnboundedReceiver<TokenChunk>,
) -> impl Stream<Item = Result<Event, io::Error>> {
    stream::unfold(StreamState::Open(receiver), |state| async move {
        match state {
            StreamState::Open(receiver) => Some(next_event(receiver).await),
            StreamState::Finished => {
                Some((Ok(Event::default().data(STREAM_END)), StreamState::Ended))
            }
            StreamState::Ended => None,
        }
    })
}

async fn next_event(
    mut receiver: mpsc::UnboundedReceiver<TokenChunk>,
) -> (Result<Event, io::Error>, StreamState) {
    let Some(chunk) = receiver.recv().await else {
        return (
            Err(io::ErrorKind::ConnectionReset.into()),
            StreamState::Ended,
        );
    };
    let finished = chunk.finish.is_some();
    let event = Event::default()
        .json_data(CompletionChunk::from(chunk))
        .map_err(io::Error::other);
    let state = if finished {
        StreamState::Finished
    } else {
        StreamState::Open(receiver)
    };
    (event, state)
}

async fn cancel(
    State(standin): State<Arc<EngineStandin>>,
    Json(request): Json<CancelRequest>,
) -> Result<(), Infallible> {
    standin.cancel(request.attempt);
    Ok(())
}

async fn order(
    State(standin): State<Arc<EngineStandin>>,
    Json(order): Json<EngineOrder>,
) -> Response {
    match standin.take_order(order) {
        Ok(()) => StatusCode::OK.into_response(),
        Err(OrderRefusal::Fenced { highest }) => {
            (StatusCode::CONFLICT, Json(FencedAnswer { highest })).into_response()
        }
    }
}

async fn load(State(standin): State<Arc<EngineStandin>>) -> Json<LoadReport> {
    Json(standin.load_report())
}
