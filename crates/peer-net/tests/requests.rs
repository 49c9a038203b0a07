//! Requests and gossip over loopback sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use havenstage_edge::peer::{PeerError, PeerHandler, PeerNetwork};
use havenstage_peer_net::{
    BindError, IDLE_CONNECTION_LIFE, MAX_FRAME_BYTES, PeerServer, PeerServerHandle, TcpUdpNetwork,
};
use havenstage_types::gossip::{GossipBody, GossipPacket};
use havenstage_types::ids::{LogOffset, NodeId};
use havenstage_types::peer::{
    PeerRequest, PeerRequestBody, PeerResponse, PeerResponseBody, RawRecord,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Barrier, mpsc};

const PATIENCE: Duration = Duration::from_secs(20);
/// Offset asked for to get an answer that does not fit into a frame.
const OVERSIZED_ANSWER: LogOffset = LogOffset(u64::MAX);
/// Offset asked for to get no answer at all.
const SILENCE: LogOffset = LogOffset(u64::MAX - 1);

/// Answers with the offset asked for, once so many parties have come as the barrier wants.
struct EchoHandler {
    barrier: Arc<Barrier>,
    gossip: mpsc::UnboundedSender<(SocketAddr, GossipPacket)>,
}

#[async_trait]
impl PeerHandler for EchoHandler {
    async fn handle_request(&self, request: PeerRequest) -> PeerResponse {
        let PeerRequestBody::ConfigRecords { from } = request.body else {
            panic!("only config records are asked for");
        };
        if from == SILENCE {
            std::future::pending::<()>().await;
        }
        self.barrier.wait().await;
        let size = if from == OVERSIZED_ANSWER {
            MAX_FRAME_BYTES
        } else {
            1
        };
        PeerResponse {
            config_offset: from,
            body: PeerResponseBody::ConfigRecords {
                snapshot: None,
                records: vec![RawRecord {
                    offset: from,
                    payload: Bytes::from(vec![7; size]),
                }],
            },
        }
    }

    async fn handle_gossip(&self, from: SocketAddr, packet: GossipPacket) {
        self.gossip.send((from, packet)).expect("the test listens");
    }
}

struct Node {
    server: PeerServerHandle,
    network: Arc<TcpUdpNetwork>,
    barrier: Arc<Barrier>,
    gossip: mpsc::UnboundedReceiver<(SocketAddr, GossipPacket)>,
}

async fn start_at(address: SocketAddr, parties: usize) -> Node {
    let server = PeerServer::bind(address).await.expect("bind");
    let network = Arc::new(server.network());
    let barrier = Arc::new(Barrier::new(parties));
    let (sender, gossip) = mpsc::unbounded_channel();
    let handler = EchoHandler {
        barrier: barrier.clone(),
        gossip: sender,
    };
    Node {
        server: server.serve(Arc::new(handler)),
        network,
        barrier,
        gossip,
    }
}

async fn start(host: u8, parties: usize) -> Node {
    start_at(any_port(host), parties).await
}

/// Each test has a loopback address of its own, so that no other test takes a port it has freed.
fn any_port(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 0))
}

fn ask(offset: LogOffset) -> PeerRequest {
    PeerRequest {
        from: NodeId(1),
        config_offset: LogOffset(0),
        body: PeerRequestBody::ConfigRecords { from: offset },
    }
}

fn ping(sequence: u64) -> GossipPacket {
    GossipPacket {
        from: NodeId(1),
        config_offset: LogOffset(3),
        log_word_age: Some(5),
        running_members: 1,
        body: GossipBody::Ping { sequence },
        updates: Vec::new(),
    }
}

impl Node {
    async fn call(&self, to: SocketAddr, offset: LogOffset) -> Result<PeerResponse, PeerError> {
        self.network.call(to, ask(offset), PATIENCE).await
    }

    async fn expect_answer(&self, to: SocketAddr, offset: LogOffset) {
        let response = self.call(to, offset).await.expect("answer");
        assert_eq!(response.config_offset, offset);
    }

    fn spawn_call(
        &self,
        to: SocketAddr,
        offset: LogOffset,
    ) -> tokio::task::JoinHandle<Result<PeerResponse, PeerError>> {
        let network = self.network.clone();
        tokio::spawn(async move { network.call(to, ask(offset), PATIENCE).await })
    }
}

#[tokio::test]
async fn requests_share_one_connection_and_get_their_own_answers() {
    const REQUESTS: u64 = 200;
    // No request is answered before all have come, so they must be under way at the same time.
    let server = start(10, REQUESTS as usize).await;
    let client = start(10, 1).await;
    let calls: Vec<_> = (0..REQUESTS)
        .map(|number| client.spawn_call(server.server.address(), LogOffset(number)))
        .collect();
    for (number, call) in calls.into_iter().enumerate() {
        let response = call.await.expect("task").expect("answer");
        assert_eq!(response.config_offset, LogOffset(number as u64));
    }
    let served = server.server.counters().snapshot();
    let asked = client.server.counters().snapshot();
    assert_eq!(served.requests.received.messages, REQUESTS);
    assert_eq!(asked.requests.sent, served.requests.received);
    assert_eq!(asked.requests.received, served.requests.sent);
    assert_eq!(asked.gossip, Default::default());
}

#[tokio::test]
async fn one_connection_serves_all_requests_to_a_peer() {
    const REQUESTS: u64 = 20;
    let client = start(11, 1).await;
    let listener = TcpListener::bind(any_port(11)).await.expect("bind");
    let address = listener.local_addr().expect("address");
    let calls: Vec<_> = (0..REQUESTS)
        .map(|number| client.spawn_call(address, LogOffset(number)))
        .collect();
    let (stream, _) = listener.accept().await.expect("accept");
    while client.server.counters().snapshot().requests.sent.messages < REQUESTS {
        tokio::task::yield_now().await;
    }
    drop(listener);
    drop(stream);
    for call in calls {
        assert_eq!(call.await.expect("task"), Err(PeerError::NoAnswer));
    }
}

#[tokio::test]
async fn a_refused_connection_is_not_sent() {
    let client = start(12, 1).await;
    let gone = TcpListener::bind(any_port(12)).await.expect("bind");
    let address = gone.local_addr().expect("address");
    drop(gone);
    let answer = client.call(address, LogOffset(1)).await;
    assert_eq!(answer, Err(PeerError::NotSent));
}

#[tokio::test]
async fn a_connection_broken_after_the_request_is_no_answer_and_is_replaced() {
    let client = start(13, 1).await;
    let breaker = TcpListener::bind(any_port(13)).await.expect("bind");
    let address = breaker.local_addr().expect("address");
    let breaking = tokio::spawn(async move {
        let (mut stream, _) = breaker.accept().await.expect("accept");
        stream.read_u8().await.expect("a byte of the request");
    });
    let answer = client.call(address, LogOffset(1)).await;
    assert_eq!(answer, Err(PeerError::NoAnswer));
    breaking.await.expect("task");

    let revived = start_at(address, 1).await;
    client.expect_answer(address, LogOffset(2)).await;
    revived.server.shutdown().await;
}

#[tokio::test]
async fn a_malformed_answer_is_told_apart() {
    let client = start(14, 1).await;
    let liar = TcpListener::bind(any_port(14)).await.expect("bind");
    let address = liar.local_addr().expect("address");
    tokio::spawn(async move {
        let (mut stream, _) = liar.accept().await.expect("accept");
        stream.read_u8().await.expect("a byte of the request");
        // A frame of three bytes: request number 1, then an option tag that does not exist.
        let frame = [0, 0, 0, 3, 1, 9, 9];
        stream.write_all(&frame).await.expect("write");
        std::future::pending::<()>().await;
    });
    let answer = client.call(address, LogOffset(1)).await;
    assert_eq!(answer, Err(PeerError::Malformed));
}

#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let client = start(15, 1).await;
    let listener = TcpListener::bind(any_port(15)).await.expect("bind");
    let address = listener.local_addr().expect("address");
    let short = Duration::from_secs(1);
    let answer = client.network.call(address, ask(SILENCE), short).await;
    assert_eq!(answer, Err(PeerError::NoAnswer));
    let (_cut, _) = listener.accept().await.expect("first connection");
    let call = client.spawn_call(address, LogOffset(4));
    let replacement = tokio::time::timeout(PATIENCE, listener.accept()).await;
    let (_replacement, _) = replacement.expect("in time").expect("second connection");
    call.abort();
}

#[tokio::test]
async fn oversized_frames_are_refused_on_both_sides() {
    let server = start(16, 1).await;
    let client = start(16, 1).await;
    let address = server.server.address();
    let oversized = PeerRequest {
        from: NodeId(1),
        config_offset: LogOffset(0),
        body: PeerRequestBody::Explain {
            subject: "x".repeat(MAX_FRAME_BYTES),
        },
    };
    let answer = client.network.call(address, oversized, PATIENCE).await;
    assert_eq!(answer, Err(PeerError::NotSent));
    let answer = client.call(address, OVERSIZED_ANSWER).await;
    assert_eq!(answer, Err(PeerError::NoAnswer));

    let mut raw = TcpStream::connect(address).await.expect("connect");
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("fits");
    raw.write_u32(length).await.expect("write");
    assert_eq!(raw.read(&mut [0; 1]).await.expect("closed"), 0);
    client.expect_answer(address, LogOffset(5)).await;
}

#[tokio::test]
async fn garbage_does_not_stop_the_server() {
    let mut server = start(17, 1).await;
    let client = start(17, 1).await;
    let address = server.server.address();
    let mut raw = TcpStream::connect(address).await.expect("connect");
    raw.write_all(&[0, 0, 0, 2, 255, 255]).await.expect("write");
    assert_eq!(raw.read(&mut [0; 1]).await.expect("closed"), 0);
    let socket = UdpSocket::bind(any_port(17)).await.expect("bind");
    socket.send_to(&[255; 40], address).await.expect("send");

    client.network.gossip(address, ping(11)).await;
    let (from, packet) = server.gossip.recv().await.expect("datagram");
    assert_eq!((from, packet), (client.server.address(), ping(11)));
    client.expect_answer(address, LogOffset(6)).await;
    let counted = server.server.counters().snapshot();
    assert_eq!(counted.gossip.received.messages, 2);
}

#[tokio::test]
async fn shutdown_waits_for_the_answers_to_requests_taken() {
    // The request, and then the test, must come before the request is answered.
    let server = start(18, 2).await;
    let client = start(18, 1).await;
    let address = server.server.address();
    let counters = server.server.counters();
    let call = client.spawn_call(address, LogOffset(1));
    while counters.snapshot().requests.received.messages < 1 {
        tokio::task::yield_now().await;
    }
    let stopping = tokio::spawn(server.server.shutdown());
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(!stopping.is_finished());
    server.barrier.wait().await;
    call.await.expect("task").expect("answer");
    stopping.await.expect("task");
    let other = start(18, 1).await;
    let after = other.call(address, LogOffset(9)).await;
    assert_eq!(after, Err(PeerError::NotSent));
}

#[tokio::test]
async fn tcp_and_udp_get_the_same_free_port() {
    let mut nodes = Vec::new();
    for _ in 0..32 {
        nodes.push(start(19, 1).await);
    }
    let taken = PeerServer::bind(nodes[0].server.address()).await;
    assert!(matches!(taken, Err(BindError::Tcp { .. })));
    let datagrams_only = UdpSocket::bind(any_port(19)).await.expect("bind");
    let address = datagrams_only.local_addr().expect("address");
    let taken = PeerServer::bind(address).await;
    assert!(matches!(taken, Err(BindError::Udp { .. })));
}

/// Lets so much time pass on the clock that timers see.
async fn pass(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}

#[tokio::test]
async fn an_idle_connection_is_closed_and_opened_again_when_needed() {
    let server = start(23, 1).await;
    let other = start(23, 1).await;
    let client = start(23, 1).await;
    let address = server.server.address();
    client.expect_answer(address, LogOffset(1)).await;
    assert_eq!(client.network.connection_count(), 1);

    pass(IDLE_CONNECTION_LIFE / 2).await;
    client.expect_answer(address, LogOffset(2)).await;
    pass(IDLE_CONNECTION_LIFE / 2).await;
    client.network.gossip(other.server.address(), ping(1)).await;
    assert_eq!(client.network.connection_count(), 1);

    pass(IDLE_CONNECTION_LIFE).await;
    client.network.gossip(other.server.address(), ping(2)).await;
    assert_eq!(client.network.connection_count(), 0);
    client.expect_answer(address, LogOffset(3)).await;
    assert_eq!(client.network.connection_count(), 1);
}

#[tokio::test]
async fn a_connection_is_not_idle_while_a_request_waits_on_it() {
    let server = start(24, 2).await;
    let other = start(24, 1).await;
    let client = start(24, 1).await;
    let waiting = {
        let network = client.network.clone();
        let address = server.server.address();
        let patience = 100 * IDLE_CONNECTION_LIFE;
        tokio::spawn(async move { network.call(address, ask(LogOffset(1)), patience).await })
    };
    while server
        .server
        .counters()
        .snapshot()
        .requests
        .received
        .messages
        == 0
    {
        tokio::task::yield_now().await;
    }
    pass(2 * IDLE_CONNECTION_LIFE).await;
    client.network.gossip(other.server.address(), ping(1)).await;
    assert_eq!(client.network.connection_count(), 1);
    server.barrier.wait().await;
    let answer = waiting.await.expect("task").expect("answer");
    assert_eq!(answer.config_offset, LogOffset(1));
}
