//! Malformed heads get a proper status at once, run nowhere, and end nothing.

mod support;

use support::caller::call;
use support::deployment::{Deployment, TestNode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The status line that raw bytes are answered with; empty if the connection just closes.
async fn status_of(node: &TestNode, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(node.callers).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = vec![0; 4_096];
    let read = stream.read(&mut answer).await.unwrap_or(0);
    let text = String::from_utf8_lossy(&answer[..read]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

#[tokio::test]
async fn malformed_heads_are_refused_and_the_node_goes_on() {
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    let garbage = status_of(&node, b"this is no request\r\n\r\n").await;
    assert!(garbage.contains("400"), "{garbage:?}");
    let large = format!(
        "GET / HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n",
        "a".repeat(64 * 1024)
    );
    let too_large = status_of(&node, large.as_bytes()).await;
    assert!(too_large.contains("431"), "{too_large:?}");
    let without_id = b"POST /calls/p HTTP/1.1\r\nhost: host.test\r\ncontent-length: 0\r\n\r\n";
    let refused = status_of(&node, without_id).await;
    assert!(refused.contains("400"), "{refused:?}");
    assert_eq!(call(node.callers, "call", "/calls/path").await.status, 200);
    assert_eq!(deployment.applications[0].seen().len(), 1);
}

/// The length is given twice, in two ways: what follows the chunks must not run as another request.
#[tokio::test]
async fn a_request_inside_another_does_not_run() {
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    let smuggled = concat!(
        "POST /calls/outer HTTP/1.1\r\nhost: host.test\r\nx-id: outer\r\n",
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n",
        "50\r\nPOST /calls/inner HTTP/1.1\r\nhost: host.test\r\nx-id: inner\r\n",
        "content-length: 0\r\n\r\n\r\n0\r\n\r\n",
    );
    status_of(&node, smuggled.as_bytes()).await;
    assert_eq!(call(node.callers, "call", "/calls/path").await.status, 200);
    let seen = deployment.applications[0].seen();
    assert!(
        seen.iter().all(|seen| seen.path != "/calls/inner"),
        "{seen:?}"
    );
}
