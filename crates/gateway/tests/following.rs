//! A node reads only the batches that it runs or that callers ask it about.

mod support;

use std::time::Duration;

use havenstage_gateway::context::{CONTROL, Context};
use havenstage_gateway::edge::{LogStream, SharedLog};
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::ids::MachineName;
use havenstage_rollout::stored::Stored;
use support::caller::{submit, wait_for_results};
use support::deployment::{Deployment, TestNode, wait_until};
use support::dialect::write_batch;
use support::log::{LogFaults, NodeLog};

const ITEMS: [(&str, &str); 4] = [("i1", "g1"), ("i2", "g1"), ("i3", "g2"), ("i4", "g2")];
const BATCHES: [&str; 3] = ["first", "second", "third"];
const MACHINES: usize = 60;
/// Callers that make a request at the same time.
const CONCURRENT_CALLERS: usize = 50;

async fn deployment_of_many_machines() -> Deployment {
    let deployment = Deployment::start(2, 1).await;
    let joined = (0..MACHINES).map(|at| {
        let machine = MachineName::from(format!("machine-{at}"));
        ControlRecord::Joined { machine }.encode().into()
    });
    let log = NodeLog::new(&deployment.log);
    let records = joined
        .flat_map(|record: bytes::Bytes| havenstage_rollout::framing::split(&record, 512))
        .collect();
    log.append(CONTROL, records).await.unwrap();
    deployment
}

fn knows_batch(context: &Context, batch: &str) -> bool {
    let view = context.partition_of(&batch.into());
    let inner = view.lock();
    inner.state.batch(&batch.into()).is_some()
}

fn knows_order_lease_holder(node: &TestNode) -> bool {
    node.context()
        .control
        .lock()
        .state
        .lease()
        .holder()
        .is_some()
}

fn holds_order_lease(node: &TestNode) -> bool {
    let control = node.context().control.lock();
    control.state.lease().is_held_by(&node.context().node)
}

/// A node that has no task that needs batches; the order lease holder must read them all.
async fn uninvolved_node<'a>(nodes: &'a [&'a TestNode]) -> &'a TestNode {
    wait_until("the order lease holder is known", || {
        nodes.iter().all(|node| knows_order_lease_holder(node))
    })
    .await;
    nodes.iter().find(|node| !holds_order_lease(node)).unwrap()
}

#[tokio::test]
async fn a_node_knows_only_batches_that_it_runs_or_is_asked_about() {
    let deployment = deployment_of_many_machines().await;
    let owner = deployment.node("owner").await;
    let (one, two) = (deployment.node("one").await, deployment.node("two").await);
    let nodes = [&one, &two];
    let uninvolved = uninvolved_node(&nodes).await;
    for batch in BATCHES {
        let body = write_batch(1, &ITEMS, false);
        assert_eq!(submit(owner.callers, batch, &body).await, 202);
        wait_for_results(owner.callers, batch, ITEMS.len()).await;
    }
    // Longer than the pause between two reads of a node in a fleet of this size.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert!(
        BATCHES
            .iter()
            .all(|batch| !knows_batch(uninvolved.context(), batch))
    );
    let lines = wait_for_results(uninvolved.callers, BATCHES[0], ITEMS.len()).await;
    assert_eq!(lines.len(), ITEMS.len());
    assert!(knows_batch(uninvolved.context(), BATCHES[0]));
}

/// A node that is asked about a batch follows it, and claims it once its owner is dead.
#[tokio::test]
async fn a_batch_of_a_dead_owner_resumes_at_a_node_that_is_asked_about_it() {
    let deployment = deployment_of_many_machines().await;
    let mut owner = deployment.node("owner").await;
    let other = deployment.node("other").await;
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.event_pause = Duration::from_millis(150));
    }
    let body = write_batch(1, &ITEMS, false);
    assert_eq!(submit(owner.callers, "batch", &body).await, 202);
    wait_until("the batch runs", || {
        deployment.engines.iter().any(|e| !e.seen().is_empty())
    })
    .await;
    owner.kill();
    let lines = wait_for_results(other.callers, "batch", ITEMS.len()).await;
    assert_eq!(lines.len(), ITEMS.len());
}

/// The owner of a route's last batch runs the next one, whichever node it is submitted to.
#[tokio::test]
async fn the_owner_of_a_routes_last_batch_runs_the_next_one() {
    let deployment = deployment_of_many_machines().await;
    let (owner, other) = (
        deployment.node("owner").await,
        deployment.node("other").await,
    );
    let body = write_batch(1, &ITEMS, false);
    assert_eq!(submit(owner.callers, "first", &body).await, 202);
    wait_until("the other node knows who runs the route", || {
        let control = other.context().control.lock();
        control.state.serving("batches", 0) == Some(&owner.context().node)
    })
    .await;
    assert_eq!(submit(other.callers, "second", &body).await, 202);
    wait_for_results(other.callers, "second", ITEMS.len()).await;
    let view = other.context().partition_of(&"second".into());
    let inner = view.lock();
    let lease = &inner.state.batch(&"second".into()).unwrap().lease;
    assert!(lease.is_held_by(&owner.context().node));
}

/// Concurrent callers share the reads of the log.
#[tokio::test]
async fn concurrent_reads_of_the_log_are_shared() {
    let deployment = deployment_of_many_machines().await;
    let log = NodeLog::new(&deployment.log);
    let node = deployment.node("node").await;
    let context = node.context().clone();
    let view = context.partition_of(&"batch".into());
    let read_to_end = || view.confirm(log.as_ref(), context.clock, Duration::ZERO);
    let answers = futures::future::join_all((0..CONCURRENT_CALLERS).map(|_| read_to_end())).await;
    assert!(answers.iter().all(Result::is_ok));
    assert!(log.reads() <= 2, "{} reads", log.reads());
}

/// The store does not wake a reader of a topic that is created while the reader waits, so an owner that reads before a
/// batch's items are in the log would see them only with its next read.
#[tokio::test]
async fn the_notice_of_a_batch_follows_its_items() {
    let deployment = deployment_of_many_machines().await;
    let node = deployment.node("node").await;
    node.set_faults(LogFaults {
        slow_batch_appends: true,
        ..LogFaults::default()
    });
    let body = write_batch(1, &ITEMS, false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    let history = deployment.log.history();
    let items_at = history
        .iter()
        .position(|(partition, _)| matches!(partition.stream, LogStream::Batches(_)));
    let notice_at = history
        .iter()
        .position(|(partition, record)| *partition == CONTROL && is_notice(record));
    assert!(items_at.unwrap() < notice_at.unwrap());
}

/// Whether a record says that a batch was accepted.
fn is_notice(record: &bytes::Bytes) -> bool {
    let decoded = ControlRecord::decode(&record[1..]);
    matches!(decoded, Ok(ControlRecord::BatchAccepted(_)))
}

/// Time for which reads that the log refuses are retried.
const RETRY_TIME: Duration = Duration::from_millis(1_000);

/// Callers that wait while the log throttles reads share each retry, since the log receives too many calls already.
#[tokio::test]
async fn retries_of_throttled_reads_are_shared() {
    let deployment = deployment_of_many_machines().await;
    let log = NodeLog::with_faults(
        &deployment.log,
        LogFaults {
            throttled_reads_of_ten: 10,
            ..LogFaults::default()
        },
    );
    let node = deployment.node("node").await;
    let context = node.context().clone();
    let view = context.partition_of(&"batch".into());
    let until = havenstage_clock::Instant::now() + RETRY_TIME;
    let read_to_end = || view.confirm_until(log.as_ref(), context.clock, Duration::ZERO, until);
    let answers = futures::future::join_all((0..CONCURRENT_CALLERS).map(|_| read_to_end())).await;
    assert!(answers.iter().all(Result::is_err));
    assert!(havenstage_clock::Instant::now() < until + RETRY_TIME / 2);
    assert!((2..=20).contains(&log.reads()), "{} reads", log.reads());
}
