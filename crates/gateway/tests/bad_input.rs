//! Requests with malformed heads get an error status at once, are sent to no back end, and don't stop the node.

mod support;

use support::caller::call;
use support::deployment::{Deployment, TestNode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends raw bytes and returns the status line of the answer; empty if the connection closes without one.
async fn status_line_for(node: &TestNode, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(node.callers).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = vec![0; 4_096];
    let read = stream.read(&mut answer).await.unwrap_or(0);
    let text = String::from_utf8_lossy(&answer[..read]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

#[tokio::test]
async fn malformed_heads_are_refused_and_the_node_keeps_serving() {
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    let garbage = status_line_for(&node, b"this is no request\r\n\r\n").await;
    assert!(garbage.contains("400"), "{garbage:?}");
    let large = format!(
        "GET / HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n",
        "a".repeat(64 * 1024)
    );
    let too_large = status_line_for(&node, large.as_bytes()).await;
    assert!(too_large.contains("431"), "{too_large:?}");
    let without_id = b"POST /calls/p HTTP/1.1\r\nhost: host.test\r\ncontent-length: 0\r\n\r\n";
    let refused = status_line_for(&node, without_id).await;
    assert!(refused.contains("400"), "{refused:?}");
    assert_eq!(call(node.callers, "call", "/calls/path").await.status, 200);
    assert_eq!(deployment.applications[0].seen().len(), 1);
}

/// Guards against request smuggling. The head gives the body's length both by `content-length` and as chunked; the
/// request inside the body must not run.
#[tokio::test]
async fn a_smuggled_request_does_not_run() {
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    let smuggled = concat!(
        "POST /calls/outer HTTP/1.1\r\nhost: host.test\r\nx-id: outer\r\n",
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n",
        "50\r\nPOST /calls/inner HTTP/1.1\r\nhost: host.test\r\nx-id: inner\r\n",
        "content-length: 0\r\n\r\n\r\n0\r\n\r\n",
    );
    status_line_for(&node, smuggled.as_bytes()).await;
    assert_eq!(call(node.callers, "call", "/calls/path").await.status, 200);
    let seen = deployment.applications[0].seen();
    assert!(
        seen.iter().all(|seen| seen.path != "/calls/inner"),
        "{seen:?}"
    );
}
