//! Callers that request large answers and don't read them: their answers together hold a bounded share of the node's
//! memory, and the node keeps answering other callers.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::caller::{submit, text};
use support::deployment::{Deployment, TestNode, settings, wait_until};
use support::dialect::{HOST, write_batch};
use support::log::NodeLog;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

const MEMORY_MB: u32 = 160;
const READERS: usize = 500;
const ITEMS: usize = 60;
/// Bytes added to each event, so that all results together exceed a megabyte.
const EVENT_PADDING_BYTES: usize = 6_000;
/// The smallest buffer that the system gives a connection, so that answers wait in the node.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

async fn node_with_results(deployment: &Deployment) -> TestNode {
    let mut settings = settings("a");
    settings.memory_mb = MEMORY_MB;
    settings.log.call_bytes = 4_000_000;
    let node = TestNode::start_with_settings(NodeLog::new(&deployment.log), settings).await;
    node.wait_until_known(deployment.engines.len()).await;
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.event_padding = EVENT_PADDING_BYTES);
    }
    let items: Vec<String> = (0..ITEMS).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, &str)> = items.iter().map(|item| (item.as_str(), "g")).collect();
    let body = write_batch(1, &items, false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    wait_until("all results are listed", || {
        let partition = node.context().partition_of(&"batch".into());
        let inner = partition.lock();
        let batch = inner.state.batch(&"batch".into());
        batch.is_some_and(|batch| batch.listed.len() == ITEMS)
    })
    .await;
    node
}

/// Requests all results and reads none of them.
async fn request_without_reading(node: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(node).await.unwrap();
    let request = format!("GET /results/batch?from=0 HTTP/1.1\r\nhost: {HOST}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

#[tokio::test]
async fn answers_of_500_readers_that_read_nothing_hold_bounded_memory() {
    let deployment = Deployment::start(2, 0).await;
    let node = node_with_results(&deployment).await;
    let answers = &node.context().answers;
    assert_eq!(answers.max_bytes(), 40_000_000);
    let mut readers = Vec::new();
    for _ in 0..READERS {
        readers.push(request_without_reading(node.callers).await);
    }
    let held = || answers.bytes();
    wait_until("answers are held", || held() > 10_000_000).await;
    for _ in 0..100 {
        assert!(held() <= answers.max_bytes(), "{}", held());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let (status, body) = read_from(node.callers, 0).await;
    assert_eq!(status, 200);
    assert!(!body.is_empty(), "others are answered");
    drop(readers);
    wait_until("nothing is held any more", || held() == 0).await;
}

async fn read_from(node: SocketAddr, from: usize) -> (u16, String) {
    let path = format!("/results/batch?from={from}");
    let answer = support::caller::send(node, http::Method::GET, &path, &[], "").await;
    let answer = answer.unwrap();
    (answer.status.as_u16(), text(&answer))
}
