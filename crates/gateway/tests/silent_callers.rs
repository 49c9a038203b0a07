//! Callers whose connections become silent must not occupy a task, memory or a file descriptor without limit.
//!
//! Guards against two leaks. Without an idle limit on the servers for readiness and metrics, each client that
//! vanishes without a reset leaves an open connection until the process ends. And an answer that its caller doesn't
//! read is held in memory until the operating system gives up the connection, if it ever does.

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

/// Configured limit for the arrival of a request's head, in milliseconds.
const HEAD_TIMEOUT_MS: u64 = 300;
/// Configured limit for an idle connection, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 600;
/// Time to wait for a close: far longer than the limits, so that it also suffices on a busy machine.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which a caller reads nothing.
const READ_PAUSE: Duration = Duration::from_secs(12);
/// Body length of an answer that is larger than all buffers between node and caller.
const LARGE_BODY_BYTES: usize = 30 * 1024 * 1024;
const CALL: &[u8] = b"POST /calls/p HTTP/1.1\r\nhost: host.test\r\nx-id: call\r\nx-deadline: 3000\r\ncontent-length: 0\r\n\r\n";

async fn start() -> (Deployment, TestNode) {
    let deployment = Deployment::start(0, 1).await;
    let mut config = routing(2);
    config.limits.head_timeout_ms = HEAD_TIMEOUT_MS;
    config.limits.idle_timeout_ms = IDLE_TIMEOUT_MS;
    deployment
        .log
        .write_operators(DirectoryEntry::Routing(config));
    let node = deployment.node("a").await;
    support::deployment::wait_until("the limits are known", || {
        node.context()
            .routes()
            .is_some_and(|table| table.limits().idle_timeout_ms == IDLE_TIMEOUT_MS)
    })
    .await;
    (deployment, node)
}

/// Returns the time until the other side closes the connection while nothing more is sent.
async fn closes_after(stream: &mut TcpStream) -> Duration {
    let began = Instant::now();
    let mut rest = Vec::new();
    // A close and a reset both count.
    let closed = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the connection is still open");
    began.elapsed()
}

#[tokio::test]
async fn an_idle_connection_is_closed_after_its_limit() {
    let (_deployment, node) = start().await;
    let mut stream = TcpStream::connect(node.callers).await.unwrap();
    stream.write_all(CALL).await.unwrap();
    let took = closes_after(&mut stream).await;
    assert!(took >= Duration::from_millis(IDLE_TIMEOUT_MS), "{took:?}");
}

#[tokio::test]
async fn a_connection_without_a_complete_head_is_closed() {
    let (_deployment, node) = start().await;
    for sent in [&b""[..], &CALL[..20]] {
        let mut stream = TcpStream::connect(node.callers).await.unwrap();
        stream.write_all(sent).await.unwrap();
        closes_after(&mut stream).await;
    }
}

#[tokio::test]
async fn an_idle_connection_to_the_readiness_address_is_closed() {
    let (_deployment, node) = start().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = tokio::spawn(server::serve_readiness(node.context().clone(), listener));
    let mut stream = TcpStream::connect(address).await.unwrap();
    closes_after(&mut stream).await;
    serving.abort();
}

/// Starts a back end that answers each request with a large body; returns its address.
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
                    "HTTP/1.1 200 OK\r\nx-id: call\r\nx-signature: signed\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).await.unwrap();
                stream
                    .write_all(&vec![b'a'; LARGE_BODY_BYTES])
                    .await
                    .unwrap();
            });
        }
    });
    address
}

/// The caller stops reading, so its connection accepts no more bytes: the node drops the answer and frees its memory
/// after a while.
#[tokio::test]
async fn an_answer_that_its_caller_does_not_read_is_dropped() {
    let (deployment, node) = start().await;
    let backend = Arc::new(StandInBackend::start("application-0").await);
    let address = start_large_backend().await;
    let DirectoryEntry::Backend(mut change) = listed(&backend, APPLICATIONS, false) else {
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
    tokio::time::sleep(READ_PAUSE).await;
    let mut rest = Vec::new();
    let closed = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the connection is still open");
    println!(
        "{} bytes of {LARGE_BODY_BYTES} arrived after the pause",
        rest.len()
    );
    assert!(
        rest.len() < LARGE_BODY_BYTES / 4 * 3,
        "the whole answer was held for its caller"
    );
}
