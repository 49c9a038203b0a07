//! A back-end directory that is too large for all nodes to read: one node writes a digest of it and the others follow the
//! digest. If no node writes a digest, each node reads the directory itself.

mod support;

use std::time::{Duration, Instant};

use havenstage_gateway::context::BACKEND_DIGEST;
use havenstage_gateway::edge::SharedLog;
use havenstage_gateway::settings::Settings;
use havenstage_rollout::backend_digest::DigestRecord;
use havenstage_rollout::framing;
use havenstage_rollout::stored::Stored;
use support::caller::call;
use support::deployment::{APPLICATIONS, Deployment, TestNode, listed, settings, wait_until};
use support::log::{LogFaults, NodeLog};

/// Read bandwidth of the log at which a directory of four back ends is too large for two nodes to read.
const LOW_READ_MB_PER_S: f64 = 0.000_5;

fn low_bandwidth_settings(name: &str) -> Settings {
    let mut settings = settings(name);
    settings.log.read_mb_per_s = LOW_READ_MB_PER_S;
    settings
}

async fn start(deployment: &Deployment, name: &str, faults: LogFaults) -> TestNode {
    let log = NodeLog::with_faults(&deployment.log, faults);
    TestNode::start_with_settings(log, low_bandwidth_settings(name)).await
}

fn ready_count(node: &TestNode) -> usize {
    let backends = node.context().backends.lock();
    backends.list.ready_in(&APPLICATIONS.into()).count()
}

async fn wait_until_ready_count(node: &TestNode, count: usize) {
    wait_until("the node knows its applications", || {
        ready_count(node) == count
    })
    .await;
}

fn writes_digest(node: &TestNode) -> bool {
    node.context().lease_grant().is_some()
}

#[tokio::test]
async fn nodes_follow_the_digest_and_the_next_lease_holder_writes_it() {
    let deployment = Deployment::start(1, 4).await;
    let mut nodes = vec![
        start(&deployment, "a", LogFaults::default()).await,
        start(&deployment, "b", LogFaults::default()).await,
        start(&deployment, "c", LogFaults::default()).await,
    ];
    for node in &nodes {
        wait_until_ready_count(node, 4).await;
        wait_until("it finds the directory too large", || {
            node.context().directory_is_large()
        })
        .await;
    }
    wait_until("some node writes the digest", || {
        nodes.iter().any(writes_digest)
    })
    .await;
    let draining = listed(&deployment.applications[0], APPLICATIONS, true);
    deployment.log.write_backends(draining);
    for node in &nodes {
        wait_until_ready_count(node, 3).await;
    }
    let at = nodes.iter().position(writes_digest).unwrap();
    nodes.remove(at).kill();
    let killed = Instant::now();
    let draining = listed(&deployment.applications[1], APPLICATIONS, true);
    deployment.log.write_backends(draining);
    for node in &nodes {
        wait_until_ready_count(node, 2).await;
        let answer = call(node.callers, "c", "/calls/path").await;
        assert_eq!(answer.status, 200);
    }
    let took = killed.elapsed();
    assert!(
        took < Duration::from_secs(4),
        "the next holder's changes were followed after {took:?}"
    );
}

/// The nodes start before the back ends, whose entries are written one by one.
#[tokio::test]
async fn a_directory_that_grows_large_gets_a_digest() {
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
        wait_until_ready_count(&first, at + 1).await;
    }
    wait_until("a digest is written", || {
        deployment.log.has_checkpoint("backends")
    })
    .await;
    let second = start(&deployment, "b", LogFaults::default()).await;
    wait_until_ready_count(&second, 4).await;
    let draining = listed(&grown.applications[0], APPLICATIONS, true);
    deployment.log.write_backends(draining);
    wait_until_ready_count(&first, 3).await;
    wait_until_ready_count(&second, 3).await;
}

/// A node that starts later restores the checkpoint and reads the records after it.
#[tokio::test]
async fn a_node_that_starts_later_reads_only_the_digest() {
    let deployment = Deployment::start(1, 4).await;
    let first = start(&deployment, "a", LogFaults::default()).await;
    wait_until_ready_count(&first, 4).await;
    wait_until("a checkpoint is there", || {
        deployment.log.has_checkpoint("backends")
    })
    .await;
    // The second node can't read the directory.
    let faults = LogFaults {
        refuses_backends: true,
        ..LogFaults::default()
    };
    let second = start(&deployment, "b", faults).await;
    wait_until_ready_count(&second, 4).await;
}

#[tokio::test]
async fn without_a_digest_each_node_lists_the_directory() {
    let deployment = Deployment::start(1, 4).await;
    let faults = LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    };
    let node = start(&deployment, "a", faults).await;
    wait_until_ready_count(&node, 4).await;
    assert!(!writes_digest(&node));
    let draining = listed(&deployment.applications[0], APPLICATIONS, true);
    deployment.log.write_backends(draining);
    // The node reads the change from the directory, after it has waited for a digest in vain.
    wait_until_ready_count(&node, 3).await;
}

/// Three nodes that follow a digest, with the time after which a drain must be in force on a large fleet.
async fn start_fleet(deployment: &Deployment) -> Vec<TestNode> {
    let mut nodes = Vec::new();
    for name in ["a", "b", "c"] {
        let mut settings = low_bandwidth_settings(name);
        settings.bounds.drain_in_force_ms = DRAIN_IN_FORCE.as_millis() as u64;
        nodes.push(TestNode::start_with_settings(NodeLog::new(&deployment.log), settings).await);
    }
    for node in &nodes {
        wait_until_ready_count(node, 4).await;
        wait_until("it finds the directory too large", || {
            node.context().directory_is_large()
        })
        .await;
    }
    wait_until("a digest is written", || {
        nodes.iter().any(writes_digest) && deployment.log.has_checkpoint("backends")
    })
    .await;
    nodes
}

const DRAIN_IN_FORCE: Duration = Duration::from_secs(5);
/// Longer than all nodes read the last record that the writer of the digest wrote before a fault.
const FAULT_LEAD: Duration = Duration::from_millis(1_200);

async fn drain(deployment: &Deployment, at: usize) -> Instant {
    let draining = listed(&deployment.applications[at], APPLICATIONS, true);
    deployment.log.write_backends(draining);
    Instant::now()
}

/// Checks that the nodes know this many ready applications before a drain must be in force.
async fn check_known_in_time(nodes: &[&TestNode], count: usize, drained: Instant) {
    for node in nodes {
        wait_until_ready_count(node, count).await;
    }
    let took = drained.elapsed();
    assert!(took < DRAIN_IN_FORCE, "known everywhere after {took:?}");
}

/// The writer goes on with its heartbeats, since only its reads of the directory fail.
#[tokio::test]
async fn a_drain_is_known_though_the_digest_writer_cannot_read_the_directory() {
    let deployment = Deployment::start(1, 4).await;
    let nodes = start_fleet(&deployment).await;
    let writer = nodes.iter().position(writes_digest).unwrap();
    nodes[writer].set_faults(LogFaults {
        refuses_backends: true,
        ..LogFaults::default()
    });
    tokio::time::sleep(FAULT_LEAD).await;
    let drained = drain(&deployment, 0).await;
    let others = nodes.iter().enumerate().filter(|(at, _)| *at != writer);
    let others: Vec<&TestNode> = others.map(|(_, node)| node).collect();
    check_known_in_time(&others, 3, drained).await;
}

/// A node that read the drain from the directory must not return to the older digest.
#[tokio::test]
async fn a_known_drain_is_not_forgotten_while_nobody_can_write_the_digest() {
    let deployment = Deployment::start(1, 4).await;
    let nodes = start_fleet(&deployment).await;
    for node in &nodes {
        node.set_faults(LogFaults {
            refuses_appends: true,
            ..LogFaults::default()
        });
    }
    let drained = drain(&deployment, 0).await;
    let all: Vec<&TestNode> = nodes.iter().collect();
    check_known_in_time(&all, 3, drained).await;
    let watched_until = Instant::now() + 2 * DRAIN_IN_FORCE;
    while Instant::now() < watched_until {
        for (at, node) in nodes.iter().enumerate() {
            assert_eq!(ready_count(node), 3, "node {at} forgot the drain");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for node in &nodes {
        node.set_faults(LogFaults::default());
    }
    let drained = drain(&deployment, 1).await;
    check_known_in_time(&all, 2, drained).await;
}

/// The log drops the record of a drain before a node reads it. A later record must not make the node's copy of the digest,
/// which lacks the drain, count as up to date.
#[tokio::test]
async fn a_drain_in_dropped_records_of_the_digest_is_not_forgotten() {
    let deployment = Deployment::start(1, 4).await;
    let nodes = start_fleet(&deployment).await;
    let cut_off = nodes.iter().position(|node| !writes_digest(node)).unwrap();
    nodes[cut_off].set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    tokio::time::sleep(FAULT_LEAD).await;
    let drained = drain(&deployment, 0).await;
    let others = nodes.iter().enumerate().filter(|(at, _)| *at != cut_off);
    let others: Vec<&TestNode> = others.map(|(_, node)| node).collect();
    check_known_in_time(&others, 3, drained).await;
    deployment.log.drop_history(BACKEND_DIGEST);
    nodes[cut_off].set_faults(LogFaults::default());
    check_known_in_time(&[&nodes[cut_off]], 3, Instant::now()).await;
    let watched_until = Instant::now() + 2 * DRAIN_IN_FORCE;
    while Instant::now() < watched_until {
        assert_eq!(ready_count(&nodes[cut_off]), 3, "it forgot the drain");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    wait_until("it has a complete digest again", || {
        nodes[cut_off].context().digest.lock().state.is_complete()
    })
    .await;
}

/// The former writer's last checkpoint is older than the records that the log retains, so no node knows the whole digest.
#[tokio::test]
async fn a_writer_that_missed_records_replaces_the_digest_for_all() {
    let deployment = Deployment::start(1, 4).await;
    let mut nodes = start_fleet(&deployment).await;
    let writer = nodes.iter().position(writes_digest).unwrap();
    nodes.remove(writer).kill();
    for node in &nodes {
        node.set_faults(LogFaults {
            is_cut: true,
            ..LogFaults::default()
        });
    }
    tokio::time::sleep(FAULT_LEAD).await;
    let change = DigestRecord::Kept { term: 1 };
    let (log, record) = (NodeLog::new(&deployment.log), change.encode());
    let records = framing::split(&record, low_bandwidth_settings("d").log.record_bytes);
    log.append(BACKEND_DIGEST, records).await.unwrap();
    deployment.log.drop_history(BACKEND_DIGEST);
    let drained = drain(&deployment, 0).await;
    for node in &nodes {
        node.set_faults(LogFaults::default());
    }
    let all: Vec<&TestNode> = nodes.iter().collect();
    check_known_in_time(&all, 3, drained).await;
    for node in &nodes {
        wait_until("it follows a complete digest", || {
            let digest = node.context().digest.lock();
            digest.state.is_complete() && !digest.state.is_empty()
        })
        .await;
    }
    let drained = drain(&deployment, 1).await;
    check_known_in_time(&all, 2, drained).await;
}

/// The answers to the writer's appends are lost for a moment, shorter than the time after which another node claims the
/// lease. Listing the directory again would take longer than the failure.
#[tokio::test]
async fn a_writer_that_loses_answers_for_a_moment_does_not_list_the_directory_again() {
    let deployment = Deployment::start(1, 4).await;
    let nodes = start_fleet(&deployment).await;
    let writer = &nodes[nodes.iter().position(writes_digest).unwrap()];
    let listings = writer.log.backend_listings();
    writer.set_faults(LogFaults {
        loses_answers: true,
        ..LogFaults::default()
    });
    drain(&deployment, 0).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    writer.set_faults(LogFaults::default());
    let drained = drain(&deployment, 1).await;
    let all: Vec<&TestNode> = nodes.iter().collect();
    check_known_in_time(&all, 2, drained).await;
    assert_eq!(writer.log.backend_listings(), listings);
}
