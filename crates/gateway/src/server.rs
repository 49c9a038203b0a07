//! The HTTP servers of a node: for callers, readiness probes and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use havenstage_clock::Instant;
use havenstage_http_link::{WholeAnswer, end_when_unacknowledged};
use havenstage_http_server::{BodyError, ConnectionSlot, discard_rest};
use havenstage_rollout::access::Caller;
use havenstage_rollout::route::{CallerLimits, RequestKind, Route};
use havenstage_rollout::schedule::urgency;
use http::header::HeaderValue;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use socket2::SockRef;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::access;
use crate::batch_server::{handle_batch_call, handle_submission};
use crate::caller_connection::{CallerConnection, UnreadBody};
use crate::caller_stream;
use crate::calls::{self, Call, CallOutcome};
use crate::context::Context;
use crate::relay::Relay;
use crate::request_head::{header_ms, request_host};
use crate::responses::{Body, DEFAULT_RETRY_AFTER, empty_response, full_body, refuse};
use crate::send;

/// Age of the last answer of the log or a directory up to which a node reports ready.
const MAX_READY_CONTACT_AGE_MS: u64 = 2_500;
/// Time from the signal to close idle connections, or from the accept of a later one, until a connection is closed. A
/// request whose bytes have arrived by then is read and answered first; a node that stood still finds both at once.
pub const CLOSE_DELAY: Duration = Duration::from_millis(20);
/// Retry delay for a caller whose body found no room: the bodies that hold the memory are sent on, or given up, meanwhile.
const BODY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time allowed for a call that gives no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Idle timeout of a connection for readiness or metrics, which are queried every few seconds.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of the socket send buffer of a caller's connection. At a round trip of 3 ms it allows 20 MB/s, more than the
/// links of the smallest machines carry (60 Mbit/s); a slow reader holds no more kernel memory than this.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Smallest buffer for a request head that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Number of callers' requests whose answers are not sent completely yet.
#[derive(Debug, Default)]
pub struct InFlight(AtomicUsize);

impl InFlight {
    /// Number of requests in flight.
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

/// Listening on an address failed.
#[derive(Debug, Error)]
#[error("cannot listen on {purpose} address {address}: {source}")]
pub struct ListenError {
    /// What the address is for, such as `metrics`.
    pub purpose: &'static str,
    /// The address that cannot be bound.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub source: std::io::Error,
}

/// Listens on a TCP address; `purpose` names it in errors.
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

/// Serves callers; `closing` turns true when idle keep-alive connections must be closed.
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
        let Some(slot) = context.intake.callers.admit().await else {
            continue;
        };
        let context = context.clone();
        let in_flight = in_flight.clone();
        let closing = closing.clone();
        tokio::spawn(async move { serve_caller(context, stream, slot, in_flight, closing).await });
    }
}

pub(crate) async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => {
            // Best effort: without it the connection only has more latency.
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
    slot: ConnectionSlot,
    in_flight: Arc<InFlight>,
    mut closing: watch::Receiver<bool>,
) {
    let limits = context
        .routes()
        .map_or_else(CallerLimits::default, |table| table.limits());
    let idle = Duration::from_millis(limits.idle_timeout_ms.max(limits.head_timeout_ms));
    // Otherwise an answer whose caller has vanished would be held until the kernel gives up, which may never happen.
    end_when_unacknowledged(&stream, idle);
    // Best effort: without it the kernel only buffers more of an answer for a slow reader.
    let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
    let caller = Arc::new(CallerConnection::new(slot));
    let service = service_fn(|request: Request<Incoming>| {
        let guard = InFlightGuard::new(&in_flight);
        let (context, caller) = (context.clone(), caller.clone());
        async move {
            let response = handle(&context, &caller, request).await;
            let response = context.answers.hold(response, caller.close());
            let guards = (guard, caller.take_request());
            Ok::<_, Infallible>(hold_until_sent(response, guards))
        }
    });
    let (stream, watch) = caller_stream::split_with_close_watch(stream);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let served = async {
        tokio::pin!(connection);
        let close_is_due = async {
            // The sender exists as long as the node runs.
            let _ = closing.wait_for(|closing| *closing).await;
            tokio::time::sleep(CLOSE_DELAY).await;
        };
        tokio::select! {
            // Nothing is left to do for a caller that has disconnected.
            _ = connection.as_mut() => return,
            () = close_is_due => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    };
    let served_and_drained = async {
        served.await;
        if caller.has_unread_body() {
            discard_rest(&mut watch.stream(), limits.body_bytes).await;
        }
    };
    tokio::select! {
        // The close watch is polled first, so that no work starts for a caller that left before its request was read.
        biased;
        () = watch.closed() => {}
        () = caller.close().notified() => {}
        () = served_and_drained => {}
    }
}

/// Keeps the guards of a request until the body of its answer is sent.
fn hold_until_sent<G: Send + 'static>(response: Response<Body>, guards: G) -> Response<Body> {
    response.map(|body| {
        body.map_frame(move |frame| {
            let _guards = &guards;
            frame
        })
        .boxed_unsync()
    })
}

async fn handle(
    context: &Arc<Context>,
    caller: &Arc<CallerConnection>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    if body.is_end_stream() {
        caller.begin_request();
    }
    let mut body = UnreadBody::new(body, caller);
    let response = answer(context, caller, head, &mut body).await;
    body.end_connection_if_unread(response)
}

async fn answer(
    context: &Arc<Context>,
    caller: &CallerConnection,
    head: Parts,
    body: &mut UnreadBody<'_>,
) -> Response<Body> {
    let began = Instant::now();
    if let Some(call) = context.dialect.batch_call(&head.method, &head.uri) {
        caller.begin_request();
        return handle_batch_call(context, &head, call, began).await;
    }
    let Some(table) = context.wait_for_routes().await else {
        info!(event = "no_configuration", request = request_id(context, &head).as_str(),
            contact_age_ms = context.contact_age(), status = 503u16; "");
        return refuse(StatusCode::SERVICE_UNAVAILABLE, DEFAULT_RETRY_AFTER);
    };
    let host = request_host(&head).unwrap_or_default();
    let Some(route) = table.find(&host, head.uri.path()).cloned() else {
        return answer_without_route(context, &head, &host, table.version());
    };
    let tenant = match access::admit(context, &table, &route, &head) {
        Ok(tenant) => tenant,
        Err(_) => return access::unauthorized(),
    };
    let Some(id) = head
        .headers
        .get(&context.dialect.headers().request_id)
        .cloned()
    else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let body = match body.receive(context, table.limits().body_bytes).await {
        Ok(body) => body,
        Err(error) => return refuse_body(context, &head, error),
    };
    caller.begin_request();
    if route.kind == RequestKind::Batch {
        return handle_submission(context, &tenant, &head, body, began).await;
    }
    handle_call(context, &route, &tenant, head, id, body, began).await
}

/// The answer to a request whose body was not received.
fn refuse_body(context: &Context, head: &Parts, error: BodyError) -> Response<Body> {
    let status = error.status();
    warn!(event = "body_refused", listener = "callers", request = request_id(context, head).as_str(),
        reason = error.name(), held_bytes = context.intake.bodies.held_bytes(),
        status = status.as_u16(); "");
    match status {
        StatusCode::SERVICE_UNAVAILABLE => refuse(status, BODY_RETRY_AFTER),
        _ => empty_response(status),
    }
}

/// The answer to a request that matches no known route. A route may have been added since the configuration was last
/// read, so a node that could not read the configuration for a while answers 503 instead of 404.
fn answer_without_route(
    context: &Context,
    head: &Parts,
    host: &str,
    routes_version: u64,
) -> Response<Body> {
    let age_ms = context.operators_age_ms();
    let status = match age_ms > context.max_operators_age_ms() {
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
    let timeout = header_ms(&head.headers, &names.deadline_ms).unwrap_or(DEFAULT_DEADLINE);
    let mut headers = head.headers;
    send::remove_connection_headers(&mut headers);
    headers.remove(&names.expected_backend);
    access::set_tenant_header(names, &mut headers, caller.tenant());
    if matches!(route.kind, RequestKind::Stream { .. }) {
        // The stream shares engines with batch items, which carry their urgency too.
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
        deadline: began + timeout,
        tenant: caller.tenant().cloned(),
        batch: None,
        fingerprint: OnceLock::new(),
    };
    match calls::execute(context, route, call).await.outcome {
        CallOutcome::Answered(answer) => forward_answer(answer),
        CallOutcome::Streaming(streaming) => {
            forward_stream(Relay::new(context.clone(), route, *streaming))
        }
        CallOutcome::Refused { retry_after } => {
            refuse(StatusCode::SERVICE_UNAVAILABLE, retry_after)
        }
        CallOutcome::Failed { status } => empty_response(status),
        CallOutcome::Barred => empty_response(calls::BARRED_STATUS),
    }
}

fn forward_answer(answer: WholeAnswer) -> Response<Body> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.status;
    let mut headers = answer.headers;
    send::remove_connection_headers(&mut headers);
    *response.headers_mut() = headers;
    response
}

fn forward_stream(relay: Relay) -> Response<Body> {
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

/// Whether the node reports ready: it knows its routes, is not stopping, has recent contact with the log or a
/// directory, and can accept connections.
pub fn is_ready(context: &Context) -> bool {
    context.routes().is_some()
        && !context.is_stopping()
        && context.contact_age() < MAX_READY_CONTACT_AGE_MS
        && context.accept_health.is_accepting(context.now())
}

/// A server for probes and metrics readers, which may vanish without closing their connections.
fn probe_server() -> http1::Builder {
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(PROBE_IDLE_TIMEOUT)
        .max_buf_size(MIN_HEAD_BUFFER_BYTES);
    server
}

/// Serves readiness probes: 200 if the node is ready, 503 if not.
pub async fn serve_readiness(context: Arc<Context>, listener: TcpListener) {
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let Some(slot) = context.intake.readiness.admit().await else {
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let is_readiness_path = context
                    .dialect
                    .is_readiness_call(request.method(), request.uri().path());
                let status = match (is_readiness_path, is_ready(&context)) {
                    (false, _) => StatusCode::NOT_FOUND,
                    (true, true) => StatusCode::OK,
                    (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                };
                async move { Ok::<_, Infallible>(empty_response(status)) }
            });
            let connection = probe_server().serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                biased;
                () = slot.close().notified() => {}
                _ = connection => {}
            }
        });
    }
}

/// Serves metrics in the Prometheus text format.
pub async fn serve_metrics(
    context: Arc<Context>,
    handle: metrics_exporter_prometheus::PrometheusHandle,
    listener: TcpListener,
) {
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let Some(slot) = context.intake.metrics.admit().await else {
            continue;
        };
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let text = Bytes::from(handle.render());
                async move { Ok::<_, Infallible>(Response::new(full_body(text))) }
            });
            let connection = probe_server().serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                biased;
                () = slot.close().notified() => {}
                _ = connection => {}
            }
        });
    }
}
