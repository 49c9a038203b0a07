//! Callers that leave, seen byte by byte, and what back ends have of their requests then.

use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::backend::{CallBehaviour, StandInBackend};
use super::deployment::{Deployment, TestNode, wait_until};

/// Time within which back ends are rid of the request of a caller that left.
pub const PROMISED: Duration = Duration::from_millis(500);
/// Longer than any further send would take to begin: half of the routes' objective and some more.
pub const LATER: Duration = Duration::from_millis(900);
/// Paths of calls that may be repeated, and of those that run at most once.
pub const CALLS: [&str; 2] = ["/calls/path", "/once/path"];
/// Paths of streams that may go on elsewhere, and of those that may not.
pub const STREAMS: [&str; 2] = ["/streams/s", "/streams/once/s"];

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

/// Sends bytes on a new connection, which is returned.
pub async fn send_bytes(node: &TestNode, bytes: &str) -> TcpStream {
    let mut stream = connect(node).await;
    stream.write_all(bytes.as_bytes()).await.unwrap();
    stream
}

pub fn backends(deployment: &Deployment) -> impl Iterator<Item = &Arc<StandInBackend>> {
    deployment.applications.iter().chain(&deployment.engines)
}

pub fn at_work(deployment: &Deployment) -> usize {
    backends(deployment)
        .map(|backend| backend.in_flight())
        .sum()
}

pub fn sends(deployment: &Deployment) -> usize {
    backends(deployment)
        .map(|backend| backend.seen().len())
        .sum()
}

pub async fn wait_for_sends(deployment: &Deployment, count: usize) {
    wait_until("the request has come to back ends", || {
        sends(deployment) >= count && at_work(deployment) > 0
    })
    .await;
}

/// The caller has just left: back ends drop its request in time, and it is not sent again.
pub async fn expect_an_end(deployment: &Deployment, what: &str) {
    let left = Instant::now();
    while at_work(deployment) > 0 {
        let count = at_work(deployment);
        assert!(
            left.elapsed() < PROMISED,
            "{what}: {count} still at work after {PROMISED:?}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let sent = sends(deployment);
    tokio::time::sleep(LATER).await;
    assert_eq!(sends(deployment), sent, "{what}: sent again");
}

/// One back end of each kind; calls get no answer, and streams no event.
pub async fn silent_deployment() -> Deployment {
    let deployment = Deployment::start(1, 1).await;
    deployment.applications[0].behave(|told| told.call = CallBehaviour::Silent);
    deployment.engines[0].behave(|told| told.event_pause = Duration::from_secs(60));
    deployment
}

/// Sends a request to a silent deployment, leaves once it is sent on, and expects that its back end is rid of it.
pub async fn expect_an_end_with_the_caller(path: &str) {
    let deployment = silent_deployment().await;
    let node = deployment.node("a").await;
    let caller = send_bytes(&node, &request(path, "left", "")).await;
    wait_for_sends(&deployment, 1).await;
    drop(caller);
    expect_an_end(&deployment, path).await;
}
