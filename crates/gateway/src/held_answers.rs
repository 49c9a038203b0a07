//! Answers that callers have not taken yet, and the memory that they hold.
//!
//! The load that this answers: hundreds of callers ask for large answers and read them slowly. Each answer is held
//! until it is taken, and a node of 160 MB that held 500 pages of 1 MB would be killed with all its work. So answers
//! together hold a share of the node's memory at most: pages of results become shorter as more is held, and where that
//! is not enough the connections of those are closed that were begun first, and so are taken the slowest.

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

/// Share of a node's memory that answers may hold; the rest is for batches, connections and the program.
const MEMORY_SHARE: f64 = 0.25;
/// Answers up to this size are not counted: connections have buffers of that order anyhow.
const LEAST_COUNTED_BYTES: usize = 16 * 1024;
/// Bytes given to a connection at a time: it asks for more as its caller takes them, and a body counts as held until
/// its last piece is asked for.
const PIECE_BYTES: usize = 16 * 1024;
/// Most and fewest bytes of a page of results.
const MOST_PAGE_BYTES: usize = 1_000_000;
const LEAST_PAGE_BYTES: usize = 32 * 1024;
/// Share of what is free that a page may take.
const PAGE_SHARE: usize = 8;

/// Answers that are held now.
#[derive(Debug)]
pub struct HeldAnswers {
    most_bytes: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    bytes: usize,
    begun: u64,
    /// In the order in which they were begun.
    answers: BTreeMap<u64, HeldAnswer>,
}

#[derive(Debug)]
struct HeldAnswer {
    bytes: usize,
    since: Instant,
    /// Closes its connection.
    close: Arc<Notify>,
}

impl HeldAnswers {
    /// None yet, on a node with so much memory.
    pub fn new(memory_bytes: u64) -> Arc<Self> {
        Arc::new(Self {
            most_bytes: (memory_bytes as f64 * MEMORY_SHARE) as usize,
            inner: Mutex::default(),
        })
    }

    /// Bytes that they may hold together.
    pub fn max_bytes(&self) -> usize {
        self.most_bytes
    }

    /// Bytes that they hold.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Bytes that a page of results may have now.
    pub fn page_bytes(&self) -> usize {
        let free = self.most_bytes.saturating_sub(self.bytes());
        (free / PAGE_SHARE).clamp(LEAST_PAGE_BYTES, MOST_PAGE_BYTES)
    }

    /// Has an answer counted while its connection has not taken it; `close` closes the connection.
    pub(crate) fn hold(
        self: &Arc<Self>,
        response: Response<Body>,
        close: &Arc<Notify>,
    ) -> Response<Body> {
        let size = response.body().size_hint().exact().unwrap_or(0) as usize;
        if size <= LEAST_COUNTED_BYTES {
            return response;
        }
        let place = self.begin(size, close.clone());
        response.map(|body| {
            let pieces = Pieces {
                body,
                rest: Bytes::new(),
                _place: place,
            };
            pieces.boxed_unsync()
        })
    }

    fn begin(self: &Arc<Self>, bytes: usize, close: Arc<Notify>) -> Place {
        let mut inner = self.lock();
        inner.begun += 1;
        let number = inner.begun;
        let answer = HeldAnswer {
            bytes,
            since: Instant::now(),
            close,
        };
        inner.answers.insert(number, answer);
        inner.bytes += bytes;
        while inner.bytes > self.most_bytes && inner.answers.len() > 1 {
            inner.close_slowest();
        }
        drop(inner);
        Place {
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
    fn close_slowest(&mut self) {
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

/// The place of an answer among those that are held.
struct Place {
    held: Arc<HeldAnswers>,
    number: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.held.end(self.number);
    }
}

/// A body that is given to its connection in small pieces.
struct Pieces {
    body: Body,
    rest: Bytes,
    _place: Place,
}

impl Pieces {
    fn next_piece(&mut self) -> Frame<Bytes> {
        let length = self.rest.len().min(PIECE_BYTES);
        Frame::data(self.rest.split_to(length))
    }
}

impl HttpBody for Pieces {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        if !self.rest.is_empty() {
            return Poll::Ready(Some(Ok(self.next_piece())));
        }
        let frame = match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => frame,
            other => return other,
        };
        match frame.into_data() {
            Ok(data) if !data.is_empty() => {
                self.rest = data;
                Poll::Ready(Some(Ok(self.next_piece())))
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
