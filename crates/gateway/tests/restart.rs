//! When many machines restart at once, the amount that each node reads depends on its own work, not on that of all nodes.

mod support;

use std::time::Duration;

use havenstage_gateway::context::CONTROL;
use havenstage_gateway::edge::SharedLog;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::framing;
use havenstage_rollout::ids::{MachineName, NodeId};
use havenstage_rollout::stored::Stored;
use support::caller::{submit, submit_to, wait_for_results};
use support::deployment::{Deployment, TestNode, wait_until};
use support::dialect::write_batch;
use support::log::NodeLog;

/// Batches submitted to each of the two nodes before the restart.
const BATCHES_PER_NODE: usize = 12;
/// Items of each batch; their bodies and output are most of what the log holds.
const ITEMS: usize = 24;
/// Share of the log's bytes that a node may read after a restart. It ran half of the batches and has one open batch.
const MAX_READ_SHARE: f64 = 0.4;
/// Path of a second route, so that its batches don't go to the owner of the first route's batches.
const OTHER_ROUTE: &str = "/batches/single/b";

/// Items of a batch, with ids that differ from those of other batches, since the output of an equal item would be reused.
fn items(batch: &str) -> Vec<(String, String)> {
    let name = |at: usize| (format!("item-{at}-of-{batch}"), format!("g{}", at / 4));
    (0..ITEMS).map(name).collect()
}

fn body(batch: &str) -> String {
    let items = items(batch);
    let named: Vec<(&str, &str)> = items
        .iter()
        .map(|(item, group)| (item.as_str(), group.as_str()))
        .collect();
    write_batch(1, &named, false)
}

async fn run_batches(node: &TestNode, path: &str, name: &str) {
    for at in 0..BATCHES_PER_NODE {
        let batch = format!("{name}-{at}");
        assert_eq!(
            submit_to(node.callers, path, &batch, &body(&batch)).await,
            202
        );
        wait_for_results(node.callers, &batch, ITEMS).await;
    }
}

fn slow_down(deployment: &Deployment) {
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.event_pause = Duration::from_millis(400));
    }
}

/// Requests that the engines have seen.
fn seen(deployment: &Deployment) -> usize {
    deployment.engines.iter().map(|e| e.seen().len()).sum()
}

fn holds(node: &TestNode, batch: &str) -> bool {
    let view = node.context().partition_of(&batch.into());
    let inner = view.lock();
    let state = inner.state.batch(&batch.into());
    state.is_some_and(|state| state.lease.is_held_by(&node.context().node))
}

/// All nodes are killed while each runs a batch. After the restart each resumes its own batch and reads that batch and the
/// few earlier ones of its trainer, not the batches that the other node ran.
#[tokio::test]
async fn a_restarted_owner_reads_its_own_batches_only() {
    let deployment = Deployment::start(2, 1).await;
    let (mut one, mut two) = (deployment.node("one").await, deployment.node("two").await);
    run_batches(&one, "/batches/b", "of-one").await;
    run_batches(&two, OTHER_ROUTE, "of-two").await;
    slow_down(&deployment);
    let seen_before = seen(&deployment);
    assert_eq!(
        submit(one.callers, "open-of-one", &body("open-of-one")).await,
        202
    );
    let status = submit_to(
        two.callers,
        OTHER_ROUTE,
        "open-of-two",
        &body("open-of-two"),
    )
    .await;
    assert_eq!(status, 202);
    wait_until("items of both run", || seen(&deployment) >= seen_before + 8).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    one.kill();
    two.kill();
    let held_before = deployment.log.bytes();
    let (one, two) = (deployment.node("one").await, deployment.node("two").await);
    for (node, batch) in [(&one, "open-of-one"), (&two, "open-of-two")] {
        wait_until("the machine's batch is resumed", || holds(node, batch)).await;
    }
    for node in [&one, &two] {
        let share = node.log.bytes_read() as f64 / held_before as f64;
        assert!(
            share < MAX_READ_SHARE,
            "read {share:.2} of what the log holds"
        );
    }
}

/// Records in the control stream when a node starts, about as many as hours of heartbeats produce.
const LONG_HISTORY: usize = 20_000;
/// Share of that history that a node may read when it starts.
const MAX_HISTORY_SHARE: f64 = 0.1;

/// However long the control stream is, a node that starts restores a checkpoint and learns from it which batches are
/// open.
#[tokio::test]
async fn a_node_that_starts_reads_a_checkpoint_and_what_follows() {
    let deployment = Deployment::start(1, 1).await;
    let first = deployment.node("first").await;
    slow_down(&deployment);
    let status = submit(first.callers, "open", &body("open")).await;
    assert_eq!(status, 202);
    append_heartbeats(&deployment).await;
    wait_until(
        "a checkpoint that covers the long history is written",
        || deployment.log.checkpoint_offset() >= LONG_HISTORY as u64,
    )
    .await;
    let held = deployment.log.bytes_of(CONTROL);
    let second = deployment.node("second").await;
    wait_until("the new node knows of the batch", || {
        let control = second.context().control.lock();
        control.state.index().batch(&"open".into()).is_some()
    })
    .await;
    let share = second.log.bytes_read() as f64 / held as f64;
    assert!(share < MAX_HISTORY_SHARE, "read {share:.2} of the stream");
}

async fn append_heartbeats(deployment: &Deployment) {
    let machine = MachineName::from("gone");
    let record = ControlRecord::Heartbeat {
        node: NodeId { machine, life: 1 },
        routes: vec!["a-route-that-was-served-once".to_owned()],
        batches: Vec::new(),
    };
    let pieces = framing::split(&record.encode(), 512);
    let records = (0..LONG_HISTORY).flat_map(|_| pieces.clone()).collect();
    let log = NodeLog::new(&deployment.log);
    log.append(CONTROL, records).await.unwrap();
}
