//! The HTTP handlers of the batch API.

use std::sync::Arc;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_http_server::BodyShare;
use havenstage_rollout::access::Caller;
use havenstage_rollout::ids::BatchId;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::request::Parts;
use http::{Method, Response, StatusCode};
use log::{info, warn};

use crate::batch_answer::BatchAnswer;
use crate::context::Context;
use crate::edge::BatchCall;
use crate::metrics;
use crate::request_head::{header_ms, request_host};
use crate::responses::{Body, DEFAULT_RETRY_AFTER, empty_response, full_body, refuse};
use crate::{access, batch_ends, batch_reads, batch_submissions};

/// Logs on drop that a caller disconnected before its answer was ready: the future that handles the call is dropped
/// then, at whichever await point it is.
struct WaitingCaller {
    kind: &'static str,
    batch: String,
    began: Instant,
    is_answered: bool,
}

impl WaitingCaller {
    fn new(kind: &'static str, batch: &str, began: Instant) -> Self {
        Self {
            kind,
            batch: batch.to_owned(),
            began,
            is_answered: false,
        }
    }

    fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for WaitingCaller {
    fn drop(&mut self) {
        if !self.is_answered {
            info!(event = "batch_caller_left", kind = self.kind, batch = self.batch.as_str(),
                waited_ms = self.began.elapsed().as_millis() as u64; "");
        }
    }
}

/// Handles a call that submits a batch.
pub(crate) async fn handle_submission(
    context: &Arc<Context>,
    caller: &Caller,
    head: &Parts,
    body: Bytes,
    began: Instant,
) -> Response<Body> {
    if head.method != Method::POST {
        return empty_response(StatusCode::METHOD_NOT_ALLOWED);
    }
    let id = head.headers.get(&context.dialect.headers().request_id);
    let Some(id) = id.and_then(|id| id.to_str().ok()) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let host = &request_host(head).unwrap_or_default();
    let path = head.uri.path();
    let _decoded = match reserve_memory(context, id, &body) {
        Ok(share) => share,
        Err(refusal) => return batch_response(context, "submit", refusal, began),
    };
    let waiting_caller = WaitingCaller::new("submit", id, began);
    let read = context
        .dialect
        .read_submission(BatchId::from(id), host, path, &body);
    drop(body);
    let answer = match read {
        Ok(submission) => batch_submissions::submit(context, submission, caller.tenant()).await,
        Err(error) => {
            warn!(event = "batch_refused", batch = id, status = 400u16,
                reason = error.to_string().as_str(); "");
            BatchAnswer::empty(StatusCode::BAD_REQUEST)
        }
    };
    waiting_caller.answered();
    batch_response(context, "submit", answer, began)
}

/// Reserves the memory for the decoded form of a batch.
fn reserve_memory(context: &Context, id: &str, body: &[u8]) -> Result<BodyShare, BatchAnswer> {
    let bodies = &context.intake.bodies;
    let bytes = context.dialect.submission_memory(body);
    bodies.reserve(bytes).map_err(|error| {
        let status = match bytes > bodies.largest_body_bytes() {
            true => StatusCode::PAYLOAD_TOO_LARGE,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        warn!(event = "batch_refused", batch = id, status = status.as_u16(), decoded_bytes = bytes,
            reason = error.to_string().as_str(); "");
        BatchAnswer::empty(status)
    })
}

/// Handles a call on a submitted batch: a read of results, a read of an item's body, or an end.
pub(crate) async fn handle_batch_call(
    context: &Arc<Context>,
    head: &Parts,
    call: BatchCall,
    began: Instant,
) -> Response<Body> {
    let caller = match access::admit_to_batches(context, head).await {
        Ok(caller) => caller,
        Err(_) => return access::unauthorized(),
    };
    match call {
        BatchCall::Read { batch, from } => {
            let wait = header_ms(&head.headers, &context.dialect.headers().wait_ms);
            let waiting_caller = WaitingCaller::new("read", batch.as_str(), began);
            let wait = wait.unwrap_or_default();
            let answer = batch_reads::read(context, &caller, &batch, from, wait).await;
            waiting_caller.answered();
            batch_response(context, "read", answer, began)
        }
        BatchCall::ItemBody { batch, item } => {
            let waiting_caller = WaitingCaller::new("item", batch.as_str(), began);
            let answer = batch_reads::item_body(context, &caller, &batch, &item).await;
            waiting_caller.answered();
            batch_response(context, "item", answer, began)
        }
        BatchCall::End { batch } => {
            let waiting_caller = WaitingCaller::new("end", batch.as_str(), began);
            let answer = batch_ends::end(context, &caller, &batch).await;
            waiting_caller.answered();
            batch_response(context, "end", answer, began)
        }
        BatchCall::Malformed => empty_response(StatusCode::BAD_REQUEST),
    }
}

fn batch_response(
    context: &Context,
    kind: &'static str,
    answer: BatchAnswer,
    began: Instant,
) -> Response<Body> {
    let took_ms = began.elapsed().as_millis() as u64;
    metrics::batch_call_ended(kind, answer.status.as_u16(), took_ms);
    if answer.status == StatusCode::SERVICE_UNAVAILABLE {
        return refuse(answer.status, DEFAULT_RETRY_AFTER);
    }
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.status;
    if answer.is_own_format {
        let content_type = HeaderValue::from_static(context.dialect.content_type());
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}
