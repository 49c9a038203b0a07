//! A request to end a batch is acknowledged by a node that has not read the batch.
//!
//! The tests guard against a node that first reads the batch's partition to its end. After a power loss of all nodes,
//! such a request was answered after 2.6 s, another one never; the batch's owner did not know of the end, and an item
//! of the batch reached an engine 10.7 s later.

mod support;

use std::time::Duration;

use http::Method;
use support::caller::{send, submit};
use support::deployment::{Deployment, wait_until};
use support::dialect::write_batch;
use support::log::LogFaults;

/// Time within which a request to end a batch is answered, which needs one append.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which all nodes know of a running batch: its owner writes a heartbeat every 0.3 s.
const HEARTBEATS_READ_AFTER: Duration = Duration::from_millis(1_500);

#[tokio::test]
async fn a_batch_that_runs_is_ended_at_a_node_that_cannot_read_it() {
    let deployment = Deployment::start(1, 1).await;
    let (owner, other) = (deployment.node("a").await, deployment.node("b").await);
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_millis(1_000));
    let body = write_batch(1, &[("one", "g"), ("two", "g")], false);
    assert_eq!(submit(owner.callers, "batch", &body).await, 202);
    tokio::time::sleep(HEARTBEATS_READ_AFTER).await;
    other.set_faults(LogFaults {
        reads_hang: true,
        ..LogFaults::default()
    });
    let end = send(other.callers, Method::DELETE, "/results/batch", &[], "");
    let ended = tokio::time::timeout(ANSWER_TIMEOUT, end).await;
    let ended = ended
        .expect("the request is answered within the timeout")
        .unwrap();
    assert_eq!(ended.status, 200);
    let context = owner.context().clone();
    wait_until("the owner knows of the end", || {
        let inner = context.partition_of(&"batch".into()).lock();
        let batch = inner.state.batch(&"batch".into());
        batch.is_some_and(|batch| batch.ended)
    })
    .await;
}

/// A batch that no node runs and that this node has not read may not exist. An acknowledged end would not apply to a
/// batch that is submitted after it.
#[tokio::test]
async fn the_end_of_a_batch_that_was_never_submitted_is_not_acknowledged() {
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    let ended = send(node.callers, Method::DELETE, "/results/none", &[], "").await;
    assert_eq!(ended.unwrap().status, 404);
}
