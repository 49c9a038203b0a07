//! Bounds the memory held by answers that callers have not read yet.
//!
//! Hundreds of callers may ask for large answers and read them slowly. Each answer stays in memory until it is read, and
//! a node of 160 MB that held 500 pages of 1 MB would be killed with all its work. So all answers together hold at most a
//! share of the node's memory: pages of results become shorter as more is held, and if that is not enough, the
//! connections of the oldest answers are closed, since these are read the slowest.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use havenstage_clock::Instant;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use log::warn;
use tokio::sync::Notify;

use crate::metrics;
use crate::relay::StreamBroken;
use crate::responses::Body;

/// Share of a node's memory that unread answers may hold; the rest is for batches, connections and the program.
const MEMORY_SHARE: f64 = 0.25;
/// Answers up to this size are not counted: the buffers of a connection are of that order anyway.
const MAX_UNCOUNTED_BYTES: usize = 16 * 1024;
/// Bytes given to a connection at a time: the connection asks for more as its caller reads them, and a body counts as
/// held until the connection has asked for its last chunk.
const CHUNK_BYTES: usize = 16 * 1024;
/// Upper and lower limit of the size of a page of results.
const MAX_PAGE_BYTES: usize = 1_000_000;
const MIN_PAGE_BYTES: usize = 32 * 1024;
/// A page may take the free memory divided by this.
const PAGE_DIVISOR: usize = 8;

/// The answers that this node holds for callers that have not read them yet.
#[derive(Debug)]
pub struct HeldAnswers {
    max_bytes: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    bytes: usize,
    /// Number of the newest answer; numbers rise in the order in which answers began.
    last_number: u64,
    /// By number, so the oldest comes first.
    answers: BTreeMap<u64, HeldAnswer>,
}

#[derive(Debug)]
struct HeldAnswer {
    bytes: usize,
    since: Instant,
    /// Notified to close the answer's connection.
    close: Arc<Notify>,
}

impl HeldAnswers {
    /// Creates an empty set for a node with `memory_bytes` of memory.
    pub fn new(memory_bytes: u64) -> Arc<Self> {
        Arc::new(Self {
            max_bytes: (memory_bytes as f64 * MEMORY_SHARE) as usize,
            inner: Mutex::default(),
        })
    }

    /// Maximum bytes that all answers together may hold.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Bytes that all answers together hold now.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Maximum size in bytes of a page of results, given the memory that is free now.
    pub fn page_bytes(&self) -> usize {
        let free = self.max_bytes.saturating_sub(self.bytes());
        (free / PAGE_DIVISOR).clamp(MIN_PAGE_BYTES, MAX_PAGE_BYTES)
    }

    /// Counts an answer until its connection has taken all of it; notifying `close` closes the connection.
    pub(crate) fn hold(
        self: &Arc<Self>,
        response: Response<Body>,
        close: &Arc<Notify>,
    ) -> Response<Body> {
        let size = response.body().size_hint().exact().unwrap_or(0) as usize;
        if size <= MAX_UNCOUNTED_BYTES {
            return response;
        }
        let guard = self.begin(size, close.clone());
        response.map(|body| {
            let chunked = ChunkedBody {
                body,
                rest: Bytes::new(),
                _guard: guard,
            };
            chunked.boxed_unsync()
        })
    }

    fn begin(self: &Arc<Self>, bytes: usize, close: Arc<Notify>) -> HeldAnswerGuard {
        let mut inner = self.lock();
        inner.last_number += 1;
        let number = inner.last_number;
        let answer = HeldAnswer {
            bytes,
            since: Instant::now(),
            close,
        };
        inner.answers.insert(number, answer);
        inner.bytes += bytes;
        while inner.bytes > self.max_bytes && inner.answers.len() > 1 {
            inner.close_oldest();
        }
        drop(inner);
        HeldAnswerGuard {
            held: self.clone(),
            number,
        }
    }

    fn end(&self, number: u64) {
        let mut inner = self.lock();
        if let Some(answer) = inner.answers.remove(&number) {
            inner.bytes -= answer.bytes;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn close_oldest(&mut self) {
        let Some((_, answer)) = self.answers.pop_first() else {
            return;
        };
        self.bytes -= answer.bytes;
        answer.close.notify_one();
        metrics::slow_reader_closed();
        warn!(event = "slow_reader_closed", untaken_bytes = answer.bytes,
            held_ms = answer.since.elapsed().as_millis() as u64, others = self.answers.len(); "");
    }
}

/// Counts an answer as held until this is dropped.
struct HeldAnswerGuard {
    held: Arc<HeldAnswers>,
    number: u64,
}

impl Drop for HeldAnswerGuard {
    fn drop(&mut self) {
        self.held.end(self.number);
    }
}

/// A body that is given to its connection in small chunks.
struct ChunkedBody {
    body: Body,
    rest: Bytes,
    _guard: HeldAnswerGuard,
}

impl ChunkedBody {
    fn next_chunk(&mut self) -> Frame<Bytes> {
        let length = self.rest.len().min(CHUNK_BYTES);
        Frame::data(self.rest.split_to(length))
    }
}

impl HttpBody for ChunkedBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        if !self.rest.is_empty() {
            return Poll::Ready(Some(Ok(self.next_chunk())));
        }
        let frame = match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => frame,
            other => return other,
        };
        match frame.into_data() {
            Ok(data) if !data.is_empty() => {
                self.rest = data;
                Poll::Ready(Some(Ok(self.next_chunk())))
            }
            Ok(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Err(trailers) => Poll::Ready(Some(Ok(trailers))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let inner = self.body.size_hint();
        let rest = self.rest.len() as u64;
        match inner.exact() {
            Some(size) => SizeHint::with_exact(size + rest),
            None => SizeHint::default(),
        }
    }
}
