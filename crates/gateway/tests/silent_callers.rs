//! Callers whose connections fall silent for good must not keep a task, memory or a descriptor for ever.
//!
//! What happened: only the callers' server closed connections that rest; those for readiness and metrics
//! had no limit, so each client that vanished without a reset left a connection behind until the process
//! ended. And an answer that nobody took was held until the system gave up, if it ever did.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_gateway::server;
use support::backend::StandInBackend;
use support::deployment::{APPLICATIONS, Deployment, TestNode, listed, routing};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

/// Limits of the configuration.
const HEAD_MS: u64 = 300;
const IDLE_MS: u64 = 600;
/// Far longer than the limits, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time for which a caller takes nothing.
const STALL: Duration = Duration::from_secs(12);
/// Length of an answer that no buffer between node and caller holds.
const LARGE: usize = 30 * 1024 * 1024;
const CALL: &[u8] = b"POST /calls/p HTTP/1.1\r\nhost: host.test\r\nx-id: call\r\nx-deadline: 3000\r\ncontent-length: 0\r\n\r\n";

async fn start() -> (Deployment, TestNode) {
    let deployment = Deployment::start(0, 1).await;
    let mut config = routing(2);
    config.limits.head_timeout_ms = HEAD_MS;
    config.limits.idle_timeout_ms = IDLE_MS;
    deployment
        .log
        .write_operators(DirectoryEntry::Routing(config));
    let node = deployment.node("a").await;
    support::deployment::wait_until("the limits are known", || {
        node.context()
            .routes()
            .is_some_and(|table| table.limits().idle_timeout_ms == IDLE_MS)
    })
    .await;
    (deployment, node)
}

/// Time until the other side closes, while nothing more is sent.
async fn closes_after(stream: &mut TcpStream) -> Duration {
    let began = Instant::now();
    let mut rest = Vec::new();
    // An end and a reset are the same here.
    let closed = timeout(PATIENCE, stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the connection is still open");
    began.elapsed()
}

#[tokio::test]
async fn a_resting_connection_is_closed_after_its_limit() {
    let (_deployment, node) = start().await;
    let mut stream = TcpStream::connect(node.callers).await.unwrap();
    stream.write_all(CALL).await.unwrap();
    let took = closes_after(&mut stream).await;
    assert!(took >= Duration::from_millis(IDLE_MS), "{took:?}");
}

#[tokio::test]
async fn a_connection_without_a_whole_head_is_closed() {
    let (_deployment, node) = start().await;
    for sent in [&b""[..], &CALL[..20]] {
        let mut stream = TcpStream::connect(node.callers).await.unwrap();
        stream.write_all(sent).await.unwrap();
        closes_after(&mut stream).await;
    }
}

#[tokio::test]
async fn a_connection_to_the_readiness_address_is_closed_when_nothing_comes() {
    let (_deployment, node) = start().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = tokio::spawn(server::serve_readiness(node.context().clone(), listener));
    let mut stream = TcpStream::connect(address).await.unwrap();
    closes_after(&mut stream).await;
    serving.abort();
}

/// A back end whose answers are large.
async fn start_large_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = [0; 4_096];
                let length = stream.read(&mut head).await.unwrap();
                assert!(length > 0, "a request");
                let head = format!(
                    "HTTP/1.1 200 OK\r\nx-id: call\r\nx-signature: signed\r\ncontent-length: {LARGE}\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).await.unwrap();
                stream.write_all(&vec![b'a'; LARGE]).await.unwrap();
            });
        }
    });
    address
}

/// The caller's machine takes no more bytes: the answer's memory is given back after a while.
#[tokio::test]
async fn an_answer_that_nobody_takes_is_given_up() {
    let (deployment, node) = start().await;
    let large = Arc::new(StandInBackend::start("application-0").await);
    let address = start_large_backend().await;
    let DirectoryEntry::Backend(mut change) = listed(&large, APPLICATIONS, false) else {
        unreachable!("a back end's entry")
    };
    if let Some(record) = &mut change.record {
        record.address = address;
    }
    deployment
        .log
        .write_backends(DirectoryEntry::Backend(change.clone()));
    support::deployment::wait_until("the back end has moved", || {
        let backends = node.context().backends.lock();
        backends
            .list
            .get(&change.incarnation().unwrap())
            .is_some_and(|record| record.address == address)
    })
    .await;
    let mut stream = TcpStream::connect(node.callers).await.unwrap();
    stream.write_all(CALL).await.unwrap();
    let mut some = vec![0; 1_024];
    stream.read_exact(&mut some).await.unwrap();
    tokio::time::sleep(STALL).await;
    let mut rest = Vec::new();
    let taken = timeout(PATIENCE, stream.read_to_end(&mut rest)).await;
    assert!(taken.is_ok(), "the connection is still open");
    println!("{} bytes of {LARGE} came after the pause", rest.len());
    assert!(
        rest.len() < LARGE / 4 * 3,
        "it waited for its caller, whole"
    );
}
