//! A caller's connection while a request on it is received and answered.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use havenstage_http_server::{BodyError, BodyLimits, ConnectionSlot, RequestInProgress};
use http::Response;
use http::header::{CONNECTION, HeaderValue};
use hyper::body::{Body as _, Incoming};
use tokio::sync::Notify;

use crate::context::Context;
use crate::responses::Body;

/// Timeout of receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A caller's connection, which carries one request at a time.
pub(crate) struct CallerConnection {
    slot: Arc<ConnectionSlot>,
    /// The request that has been received whole and is not answered yet.
    request: Mutex<Option<RequestInProgress>>,
    has_unread_body: AtomicBool,
}

impl CallerConnection {
    pub(crate) fn new(slot: ConnectionSlot) -> Self {
        Self {
            slot: Arc::new(slot),
            request: Mutex::new(None),
            has_unread_body: AtomicBool::new(false),
        }
    }

    /// Notified when the connection must be closed.
    pub(crate) fn close(&self) -> &Arc<Notify> {
        self.slot.close()
    }

    /// Marks that nothing of the request is awaited any more: from here on the connection is not closed for a new one.
    pub(crate) fn begin_request(&self) {
        self.lock_request()
            .get_or_insert_with(|| self.slot.begin_request());
    }

    /// Returns the request in progress, which must be kept until its answer is sent.
    pub(crate) fn take_request(&self) -> Option<RequestInProgress> {
        self.lock_request().take()
    }

    /// Whether a request was answered although not all of its body was read.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Ordering::Relaxed)
    }

    fn lock_request(&self) -> MutexGuard<'_, Option<RequestInProgress>> {
        self.request.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The body of a request, which may be answered without it.
pub(crate) struct UnreadBody<'a> {
    body: Option<Incoming>,
    caller: &'a CallerConnection,
}

impl<'a> UnreadBody<'a> {
    pub(crate) fn new(body: Incoming, caller: &'a CallerConnection) -> Self {
        Self {
            body: Some(body).filter(|body| !body.is_end_stream()),
            caller,
        }
    }

    /// Receives the body whole; an empty one if it was received before.
    pub(crate) async fn receive(
        &mut self,
        context: &Context,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError> {
        let Some(body) = &mut self.body else {
            return Ok(Bytes::new());
        };
        let limits = BodyLimits {
            max_bytes,
            timeout: BODY_TIMEOUT,
        };
        let bodies = &context.intake.bodies;
        let received = bodies.receive(body, limits, &self.caller.slot).await?;
        self.body = None;
        Ok(received)
    }

    /// Closes the connection after the answer if the body was not read, so that the caller stops to send.
    pub(crate) fn end_connection_if_unread(self, mut response: Response<Body>) -> Response<Body> {
        if self.body.is_some() {
            self.caller.has_unread_body.store(true, Ordering::Relaxed);
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}
