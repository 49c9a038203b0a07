//! What a node says of a batch whose records were dropped before it read them.
//!
//! What happened: two nodes knew a batch; one ran it, the other had read its beginning and then followed
//! its partition no more. Records were dropped, the second node was asked again, and forgot the batch, as
//! its positions could not be known. From then on it took the batch for one that does not exist: it
//! answered 404 though the batch was open at its owner, and 15 s after the batch was handed in it told all
//! nodes that nothing is left to be done about it, so that its owner let go of it too.

mod support;

use std::time::Duration;

use havenstage_gateway::edge::SharedLog;
use havenstage_rollout::framing;
use havenstage_rollout::ids::RunId;
use havenstage_rollout::record::{BatchRecord, GiveUpReason, Outcome};
use havenstage_rollout::stored::Stored;
use http::Method;
use support::caller::{results, send, submit};
use support::deployment::{Deployment, TestNode};
use support::dialect::write_batch;
use support::log::NodeLog;
use tokio::time::Instant;

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
    let until = Instant::now() + WATCHED;
    while Instant::now() < until {
        // Somebody asks, so that the partition is followed.
        results(other.callers, "batch", 0).await;
        let is_open = is_open_in_index(&owner);
        let left = until - Instant::now();
        assert!(is_open, "closed {left:?} before its items may be given up");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn is_open_in_index(node: &TestNode) -> bool {
    let control = node.context().control.lock();
    let batch = control.state.index().batch(&"batch".into());
    batch.is_some_and(|batch| batch.is_open())
}
