//! Callers on raw TCP connections that leave, and checks that back ends then drop their requests.

use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::backend::{CallBehaviour, StandInBackend};
use super::deployment::{Deployment, TestNode, wait_until};

/// Maximum time within which back ends must drop the request of a caller that left.
pub const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time to wait for a further send that must not happen: longer than half of the routes' objective, after which a
/// second send is due.
pub const RESEND_WAIT: Duration = Duration::from_millis(900);
/// Paths of a repeatable call and of an at-most-once call.
pub const CALLS: [&str; 2] = ["/calls/path", "/once/path"];
/// Paths of a resumable stream and of one that is not resumable.
pub const STREAMS: [&str; 2] = ["/streams/s", "/streams/once/s"];

/// Bytes of a request; `more` holds further header lines.
pub fn request(path: &str, id: &str, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: host.test\r\nx-id: {id}\r\nx-deadline: 20000\r\n{more}\
         content-length: 4\r\n\r\nbody"
    )
}

pub async fn connect(node: &TestNode) -> TcpStream {
    let stream = TcpStream::connect(node.callers).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Sends bytes on a new connection and returns the connection.
pub async fn send_bytes(node: &TestNode, bytes: &str) -> TcpStream {
    let mut stream = connect(node).await;
    stream.write_all(bytes.as_bytes()).await.unwrap();
    stream
}

pub fn backends(deployment: &Deployment) -> impl Iterator<Item = &Arc<StandInBackend>> {
    deployment.applications.iter().chain(&deployment.engines)
}

/// Number of requests that back ends are working on now.
pub fn requests_in_flight(deployment: &Deployment) -> usize {
    backends(deployment)
        .map(|backend| backend.in_flight())
        .sum()
}

/// Number of requests that back ends have received since they started.
pub fn received_requests(deployment: &Deployment) -> usize {
    backends(deployment)
        .map(|backend| backend.seen().len())
        .sum()
}

pub async fn wait_for_received_requests(deployment: &Deployment, count: usize) {
    wait_until("back ends have received the request", || {
        received_requests(deployment) >= count && requests_in_flight(deployment) > 0
    })
    .await;
}

/// Expects, after a caller has just left, that back ends drop its request in time and that it is not sent again.
pub async fn expect_cancellation(deployment: &Deployment, what: &str) {
    let left_at = Instant::now();
    while requests_in_flight(deployment) > 0 {
        let count = requests_in_flight(deployment);
        assert!(
            left_at.elapsed() < CANCEL_TIMEOUT,
            "{what}: {count} still running after {CANCEL_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let sent = received_requests(deployment);
    tokio::time::sleep(RESEND_WAIT).await;
    assert_eq!(received_requests(deployment), sent, "{what}: sent again");
}

/// Starts one back end of each kind; calls get no answer, and streams get no event.
pub async fn silent_deployment() -> Deployment {
    let deployment = Deployment::start(1, 1).await;
    deployment.applications[0].behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_secs(60));
    deployment
}

/// Sends a request to a silent deployment, leaves once a back end has received it, and expects its cancellation.
pub async fn expect_cancellation_when_caller_leaves(path: &str) {
    let deployment = silent_deployment().await;
    let node = deployment.node("a").await;
    let caller = send_bytes(&node, &request(path, "left", "")).await;
    wait_for_received_requests(&deployment, 1).await;
    drop(caller);
    expect_cancellation(&deployment, path).await;
}
