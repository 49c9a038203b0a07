//! The end of a batch is acknowledged without reading the batch.
//!
//! What happened: after all nodes had lost power, an end that was asked of a node which had not read the
//! batch's partition was answered after 2.6 s, and one never: the node read the partition to its end
//! first. The batch's owner knew nothing of the end, and an item of it reached an engine 10.7 s later.

mod support;

use std::time::Duration;

use http::Method;
use support::caller::{send, submit};
use support::deployment::{Deployment, wait_until};
use support::dialect::write_batch;
use support::log::LogFaults;

/// Time within which an end is answered that needs one append.
const SOON: Duration = Duration::from_millis(500);
/// Time after which all nodes have heard of a batch that runs: heartbeats come each 0.3 s.
const HEARD: Duration = Duration::from_millis(1_500);

#[tokio::test]
async fn a_batch_that_runs_is_ended_at_a_node_that_cannot_read_it() {
    let deployment = Deployment::start(1, 1).await;
    let (owner, other) = (deployment.node("a").await, deployment.node("b").await);
    deployment.engines[0].behave(|told| told.event_pause = Duration::from_millis(1_000));
    let body = write_batch(1, &[("one", "g"), ("two", "g")], false);
    assert_eq!(submit(owner.callers, "batch", &body).await, 202);
    tokio::time::sleep(HEARD).await;
    other.set_faults(LogFaults {
        reads_hang: true,
        ..LogFaults::default()
    });
    let end = send(other.callers, Method::DELETE, "/results/batch", &[], "");
    let ended = tokio::time::timeout(SOON, end).await;
    let ended = ended.expect("the end is answered soon").unwrap();
    assert_eq!(ended.status, 200);
    let context = owner.context().clone();
    wait_until("the owner knows of the end", || {
        let inner = context.partition_of(&"batch".into()).lock();
        let batch = inner.state.batch(&"batch".into());
        batch.is_some_and(|batch| batch.ended)
    })
    .await;
}

/// A batch that nobody runs, and that this node has not read, may not be there: an end that is
/// acknowledged would not count for a batch that arrives behind it.
#[tokio::test]
async fn the_end_of_a_batch_that_was_never_handed_in_is_not_acknowledged() {
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    let ended = send(node.callers, Method::DELETE, "/results/none", &[], "").await;
    assert_eq!(ended.unwrap().status, 404);
}
