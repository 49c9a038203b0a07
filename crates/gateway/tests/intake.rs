//! A node calls itself ready only while it takes callers' connections.
//!
//! What happened: a process that has used up its descriptors fails at each accept, one every 20 ms, while
//! readiness is still asked on a connection that was opened before. The node went on saying that it was
//! ready, so callers were sent to a machine that took none of them.

mod support;

use std::fs::File;
use std::process::Command;
use std::time::Duration;

use havenstage_gateway::server::is_ready;
use support::caller::call;
use support::deployment::{Deployment, wait_until};
use tokio::net::TcpStream;

/// Set in the process that has few descriptors.
const INNER: &str = "HAVENSTAGE_TEST_FEW_DESCRIPTORS";
const NAME: &str = "a_node_that_cannot_take_connections_is_not_ready";

/// Runs this test again in a process that may have few descriptors, as using up those of this process
/// would concern all its tests.
fn run_with_few_descriptors() {
    let status = Command::new("sh")
        .args(["-c", "ulimit -n 128 && exec \"$0\" --exact \"$1\""])
        .arg(std::env::current_exe().unwrap())
        .arg(NAME)
        .env(INNER, "1")
        .status()
        .unwrap();
    assert!(status.success(), "{status}");
}

#[tokio::test]
async fn a_node_that_cannot_take_connections_is_not_ready() {
    if std::env::var_os(INNER).is_none() {
        return run_with_few_descriptors();
    }
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    assert_eq!(call(node.callers, "call", "/calls/path").await.status, 200);
    wait_until("it is ready", || is_ready(node.context())).await;
    let mut taken = Vec::new();
    let mut waiting = Vec::new();
    // Again, as connections that were open before may close on the way and leave room.
    for _ in 0..20 {
        while let Ok(file) = File::open("/dev/null") {
            taken.push(file);
        }
        // The caller's side of a connection gets the last descriptor, so the node's side gets none.
        taken.pop();
        // It fails if the node was quicker; then the next round is another try.
        waiting.extend(TcpStream::connect(node.callers).await.ok());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    wait_until("it is not ready", || !is_ready(node.context())).await;
    drop(taken);
    wait_until("it is ready again", || is_ready(node.context())).await;
    drop(waiting);
    assert_eq!(call(node.callers, "call", "/calls/path").await.status, 200);
}

/// Connections that come and go are no failure to take them.
#[tokio::test]
async fn callers_that_leave_at_once_do_not_make_a_node_unready() {
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    wait_until("it is ready", || is_ready(node.context())).await;
    for _ in 0..50 {
        drop(TcpStream::connect(node.callers).await.unwrap());
        assert!(is_ready(node.context()));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(is_ready(node.context()));
}
