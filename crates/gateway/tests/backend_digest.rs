//! A directory of back ends that is too large for all nodes to read: one node keeps a digest of it, the others follow
//! that, and each reads the directory itself where nobody keeps it.

mod support;

use std::time::{Duration, Instant};

use havenstage_gateway::settings::Settings;
use support::caller::call;
use support::deployment::{APPLICATIONS, Deployment, TestNode, listed, settings, wait_until};
use support::log::{LogFaults, NodeLog};

/// Megabytes a second that make four back ends too many for two nodes.
const SCARCE_MB_PER_S: f64 = 0.000_5;

fn scarce(name: &str) -> Settings {
    let mut settings = settings(name);
    settings.log.read_mb_per_s = SCARCE_MB_PER_S;
    settings
}

async fn start(deployment: &Deployment, name: &str, faults: LogFaults) -> TestNode {
    let log = NodeLog::with_faults(&deployment.log, faults);
    TestNode::start_with_settings(log, scarce(name)).await
}

fn ready(node: &TestNode) -> usize {
    let backends = node.context().backends.lock();
    backends.list.ready_in(&APPLICATIONS.into()).count()
}

async fn knows_ready(node: &TestNode, count: usize) {
    wait_until("the node knows its applications", || ready(node) == count).await;
}

fn keeps_digest(node: &TestNode) -> bool {
    node.context().lease_grant().is_some()
}

#[tokio::test]
async fn nodes_follow_the_digest_and_the_next_holder_keeps_it() {
    let deployment = Deployment::start(1, 4).await;
    let mut nodes = vec![
        start(&deployment, "a", LogFaults::default()).await,
        start(&deployment, "b", LogFaults::default()).await,
        start(&deployment, "c", LogFaults::default()).await,
    ];
    for node in &nodes {
        knows_ready(node, 4).await;
        wait_until("it finds the directory too large", || {
            node.context().directory_is_large()
        })
        .await;
    }
    wait_until("somebody keeps it", || nodes.iter().any(keeps_digest)).await;
    let draining = listed(&deployment.applications[0], APPLICATIONS, true);
    deployment.log.write_backends(draining);
    for node in &nodes {
        knows_ready(node, 3).await;
    }
    let at = nodes.iter().position(keeps_digest).unwrap();
    nodes.remove(at).kill();
    let killed = Instant::now();
    let draining = listed(&deployment.applications[1], APPLICATIONS, true);
    deployment.log.write_backends(draining);
    for node in &nodes {
        knows_ready(node, 2).await;
        let answer = call(node.callers, "c", "/calls/path").await;
        assert_eq!(answer.status, 200);
    }
    let took = killed.elapsed();
    assert!(
        took < Duration::from_secs(4),
        "the next one kept it after {took:?}"
    );
}

/// The nodes started before the back ends, whose entries came one by one.
#[tokio::test]
async fn a_directory_that_grew_large_is_digested_too() {
    let deployment = Deployment::start(0, 0).await;
    let first = start(&deployment, "a", LogFaults::default()).await;
    wait_until("it has listed what there is", || {
        first.context().backends_are_listed()
    })
    .await;
    let grown = Deployment::start(0, 4).await;
    for (at, backend) in grown.applications.iter().enumerate() {
        let entry = listed(backend, APPLICATIONS, false);
        deployment.log.write_backends(entry);
        knows_ready(&first, at + 1).await;
    }
    wait_until("a digest is kept", || {
        deployment.log.has_checkpoint("backends")
    })
    .await;
    let second = start(&deployment, "b", LogFaults::default()).await;
    knows_ready(&second, 4).await;
    let draining = listed(&grown.applications[0], APPLICATIONS, true);
    deployment.log.write_backends(draining);
    knows_ready(&first, 3).await;
    knows_ready(&second, 3).await;
}

/// A node that starts later takes up the checkpoint and the records behind it.
#[tokio::test]
async fn a_node_that_starts_later_reads_the_digest_only() {
    let deployment = Deployment::start(1, 4).await;
    let first = start(&deployment, "a", LogFaults::default()).await;
    knows_ready(&first, 4).await;
    wait_until("a checkpoint is there", || {
        deployment.log.has_checkpoint("backends")
    })
    .await;
    // Without the directory.
    let faults = LogFaults {
        refuses_backends: true,
        ..LogFaults::default()
    };
    let second = start(&deployment, "b", faults).await;
    knows_ready(&second, 4).await;
}

#[tokio::test]
async fn where_nobody_keeps_a_digest_each_node_lists_the_directory() {
    let deployment = Deployment::start(1, 4).await;
    let faults = LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    };
    let node = start(&deployment, "a", faults).await;
    knows_ready(&node, 4).await;
    assert!(!keeps_digest(&node));
    let draining = listed(&deployment.applications[0], APPLICATIONS, true);
    deployment.log.write_backends(draining);
    // Once the digest that nobody keeps was waited for.
    knows_ready(&node, 3).await;
}
