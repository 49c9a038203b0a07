//! What a node says of a batch whose records were dropped before it read them.
//!
//! What happened: two nodes knew a batch; one ran it, the other had read its beginning and then followed
//! its partition no more. Records were dropped, the second node was asked again, and forgot the batch, as
//! its positions could not be known. From then on it took the batch for one that does not exist: it
//! answered 404 though the batch was open at its owner, and 15 s after the batch was handed in it told all
//! nodes that nothing is left to be done about it, so that its owner let go of it too. A node that started
//! after the records were dropped did the same, though it had missed nothing that it could have read.
//!
//! What settled it: the statuses of a read, of an item's body and of an end were 404 at that node, while the
//! owner answered 200 with the batch's one result; watched for 20 s, the batch was closed 7.6 s before the end.

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
/// Longer than a node follows what somebody asked about.
const FOLLOWED_NO_MORE: Duration = Duration::from_millis(2_500);
/// Longer than it takes until a batch without items counts as one that never came, shorter than its items
/// may wait.
const WATCHED: Duration = Duration::from_secs(20);

/// A batch at its owner, and a node that has missed records of it.
async fn owner_and_one_that_missed() -> (Deployment, TestNode, TestNode) {
    let deployment = Deployment::start(0, 0).await;
    let (owner, other) = (deployment.node("a").await, deployment.node("b").await);
    assert_eq!(
        submit(owner.callers, "batch", &write_batch(1, &ITEMS, false)).await,
        202
    );
    assert_eq!(results(other.callers, "batch", 0).await, (200, Vec::new()));
    tokio::time::sleep(FOLLOWED_NO_MORE).await;
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
async fn a_node_that_missed_records_of_a_batch_does_not_say_that_there_is_none() {
    let (_deployment, owner, other) = owner_and_one_that_missed().await;
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
async fn a_node_that_missed_records_of_a_batch_does_not_close_it_for_all() {
    let (_deployment, owner, other) = owner_and_one_that_missed().await;
    stays_open_while_read_at(&other, &owner).await;
}

async fn stays_open_while_read_at(node: &TestNode, owner: &TestNode) {
    let until = Instant::now() + WATCHED;
    while Instant::now() < until {
        // Somebody asks, so that the partition is followed.
        results(node.callers, "batch", 0).await;
        let is_open = is_open_in_index(owner);
        let left = until.saturating_duration_since(Instant::now());
        assert!(is_open, "closed {left:?} before its items may be given up");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Without its owner's word the node can't know either: another one that has read the batch may claim it.
#[tokio::test]
async fn a_node_that_missed_records_neither_claims_nor_closes_a_batch_whose_owner_died() {
    let (_deployment, mut owner, other) = owner_and_one_that_missed().await;
    owner.kill();
    stays_open_while_read_at(&other, &other).await;
    assert!(!other.context().holds(&"batch".into()));
}

/// An end of a batch that its owner runs counts wherever it is handed in, and at the owner too.
#[tokio::test]
async fn a_node_that_missed_records_of_a_batch_takes_its_end() {
    let (_deployment, owner, other) = owner_and_one_that_missed().await;
    assert_eq!(results(other.callers, "batch", 0).await.0, 503);
    assert_eq!(end(other.callers, "batch").await, 200);
    let known = results(owner.callers, "batch", 0).await;
    assert_eq!((known.0, known.1.len()), (200, 1), "what is listed stays");
    let id = BatchId::from("batch");
    wait_until("the owner has read the end", || {
        let inner = owner.context().partition_of(&id).lock();
        inner.state.batch(&id).is_some_and(|batch| batch.ended)
    })
    .await;
}

/// Of a batch that nobody has named the node can't know whether it was handed in in the gap.
#[tokio::test]
async fn a_node_that_missed_records_refuses_calls_on_batches_that_it_does_not_know() {
    let (_deployment, owner, other) = owner_and_one_that_missed().await;
    results(other.callers, "batch", 0).await;
    let unknown = id_in_the_partition_of_batch(&other, "unknown");
    let refused = statuses(&other, &unknown, "i1").await;
    assert_eq!(refused, [503, 503, 503], "read, item, end");
    let at_owner = statuses(&owner, &unknown, "i1").await;
    assert_eq!(at_owner, [404, 404, 404], "read, item, end");
}

/// What was missed says nothing of a batch that is handed in after the gap.
#[tokio::test]
async fn a_batch_handed_in_after_the_gap_is_run_by_a_node_that_missed_records() {
    let (deployment, owner, other) = owner_and_one_that_missed().await;
    assert_eq!(results(other.callers, "batch", 0).await.0, 503);
    let later = id_in_the_partition_of_batch(&other, "later");
    let body = write_batch(1, &ITEMS, false);
    // A route of its own, as the next batch of a route goes to the owner of the last one.
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

/// A node that starts after a batch's beginning was dropped has read nothing before the gap. Its owner still
/// runs the batch, and says so.
#[tokio::test]
async fn a_node_that_starts_after_records_were_dropped_denies_no_batch_that_its_owner_runs() {
    let (deployment, _owner, _other) = owner_and_one_that_missed().await;
    let late = deployment.node("c").await;
    wait_until("the late node hears of the batch", || is_found_at(&late)).await;
    assert_eq!(results(late.callers, "batch", 0).await.0, 503);
    assert_eq!(item_status(&late, "batch", "i2").await, 503);
    let unknown = id_in_the_partition_of_batch(&late, "unknown");
    let denied = statuses(&late, &unknown, "i1").await;
    assert_eq!(denied, [404, 404, 404], "read, item, end");
    assert_eq!(end(late.callers, "batch").await, 200);
}

#[tokio::test]
async fn a_node_that_starts_after_records_were_dropped_closes_no_batch_that_its_owner_runs() {
    let (deployment, owner, _other) = owner_and_one_that_missed().await;
    let late = deployment.node("c").await;
    stays_open_while_read_at(&late, &owner).await;
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

/// Statuses of a read, of an item's body and of an end.
async fn statuses(node: &TestNode, batch: &str, item: &str) -> [u16; 3] {
    let read = results(node.callers, batch, 0).await.0;
    let item = item_status(node, batch, item).await;
    [read, item, end(node.callers, batch).await]
}

/// An id that begins so, of a batch that lies in the same partition as "batch".
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
