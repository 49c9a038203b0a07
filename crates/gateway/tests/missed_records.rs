//! What a node answers about a batch whose records were dropped from the log before the node read them.
//!
//! Guards against treating such a batch as one that does not exist. One node runs the batch; a second one has read its
//! beginning and no longer follows its partition. Records are dropped, the second node reads again, and forgets the batch,
//! since the positions of its results can't be known. If it then takes the batch for unknown, it answers reads, item bodies
//! and ends with 404 while the owner answers 200, and 15 s after the submission it announces that the batch is closed, so
//! that its owner drops the batch too; within the 20 s of observation here that is 7.6 s before the end. The same holds
//! for a node that started after the records were dropped.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_gateway::edge::SharedLog;
use havenstage_rollout::framing;
use havenstage_rollout::ids::{BatchId, RunId};
use havenstage_rollout::record::{BatchRecord, GiveUpReason, Outcome};
use havenstage_rollout::stored::Stored;
use http::Method;
use support::backend::StandInBackend;
use support::caller::{results, send, submit, submit_to, wait_for_results};
use support::deployment::{Deployment, ENGINES, TestNode, listed, wait_until};
use support::dialect::write_batch;
use support::log::NodeLog;

const ITEMS: [(&str, &str); 2] = [("i1", "g"), ("i2", "g")];
/// Longer than a node follows a partition after a caller has asked about one of its batches.
const PAST_FOLLOWING: Duration = Duration::from_millis(2_500);
/// Longer than the time after which a batch with missing items is closed, shorter than the time after which waiting items
/// are given up.
const OBSERVATION_TIME: Duration = Duration::from_secs(20);

/// Starts a batch at its owner and lets a second node miss records of it. Returns the deployment, the owner and that node.
async fn owner_and_node_with_missed_records() -> (Deployment, TestNode, TestNode) {
    let deployment = Deployment::start(0, 0).await;
    let (owner, other) = (deployment.node("a").await, deployment.node("b").await);
    assert_eq!(
        submit(owner.callers, "batch", &write_batch(1, &ITEMS, false)).await,
        202
    );
    assert_eq!(results(other.callers, "batch", 0).await, (200, Vec::new()));
    tokio::time::sleep(PAST_FOLLOWING).await;
    let partition = owner.context().partition_of(&"batch".into()).id;
    let log = NodeLog::new(&deployment.log);
    let given_up = BatchRecord::Finished {
        batch: "batch".into(),
        item: "i1".into(),
        run: RunId(1),
        resumed_from: 0,
        events: 0,
        outcome: Outcome::GivenUp(GiveUpReason::TooLate),
    };
    let records = framing::split(&given_up.encode(), 512);
    log.append(partition, records).await.unwrap();
    assert_eq!(results(owner.callers, "batch", 0).await.1.len(), 1);
    deployment.log.drop_history(partition);
    (deployment, owner, other)
}

#[tokio::test]
async fn a_node_that_missed_records_of_a_batch_does_not_answer_not_found() {
    let (_deployment, owner, other) = owner_and_node_with_missed_records().await;
    let read = results(other.callers, "batch", 0).await.0;
    let item = send(
        other.callers,
        Method::GET,
        "/results/batch?item=i2",
        &[],
        "",
    )
    .await;
    let ended = send(other.callers, Method::DELETE, "/results/batch", &[], "").await;
    let known = results(owner.callers, "batch", 0).await;
    assert_eq!((known.0, known.1.len()), (200, 1), "the owner has it");
    let statuses = [
        read,
        item.unwrap().status.as_u16(),
        ended.unwrap().status.as_u16(),
    ];
    assert!(!statuses.contains(&404), "read, item, end: {statuses:?}");
}

#[tokio::test]
async fn a_node_that_missed_records_of_a_batch_does_not_close_it() {
    let (_deployment, owner, other) = owner_and_node_with_missed_records().await;
    assert_stays_open_while_read_at(&other, &owner).await;
}

async fn assert_stays_open_while_read_at(node: &TestNode, owner: &TestNode) {
    let until = Instant::now() + OBSERVATION_TIME;
    while Instant::now() < until {
        // The node follows the partition while it is asked about the batch.
        results(node.callers, "batch", 0).await;
        let is_open = is_open_in_index(owner);
        let remaining = until.saturating_duration_since(Instant::now());
        assert!(
            is_open,
            "closed {remaining:?} before its items may be given up"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// The node can't know the batch's state after its owner's death either: another node that has read the batch may claim
/// it.
#[tokio::test]
async fn a_node_that_missed_records_neither_claims_nor_closes_a_batch_whose_owner_died() {
    let (_deployment, mut owner, other) = owner_and_node_with_missed_records().await;
    owner.kill();
    assert_stays_open_while_read_at(&other, &other).await;
    assert!(!other.context().holds(&"batch".into()));
}

/// The end of a batch that its owner runs is accepted at any node, and takes effect at the owner.
#[tokio::test]
async fn a_node_that_missed_records_of_a_batch_accepts_its_end() {
    let (_deployment, owner, other) = owner_and_node_with_missed_records().await;
    assert_eq!(results(other.callers, "batch", 0).await.0, 503);
    assert_eq!(end(other.callers, "batch").await, 200);
    let known = results(owner.callers, "batch", 0).await;
    assert_eq!((known.0, known.1.len()), (200, 1), "listed results stay");
    let id = BatchId::from("batch");
    wait_until("the owner has read the end", || {
        let inner = owner.context().partition_of(&id).lock();
        inner.state.batch(&id).is_some_and(|batch| batch.ended)
    })
    .await;
}

/// If no node has named a batch, this node can't know whether the records that it missed held the submission.
#[tokio::test]
async fn a_node_that_missed_records_refuses_calls_on_unknown_batches() {
    let (_deployment, owner, other) = owner_and_node_with_missed_records().await;
    results(other.callers, "batch", 0).await;
    let unknown = id_in_the_partition_of_batch(&other, "unknown");
    let refused = statuses(&other, &unknown, "i1").await;
    assert_eq!(refused, [503, 503, 503], "read, item, end");
    let at_owner = statuses(&owner, &unknown, "i1").await;
    assert_eq!(at_owner, [404, 404, 404], "read, item, end");
}

/// Missed records don't affect a batch that is submitted after them.
#[tokio::test]
async fn a_batch_submitted_after_missed_records_is_run() {
    let (deployment, owner, other) = owner_and_node_with_missed_records().await;
    assert_eq!(results(other.callers, "batch", 0).await.0, 503);
    let later = id_in_the_partition_of_batch(&other, "later");
    let body = write_batch(1, &ITEMS, false);
    // On another route, since the next batch of a route goes to the owner of the route's last batch.
    let path = "/batches/single/b";
    assert_eq!(submit_to(other.callers, path, &later, &body).await, 202);
    assert_eq!(results(other.callers, &later, 0).await, (200, Vec::new()));
    assert_eq!(item_status(&other, &later, "i2").await, 200);
    assert_eq!(item_status(&other, &later, "none").await, 404);
    assert!(other.context().holds(&later.as_str().into()));
    let engine = StandInBackend::start("engine").await;
    let entry = listed(&engine, ENGINES, false);
    deployment.log.write_backends(entry);
    let lines = wait_for_results(other.callers, &later, ITEMS.len()).await;
    assert!(
        lines.iter().all(|line| line.contains("|completed|")),
        "{lines:?}"
    );
    let at_owner = wait_for_results(owner.callers, &later, ITEMS.len()).await;
    assert_eq!(at_owner, lines);
    assert_eq!(end(other.callers, &later).await, 200);
}

/// A node that starts after a batch's first records were dropped has read nothing before them, but the owner's heartbeats
/// name the batch.
#[tokio::test]
async fn a_node_that_starts_after_records_were_dropped_does_not_answer_not_found_for_a_running_batch()
 {
    let (deployment, _owner, _other) = owner_and_node_with_missed_records().await;
    let late = deployment.node("c").await;
    wait_until("the late node knows that the batch was found", || {
        is_found_at(&late)
    })
    .await;
    assert_eq!(results(late.callers, "batch", 0).await.0, 503);
    assert_eq!(item_status(&late, "batch", "i2").await, 503);
    let unknown = id_in_the_partition_of_batch(&late, "unknown");
    let denied = statuses(&late, &unknown, "i1").await;
    assert_eq!(denied, [404, 404, 404], "read, item, end");
    assert_eq!(end(late.callers, "batch").await, 200);
}

#[tokio::test]
async fn a_node_that_starts_after_records_were_dropped_does_not_close_a_running_batch() {
    let (deployment, owner, _other) = owner_and_node_with_missed_records().await;
    let late = deployment.node("c").await;
    assert_stays_open_while_read_at(&late, &owner).await;
}

async fn end(callers: SocketAddr, batch: &str) -> u16 {
    let path = format!("/results/{batch}");
    let answer = send(callers, Method::DELETE, &path, &[], "").await;
    answer.unwrap().status.as_u16()
}

async fn item_status(node: &TestNode, batch: &str, item: &str) -> u16 {
    let path = format!("/results/{batch}?item={item}");
    let answer = send(node.callers, Method::GET, &path, &[], "").await;
    answer.unwrap().status.as_u16()
}

/// Statuses of a read of results, a read of an item's body and an end.
async fn statuses(node: &TestNode, batch: &str, item: &str) -> [u16; 3] {
    let read = results(node.callers, batch, 0).await.0;
    let item = item_status(node, batch, item).await;
    [read, item, end(node.callers, batch).await]
}

/// A batch id that begins with `prefix` and belongs to the same partition as "batch".
fn id_in_the_partition_of_batch(node: &TestNode, prefix: &str) -> String {
    let partition_of = |id: &str| node.context().partition_of(&id.into()).id;
    let mut ids = (0..).map(|number| format!("{prefix}-{number}"));
    ids.find(|id| partition_of(id) == partition_of("batch"))
        .unwrap()
}

fn is_found_at(node: &TestNode) -> bool {
    let control = node.context().control.lock();
    let batch = control.state.index().batch(&"batch".into());
    batch.is_some_and(|batch| batch.was_found)
}

fn is_open_in_index(node: &TestNode) -> bool {
    let control = node.context().control.lock();
    let batch = control.state.index().batch(&"batch".into());
    batch.is_some_and(|batch| batch.is_open())
}
