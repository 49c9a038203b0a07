//! Serves an `axum` router over HTTP/1.1 within bounds. Each body is received whole before the router sees its request.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::DefaultBodyLimit;
use axum::response::{IntoResponse, Response};
use axum::serve::Listener;
use http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use http::request::Parts;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::warn;
use tokio::io::AsyncWriteExt;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::ServiceExt;

use crate::body_memory::BodyMemory;
use crate::connections::{ConnectionSlot, Connections};
use crate::drain::discard_rest;
use crate::receive::{BodyError, BodyLimits};

/// Seconds after which a client whose request found no room may come back.
const RETRY_AFTER_S: &str = "1";

/// Answers a request whose body was not received.
pub type Refuse = fn(&Parts, BodyError) -> Response;

/// Answers with a status and the reason as text.
pub fn refuse_plainly(_: &Parts, error: BodyError) -> Response {
    (error.status(), error.to_string()).into_response()
}

/// Limits of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterLimits {
    /// Limits on each body.
    pub body: BodyLimits,
    /// Maximum size of the head of a request in bytes.
    pub head_bytes: usize,
    /// Time within which the head of the next request must have been received.
    pub idle_timeout: Duration,
}

/// A router with its limits.
#[derive(Clone)]
pub struct RouterServer {
    router: Router,
    limits: RouterLimits,
    bodies: Arc<BodyMemory>,
    connections: Arc<Connections>,
    refuse: Refuse,
}

impl RouterServer {
    /// Creates the server of a router. `refuse` answers requests whose bodies are not received.
    pub fn new(
        router: Router,
        limits: RouterLimits,
        bodies: Arc<BodyMemory>,
        connections: Arc<Connections>,
        refuse: Refuse,
    ) -> Self {
        Self {
            // The bodies that the router gets are within the limits already.
            router: router.layer(DefaultBodyLimit::disable()),
            limits,
            bodies,
            connections,
            refuse,
        }
    }

    /// Serves until `shutdown` completes, and then until every answer under way has been sent.
    pub async fn serve<L: Listener>(self, mut listener: L, shutdown: impl Future<Output = ()>) {
        let (stopping, tasks) = (CancellationToken::new(), TaskTracker::new());
        // Connections end too if this future is dropped.
        let _stopping_guard = stopping.clone().drop_guard();
        tokio::pin!(shutdown);
        loop {
            let stream = tokio::select! {
                () = shutdown.as_mut() => break,
                (stream, _) = listener.accept() => stream,
            };
            if let Some(slot) = self.connections.admit().await {
                let stopping = stopping.clone();
                tasks.spawn(self.clone().serve_connection(stream, slot, stopping));
            }
        }
        drop(listener);
        stopping.cancel();
        tasks.close();
        tasks.wait().await;
    }

    async fn serve_connection<I>(self, stream: I, slot: ConnectionSlot, stopping: CancellationToken)
    where
        I: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + Send + 'static,
    {
        let slot = Arc::new(slot);
        let is_refused = Arc::new(AtomicBool::new(false));
        let (server, of_requests, refused) = (&self, &slot, &is_refused);
        let service = service_fn(move |request: Request<Incoming>| {
            let (server, slot, refused) = (server.clone(), of_requests.clone(), refused.clone());
            Box::pin(
                async move { Ok::<_, Infallible>(server.answer(request, &slot, &refused).await) },
            ) as Pin<Box<dyn Future<Output = Result<Response, Infallible>> + Send>>
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.idle_timeout)
            .max_buf_size(self.limits.head_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let mut is_stopping = false;
        loop {
            tokio::select! {
                biased;
                () = slot.close().notified() => return,
                // A broken connection needs no log line.
                _ = poll_fn(|context| connection.poll_without_shutdown(context)) => break,
                () = stopping.cancelled(), if !is_stopping => {
                    is_stopping = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
            }
        }
        let mut stream = connection.into_parts().io.into_inner();
        // The client may have disconnected.
        let _ = stream.shutdown().await;
        if is_refused.load(Ordering::Relaxed) {
            tokio::select! {
                biased;
                () = slot.close().notified() => {}
                () = discard_rest(&mut stream, self.limits.body.max_bytes) => {}
            }
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        slot: &Arc<ConnectionSlot>,
        is_refused: &AtomicBool,
    ) -> Response {
        let (head, body) = request.into_parts();
        let body = match self.bodies.receive(body, self.limits.body, slot).await {
            Ok(body) => body,
            Err(error) => {
                is_refused.store(true, Ordering::Relaxed);
                return self.refusal(&head, error);
            }
        };
        let in_progress = slot.begin_request();
        let request = Request::from_parts(head, Body::from(body));
        let response = match self.router.clone().oneshot(request).await {
            Ok(response) => response,
            Err(never) => match never {},
        };
        response.map(|body| {
            Body::new(body.map_frame(move |frame| {
                // The request is in progress until its answer has been sent.
                let _in_progress = &in_progress;
                frame
            }))
        })
    }

    fn refusal(&self, head: &Parts, error: BodyError) -> Response {
        warn!(event = "body_refused", path = head.uri.path(), reason = error.name(),
            held_bytes = self.bodies.held_bytes(), status = error.status().as_u16(); "{error}");
        let mut response = (self.refuse)(head, error);
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        if error.status() == StatusCode::SERVICE_UNAVAILABLE {
            headers.insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
        }
        response
    }
}
