//! A node reports itself ready only while it accepts callers' connections.
//!
//! Guards against a node that reports itself ready although it has used up its file descriptors. Each accept then fails,
//! one every 20 ms, but readiness is still checked on a connection that was opened before, so callers are sent to a
//! machine that accepts none of their connections.

mod support;

use std::fs::File;
use std::process::Command;
use std::time::Duration;

use havenstage_gateway::server::is_ready;
use support::caller::call;
use support::deployment::{Deployment, wait_until};
use tokio::net::TcpStream;

/// Environment variable that is set in the process with few file descriptors.
const FEW_DESCRIPTORS_ENV: &str = "HAVENSTAGE_TEST_FEW_DESCRIPTORS";
const TEST_NAME: &str = "a_node_that_cannot_accept_connections_is_not_ready";

/// Runs this test again in a process with a low limit of file descriptors, since using up those of this process would
/// affect its other tests.
fn run_with_few_descriptors() {
    let status = Command::new("sh")
        .args(["-c", "ulimit -n 128 && exec \"$0\" --exact \"$1\""])
        .arg(std::env::current_exe().unwrap())
        .arg(TEST_NAME)
        .env(FEW_DESCRIPTORS_ENV, "1")
        .status()
        .unwrap();
    assert!(status.success(), "{status}");
}

#[tokio::test]
async fn a_node_that_cannot_accept_connections_is_not_ready() {
    if std::env::var_os(FEW_DESCRIPTORS_ENV).is_none() {
        return run_with_few_descriptors();
    }
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    assert_eq!(call(node.callers, "call", "/calls/path").await.status, 200);
    wait_until("it is ready", || is_ready(node.context())).await;
    let mut open_files = Vec::new();
    let mut waiting = Vec::new();
    // Repeated, since connections that were open before may close in the meantime and free descriptors.
    for _ in 0..20 {
        while let Ok(file) = File::open("/dev/null") {
            open_files.push(file);
        }
        // The caller's side of a connection gets the last descriptor, so the node's side gets none.
        open_files.pop();
        // This fails if the node takes the descriptor first; the next round tries again.
        waiting.extend(TcpStream::connect(node.callers).await.ok());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    wait_until("it is not ready", || !is_ready(node.context())).await;
    drop(open_files);
    wait_until("it is ready again", || is_ready(node.context())).await;
    drop(waiting);
    assert_eq!(call(node.callers, "call", "/calls/path").await.status, 200);
}

/// Connections that close right after they were opened don't count as failed accepts.
#[tokio::test]
async fn callers_that_disconnect_at_once_do_not_make_a_node_unready() {
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
