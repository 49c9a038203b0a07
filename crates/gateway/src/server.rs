//! The HTTP servers of a node: callers, readiness, metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use havenstage_clock::Instant;
use havenstage_http_link::{WholeAnswer, end_when_unacknowledged};
use havenstage_rollout::access::Caller;
use havenstage_rollout::route::{CallerLimits, RequestKind, Route};
use havenstage_rollout::schedule::urgency;
use http::header::HeaderValue;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use socket2::SockRef;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

use crate::access;
use crate::batch_server::{handle_batch_call, handle_submission};
use crate::caller_stream;
use crate::calls::{self, Call, CallOutcome};
use crate::context::Context;
use crate::relay::Relay;
use crate::request_head::{header_ms, request_host};
use crate::responses::{Body, DEFAULT_RETRY_AFTER, empty_response, full_body, refuse};
use crate::send;

/// Age of the last answer of the log up to which a node calls itself ready.
const READY_CONTACT_MS: u64 = 2_500;
/// Longest time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Deadline of a call that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Longest time a connection for readiness or metrics may rest: they are asked every few seconds.
const READER_IDLE: Duration = Duration::from_secs(10);
/// Bytes that the system holds for a caller who takes an answer slowly: 20 MB/s at the 3 ms that callers are away, more
/// than the links of the smallest machines carry (60 Mbit/s).
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Smallest buffer that the HTTP library accepts for a head.
const LEAST_HEAD_BYTES: usize = 8 * 1024;

/// Requests that callers wait for now.
#[derive(Debug, Default)]
pub struct InFlight(AtomicUsize);

impl InFlight {
    /// How many.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

struct InFlightGuard(Arc<InFlight>);

impl InFlightGuard {
    fn new(in_flight: &Arc<InFlight>) -> Self {
        in_flight.0.fetch_add(1, Ordering::Relaxed);
        Self(in_flight.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An address cannot be listened on.
#[derive(Debug, Error)]
#[error("{purpose} address {address} cannot be listened on: {source}")]
pub struct ListenError {
    /// What it is for.
    pub purpose: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// Why.
    pub source: std::io::Error,
}

/// Listens on an address.
pub async fn listen(
    purpose: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, ListenError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| ListenError {
        purpose,
        address,
        source,
    })
}

/// Serves callers; `closing` turns true when kept connections are to be closed.
pub async fn serve_callers(
    context: Arc<Context>,
    listener: TcpListener,
    in_flight: Arc<InFlight>,
    closing: watch::Receiver<bool>,
) {
    loop {
        let Some(stream) = accept(&listener).await else {
            context.accept_health.record_failure(context.now());
            continue;
        };
        context.accept_health.record_accept();
        let context = context.clone();
        let in_flight = in_flight.clone();
        let closing = closing.clone();
        tokio::spawn(async move { serve_caller(context, stream, in_flight, closing).await });
    }
}

pub(crate) async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => {
            // A connection works without this, only less promptly.
            let _ = stream.set_nodelay(true);
            Some(stream)
        }
        Err(error) => {
            warn!(event = "accept_failed", reason = error.to_string().as_str(); "");
            tokio::time::sleep(Duration::from_millis(20)).await;
            None
        }
    }
}

async fn serve_caller(
    context: Arc<Context>,
    stream: TcpStream,
    in_flight: Arc<InFlight>,
    mut closing: watch::Receiver<bool>,
) {
    let limits = context
        .routes()
        .map_or_else(CallerLimits::default, |table| table.limits());
    let idle = Duration::from_millis(limits.idle_timeout_ms.max(limits.head_timeout_ms));
    // Else an answer that nobody takes would be held until the system gives up, if it does.
    end_when_unacknowledged(&stream, idle);
    // A connection works without this, only more of an answer that is taken slowly is held for it.
    let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
    let close = Arc::new(Notify::new());
    let service = service_fn(|request: Request<Incoming>| {
        let guard = InFlightGuard::new(&in_flight);
        let (context, close) = (context.clone(), close.clone());
        async move {
            let response = handle(&context, request).await;
            let response = context.answers.hold(response, &close);
            Ok::<_, Infallible>(hold_until_sent(response, guard))
        }
    });
    let (stream, watch) = caller_stream::split_with_close_watch(stream);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.head_bytes.max(LEAST_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let served = async move {
        tokio::pin!(connection);
        tokio::select! {
            // A caller that breaks off needs no word.
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closing| *closing) => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    };
    tokio::select! {
        // First, so that nothing is begun for a caller that left before its request was read.
        biased;
        () = watch.closed() => {}
        () = close.notified() => {}
        () = served => {}
    }
}

/// Counts the request as in flight until its answer's body is sent.
fn hold_until_sent(response: Response<Body>, guard: InFlightGuard) -> Response<Body> {
    response.map(|body| {
        body.map_frame(move |frame| {
            let _held = &guard;
            frame
        })
        .boxed_unsync()
    })
}

async fn handle(context: &Arc<Context>, request: Request<Incoming>) -> Response<Body> {
    let began = Instant::now();
    let (head, body) = request.into_parts();
    if let Some(call) = context.dialect.batch_call(&head.method, &head.uri) {
        return handle_batch_call(context, &head, call, began).await;
    }
    let Some(table) = context.wait_for_routes().await else {
        info!(event = "no_configuration", request = request_id(context, &head).as_str(),
            contact_age_ms = context.contact_age(), status = 503u16; "");
        return refuse(StatusCode::SERVICE_UNAVAILABLE, DEFAULT_RETRY_AFTER);
    };
    let host = request_host(&head).unwrap_or_default();
    let Some(route) = table.find(&host, head.uri.path()).cloned() else {
        return no_route(context, &head, &host, table.version());
    };
    let caller = match access::admit(context, &table, &route, &head) {
        Ok(caller) => caller,
        Err(_) => return access::unauthorized(),
    };
    let Some(id) = head
        .headers
        .get(&context.dialect.headers().request_id)
        .cloned()
    else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let body = match read_body(body, table.limits().body_bytes).await {
        Ok(body) => body,
        Err(status) => return empty_response(status),
    };
    if route.kind == RequestKind::Batch {
        return handle_submission(context, &caller, &head, body, began).await;
    }
    handle_call(context, &route, &caller, head, id, body, began).await
}

/// The answer to a request for which no route is known. One may have been added since the configuration was last
/// read, so a node that could not read it for a while does not say that there is none.
fn no_route(context: &Context, head: &Parts, host: &str, routes_version: u64) -> Response<Body> {
    let age_ms = context.operators_age_ms();
    let status = match age_ms > context.longest_operators_age_ms() {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::NOT_FOUND,
    };
    info!(event = "no_route", request = request_id(context, head).as_str(), host = host,
        path = head.uri.path(), routes_version = routes_version, age_ms = age_ms,
        status = status.as_u16(); "");
    match status {
        StatusCode::NOT_FOUND => empty_response(status),
        _ => refuse(status, DEFAULT_RETRY_AFTER),
    }
}

fn request_id(context: &Context, head: &Parts) -> String {
    let id = head.headers.get(&context.dialect.headers().request_id);
    id.and_then(|id| id.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

pub(crate) async fn read_body(body: Incoming, most_bytes: usize) -> Result<Bytes, StatusCode> {
    let read = Limited::new(body, most_bytes).collect();
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

async fn handle_call(
    context: &Arc<Context>,
    route: &Route,
    caller: &Caller,
    head: Parts,
    id: HeaderValue,
    body: Bytes,
    began: Instant,
) -> Response<Body> {
    context.wait_for_control_read().await;
    let names = context.dialect.headers();
    let wait = header_ms(&head.headers, &names.deadline_ms).unwrap_or(DEFAULT_DEADLINE);
    let mut headers = head.headers;
    send::remove_connection_headers(&mut headers);
    headers.remove(&names.expected_backend);
    access::set_tenant_header(names, &mut headers, caller.tenant());
    if matches!(route.kind, RequestKind::Stream { .. }) {
        // It shares engines with items, which tell theirs.
        let rank = caller.priority().unwrap_or(route.priority);
        headers.insert(
            names.urgency.clone(),
            u64::from(urgency(rank, false)).into(),
        );
    }
    let call = Call {
        id: id.clone(),
        method: head.method,
        uri: head.uri,
        headers,
        body,
        deadline: began + wait,
        tenant: caller.tenant().cloned(),
        batch: None,
        fingerprint: OnceLock::new(),
    };
    match calls::execute(context, route, call).await.outcome {
        CallOutcome::Answered(answer) => pass_on(answer),
        CallOutcome::Streaming(streaming) => {
            pass_on_stream(Relay::new(context.clone(), route, *streaming))
        }
        CallOutcome::Refused { retry_after } => {
            refuse(StatusCode::SERVICE_UNAVAILABLE, retry_after)
        }
        CallOutcome::Failed { status } => empty_response(status),
        CallOutcome::Barred => empty_response(calls::BARRED_STATUS),
    }
}

fn pass_on(answer: WholeAnswer) -> Response<Body> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.status;
    let mut headers = answer.headers;
    send::remove_connection_headers(&mut headers);
    *response.headers_mut() = headers;
    response
}

fn pass_on_stream(relay: Relay) -> Response<Body> {
    let (status, headers) = (relay.status(), relay.headers().clone());
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

// Readiness and metrics.

/// Whether the node takes requests.
pub fn is_ready(context: &Context) -> bool {
    context.routes().is_some()
        && !context.is_stopping()
        && context.contact_age() < READY_CONTACT_MS
        && context.accept_health.is_accepting(context.now())
}

/// A server for readers that may vanish without closing their connections.
fn reader_server() -> http1::Builder {
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(READER_IDLE);
    server
}

/// Serves readiness.
pub async fn serve_readiness(context: Arc<Context>, listener: TcpListener) {
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let is_asked = context
                    .dialect
                    .is_readiness_call(request.method(), request.uri().path());
                let status = match (is_asked, is_ready(&context)) {
                    (false, _) => StatusCode::NOT_FOUND,
                    (true, true) => StatusCode::OK,
                    (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                };
                async move { Ok::<_, Infallible>(empty_response(status)) }
            });
            let _ = reader_server()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Serves metrics as text.
pub async fn serve_metrics(
    handle: metrics_exporter_prometheus::PrometheusHandle,
    listener: TcpListener,
) {
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let text = Bytes::from(handle.render());
                async move { Ok::<_, Infallible>(Response::new(full_body(text))) }
            });
            let _ = reader_server()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
