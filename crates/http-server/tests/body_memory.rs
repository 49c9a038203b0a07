//! Which bodies give way when the memory is taken.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use havenstage_http_server::{
    BodyError, BodyLimits, BodyMemory, ConnectionSlot, Connections, SMALL_BODY_BYTES,
};
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;

/// Memory of which large bodies may hold 700 KiB.
const MEMORY: usize = 800 * 1024;
const PIECE: usize = 100 * 1024;
const LIMITS: BodyLimits = BodyLimits {
    max_bytes: 700 * 1024,
    timeout: Duration::from_secs(60),
};
/// Longer than a client may pause.
const PAUSE: Duration = Duration::from_millis(400);

/// A client that sends a body piece by piece.
struct Client {
    pieces: UnboundedSender<Bytes>,
    received: JoinHandle<Result<Bytes, BodyError>>,
}

impl Client {
    async fn start(memory: &Arc<BodyMemory>, slot: &Arc<ConnectionSlot>) -> Self {
        let (pieces, mut rest) = unbounded_channel::<Bytes>();
        let (memory, slot) = (memory.clone(), slot.clone());
        let received = tokio::spawn(async move {
            let frames = futures_stream(move |context| rest.poll_recv(context));
            memory.receive(StreamBody::new(frames), LIMITS, &slot).await
        });
        Self { pieces, received }
    }

    async fn send(&self, bytes: usize) {
        // The body may have been refused.
        let _ = self.pieces.send(Bytes::from(vec![b'x'; bytes]));
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
    }

    async fn end(self) -> Result<usize, BodyError> {
        drop(self.pieces);
        let received = self.received.await.expect("no panic");
        received.map(|body| body.len())
    }
}

/// A stream of the frames that a function polls.
fn futures_stream(
    mut poll: impl FnMut(&mut std::task::Context<'_>) -> std::task::Poll<Option<Bytes>> + Unpin,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, Infallible>> + Unpin {
    futures::stream::poll_fn(move |context| {
        poll(context).map(|piece| piece.map(|piece| Ok(Frame::data(piece))))
    })
}

async fn memory() -> (Arc<BodyMemory>, Arc<ConnectionSlot>) {
    let slot = Connections::new("test", 8).admit().await.expect("room");
    (BodyMemory::new(MEMORY), Arc::new(slot))
}

#[tokio::test]
async fn the_oldest_body_that_makes_progress_is_completed() {
    let (memory, slot) = memory().await;
    let mut clients = Vec::new();
    for _ in 0..4 {
        clients.push(Client::start(&memory, &slot).await);
    }
    for _ in 0..6 {
        for client in &clients {
            client.send(PIECE).await;
        }
    }
    let mut ends = Vec::new();
    for client in clients {
        ends.push(client.end().await);
    }
    assert_eq!(ends[0], Ok(6 * PIECE));
    assert!(ends[1..].iter().all(Result::is_err), "{ends:?}");
    assert_eq!(memory.held_bytes(), 0);
}

#[tokio::test]
async fn a_body_whose_client_pauses_gives_way() {
    let (memory, slot) = memory().await;
    let paused = Client::start(&memory, &slot).await;
    paused.send(6 * PIECE).await;
    tokio::time::sleep(PAUSE).await;
    let other = Client::start(&memory, &slot).await;
    other.send(3 * PIECE).await;
    assert_eq!(other.end().await, Ok(3 * PIECE));
    assert_eq!(paused.end().await, Err(BodyError::Displaced));
}

#[tokio::test]
async fn a_body_that_is_sent_slowly_gives_way() {
    let (memory, slot) = memory().await;
    let slow = Client::start(&memory, &slot).await;
    slow.send(PIECE).await;
    for _ in 0..25 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        slow.send(1).await;
    }
    let other = Client::start(&memory, &slot).await;
    other.send(LIMITS.max_bytes - PIECE / 2).await;
    assert_eq!(other.end().await, Ok(LIMITS.max_bytes - PIECE / 2));
    assert_eq!(slow.end().await, Err(BodyError::Displaced));
}

#[tokio::test]
async fn a_body_that_has_not_paused_does_not_give_way_to_a_younger_one() {
    let (memory, slot) = memory().await;
    let older = Client::start(&memory, &slot).await;
    older.send(6 * PIECE).await;
    let younger = Client::start(&memory, &slot).await;
    younger.send(3 * PIECE).await;
    assert_eq!(younger.end().await, Err(BodyError::NoRoom));
    assert_eq!(older.end().await, Ok(6 * PIECE));
}

#[tokio::test]
async fn a_small_body_finds_room_beside_whole_large_ones() {
    let (memory, slot) = memory().await;
    let large = Client::start(&memory, &slot).await;
    large.send(7 * PIECE).await;
    drop(large.pieces);
    let held = large.received.await.unwrap().expect("it is received");
    let other = Client::start(&memory, &slot).await;
    other.send(PIECE).await;
    assert_eq!(other.end().await, Err(BodyError::NoRoom));
    let small = Client::start(&memory, &slot).await;
    small.send(SMALL_BODY_BYTES).await;
    assert_eq!(small.end().await, Ok(SMALL_BODY_BYTES));
    // It counts until the last reference is gone.
    let part = held.slice(0..10);
    drop(held);
    assert_eq!(memory.held_bytes(), 7 * PIECE);
    drop(part);
    assert_eq!(memory.held_bytes(), 0);
}

#[tokio::test]
async fn a_large_body_does_not_displace_a_small_one() {
    let (memory, slot) = memory().await;
    let small = Client::start(&memory, &slot).await;
    small.send(SMALL_BODY_BYTES).await;
    tokio::time::sleep(PAUSE).await;
    let large = Client::start(&memory, &slot).await;
    large.send(7 * PIECE).await;
    assert_eq!(large.end().await, Err(BodyError::NoRoom));
    assert_eq!(small.end().await, Ok(SMALL_BODY_BYTES));
}

#[tokio::test]
async fn what_is_decoded_from_a_body_counts() {
    let (memory, slot) = memory().await;
    let share = memory.reserve(5 * PIECE).expect("there is room");
    assert!(memory.reserve(3 * PIECE).is_err());
    let body = Client::start(&memory, &slot).await;
    body.send(3 * PIECE).await;
    assert_eq!(body.end().await, Err(BodyError::NoRoom));
    drop(share);
    assert_eq!(memory.held_bytes(), 0);
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let (memory, slot) = memory().await;
    let body = Client::start(&memory, &slot).await;
    body.send(LIMITS.max_bytes + 1).await;
    let max_bytes = LIMITS.max_bytes;
    assert_eq!(body.end().await, Err(BodyError::TooLong { max_bytes }));
}
