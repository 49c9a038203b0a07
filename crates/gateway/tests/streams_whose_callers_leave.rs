//! A back end stops producing a stream soon after its caller leaves, at whatever point of the stream.

mod support;

use std::time::Duration;

use support::deployment::{Deployment, TestNode};
use support::leaving::{
    STREAMS, expect_cancellation, expect_cancellation_when_caller_leaves, received_requests,
    request, requests_in_flight, send_bytes, wait_for_received_requests,
};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

#[tokio::test]
async fn a_stream_is_cancelled_when_its_caller_leaves_before_the_first_event() {
    for path in STREAMS {
        expect_cancellation_when_caller_leaves(path).await;
    }
}

/// Reads until the answer contains the text of an event.
async fn read_event(caller: &mut TcpStream, event: &str) {
    let mut text = String::new();
    let mut bytes = vec![0; 4_096];
    while !text.contains(event) {
        let read = caller.read(&mut bytes).await.unwrap();
        assert!(read > 0, "the answer ended with {text:?}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
}

#[tokio::test]
async fn a_stream_is_cancelled_when_its_caller_leaves_midway() {
    for path in STREAMS {
        let deployment = Deployment::start(1, 0).await;
        let node = deployment.node("a").await;
        deployment.engines[0]
            .behave(|behaviour| behaviour.event_pause = Duration::from_millis(900));
        let mut caller = send_bytes(&node, &request(path, "left", "")).await;
        read_event(&mut caller, "s.1").await;
        drop(caller);
        expect_cancellation(&deployment, path).await;
    }
}

#[tokio::test]
async fn a_resumed_stream_is_cancelled_when_its_caller_leaves() {
    let deployment = Deployment::start(2, 0).await;
    let node = deployment.node("a").await;
    for engine in &deployment.engines {
        engine.behave(|behaviour| {
            behaviour.breaks_after = Some(1);
            behaviour.event_pause = Duration::from_millis(600);
        });
    }
    let mut caller = send_bytes(&node, &request("/streams/s", "left", "")).await;
    read_event(&mut caller, "s.1").await;
    wait_for_received_requests(&deployment, 2).await;
    drop(caller);
    expect_cancellation(&deployment, "resumed").await;
    assert_eq!(received_requests(&deployment), 2);
}

/// Requests a stream that is larger than all buffers between back end and caller, and reads nothing until flow
/// control has stopped the stream.
async fn stop_reading(deployment: &Deployment, node: &TestNode, path: &str) -> TcpStream {
    deployment.engines[0].behave(|behaviour| {
        behaviour.event_pause = Duration::ZERO;
        behaviour.events = 2_000;
        behaviour.event_padding = 32 << 10;
    });
    let caller = send_bytes(node, &request(path, "left", "")).await;
    wait_for_received_requests(deployment, 1).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(requests_in_flight(deployment), 1, "the stream is blocked");
    caller
}

#[tokio::test]
async fn a_stream_is_cancelled_when_a_caller_that_stopped_reading_leaves() {
    for path in STREAMS {
        let deployment = Deployment::start(1, 0).await;
        let node = deployment.node("a").await;
        let caller = stop_reading(&deployment, &node, path).await;
        drop(caller);
        expect_cancellation(&deployment, path).await;
    }
}
