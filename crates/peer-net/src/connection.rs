//! One connection to a peer, shared by many requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use havenstage_edge::peer::PeerError;
use havenstage_types::codec;
use havenstage_types::peer::{PeerRequest, PeerResponse};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::codec::FramedRead;
use tokio_util::task::AbortOnDropHandle;

use crate::frame::{
    FrameId, LENGTH_BYTES, RequestFrame, ResponseFrame, encode_frame, length_codec, write_frames,
};
use crate::traffic::{Traffic, TrafficCounters};

/// Frames that may wait to be written.
const WRITE_QUEUE_FRAMES: usize = 256;

type Answer = Result<PeerResponse, PeerError>;

/// Requests that wait for their answers; `None` once the connection is broken.
type Waiting = Arc<Mutex<Option<BTreeMap<u64, oneshot::Sender<Answer>>>>>;

/// An open connection. Dropping it closes the socket.
#[derive(Debug)]
pub(crate) struct Connection {
    queue: mpsc::Sender<Bytes>,
    waiting: Waiting,
    answers_received: Arc<AtomicU64>,
    last_used: Mutex<Instant>,
    _reader: AbortOnDropHandle<()>,
    _writer: AbortOnDropHandle<()>,
}

/// Takes a request off the list when its caller stops waiting.
struct WaitingEntry {
    id: u64,
    waiting: Waiting,
}

impl Drop for WaitingEntry {
    fn drop(&mut self) {
        with_waiting(&self.waiting, |waiting| waiting.remove(&self.id));
    }
}

impl Connection {
    /// Connects; an error means that nothing was sent.
    pub(crate) async fn open(
        address: SocketAddr,
        counters: TrafficCounters,
    ) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (read_half, write_half) = stream.into_split();
        let (queue, frames) = mpsc::channel(WRITE_QUEUE_FRAMES);
        let waiting: Waiting = Arc::new(Mutex::new(Some(BTreeMap::new())));
        let writer = write_frames(write_half, frames, counters.clone());
        let answers_received = Arc::new(AtomicU64::new(0));
        let reader = read_answers(
            read_half,
            waiting.clone(),
            answers_received.clone(),
            counters,
        );
        let writer_waiting = waiting.clone();
        Ok(Self {
            queue,
            waiting,
            answers_received,
            last_used: Mutex::new(Instant::now()),
            _reader: AbortOnDropHandle::new(tokio::spawn(reader)),
            _writer: AbortOnDropHandle::new(tokio::spawn(async move {
                writer.await;
                fail_all(&writer_waiting);
            })),
        })
    }

    /// Whether the connection broke; nothing can be sent on it any more.
    pub(crate) fn is_broken(&self) -> bool {
        self.queue.is_closed() || with_waiting(&self.waiting, |_| ()).is_none()
    }

    /// Whether no request waits on it and the last one began at least `age` ago.
    pub(crate) fn is_idle_for(&self, age: Duration) -> bool {
        let is_unused = with_waiting(&self.waiting, |waiting| waiting.is_empty());
        is_unused != Some(false) && self.last_used().elapsed() >= age
    }

    fn last_used(&self) -> MutexGuard<'_, Instant> {
        self.last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// How many answers have come on this connection.
    pub(crate) fn answers_received(&self) -> u64 {
        self.answers_received.load(Ordering::Relaxed)
    }

    /// Sends a request and waits for its answer. [`PeerError::NotSent`] means that the request was
    /// never queued for this connection.
    pub(crate) async fn call(&self, id: u64, request: PeerRequest) -> Answer {
        let frame = RequestFrame { id, request };
        let bytes = encode_frame(&frame).map_err(|error| {
            log::warn!("a peer request cannot be sent: {error}");
            PeerError::NotSent
        })?;
        *self.last_used() = Instant::now();
        let (sender, answer) = oneshot::channel();
        with_waiting(&self.waiting, |waiting| waiting.insert(id, sender))
            .ok_or(PeerError::NotSent)?;
        let _entry = WaitingEntry {
            id,
            waiting: self.waiting.clone(),
        };
        self.queue
            .send(bytes)
            .await
            .map_err(|_| PeerError::NotSent)?;
        answer.await.unwrap_or(Err(PeerError::NoAnswer))
    }
}

/// Runs `action` on the waiting requests, or nothing if the connection is broken.
fn with_waiting<T>(
    waiting: &Waiting,
    action: impl FnOnce(&mut BTreeMap<u64, oneshot::Sender<Answer>>) -> T,
) -> Option<T> {
    let mut guard = waiting.lock().unwrap_or_else(PoisonError::into_inner);
    guard.as_mut().map(action)
}

/// The connection is broken: all waiting requests end without an answer.
fn fail_all(waiting: &Waiting) {
    let mut guard = waiting.lock().unwrap_or_else(PoisonError::into_inner);
    guard.take();
}

async fn read_answers(
    stream: OwnedReadHalf,
    waiting: Waiting,
    answers_received: Arc<AtomicU64>,
    counters: TrafficCounters,
) {
    let mut frames = FramedRead::new(stream, length_codec());
    while let Some(Ok(frame)) = frames.next().await {
        counters.received(Traffic::Requests, frame.len() + LENGTH_BYTES);
        answers_received.fetch_add(1, Ordering::Relaxed);
        if !deliver(&waiting, &frame) {
            break;
        }
    }
    fail_all(&waiting);
}

/// Hands an answer to its request; returns whether the peer still makes sense.
fn deliver(waiting: &Waiting, frame: &[u8]) -> bool {
    let Ok(FrameId { id }) = codec::decode(frame) else {
        return false;
    };
    let answer = match codec::decode::<ResponseFrame>(frame) {
        Ok(frame) => frame.response.ok_or(PeerError::NoAnswer),
        Err(_) => Err(PeerError::Malformed),
    };
    let sender = with_waiting(waiting, |waiting| waiting.remove(&id)).flatten();
    if let Some(sender) = sender {
        // The caller may have stopped waiting.
        let _ = sender.send(answer);
    }
    true
}
