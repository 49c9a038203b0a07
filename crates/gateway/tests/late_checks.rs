//! Ends that a node checks only some time after the send, when the next incarnation of the back end is listed.

mod support;

use std::time::Duration;

use havenstage_rollout::backend::BackendRecord;
use havenstage_rollout::ids::BackendId;
use http::Method;
use support::backend::{CallBehaviour, StandInBackend};
use support::caller::{call, send};
use support::deployment::{APPLICATIONS, Deployment, ENGINES, TestNode, entry, record, wait_until};
use support::ends::count_known_ends;

/// Time after which a caller disconnects: its request was sent by then.
const CALLER_LEAVES_AFTER: Duration = Duration::from_millis(100);
/// Time after a caller's disconnect by which its node has given its call up.
const LEAVE_NOTICED_AFTER: Duration = Duration::from_millis(200);
/// Number of streams whose callers leave earlier. The back ends of eight are watched at a time, for 0.3 s each, so that the
/// next one is watched 1.2 s later.
const EARLIER_LEAVERS: usize = 32;

/// Lists an incarnation of a back end.
fn list(deployment: &Deployment, backend: &StandInBackend, pool: &str, started_at: u64) {
    let record = BackendRecord {
        started_at: Some(started_at),
        slots: 64,
        ..record(backend, pool)
    };
    deployment.log.write_backends(entry(backend, record));
}

async fn wait_until_listed(node: &TestNode, id: &str) {
    wait_until("the incarnation is listed", || {
        let backends = node.context().backends.lock();
        backends.list.get(&BackendId::from(id)).is_some()
    })
    .await;
}

/// Starts a stream whose caller disconnects before it has an answer.
async fn stream_and_leave(node: &TestNode, path: &str) {
    let headers = [("x-id", path), ("x-deadline", "5000")];
    let asked = send(node.callers, Method::POST, path, &headers, "call");
    // Dropping the future closes the connection.
    let _ = tokio::time::timeout(CALLER_LEAVES_AFTER, asked).await;
}

async fn wait_until_received(backend: &StandInBackend, path: &str) {
    wait_until("the call runs", || {
        backend.seen().iter().any(|seen| seen.path == path)
    })
    .await;
}

/// A harmful call and a harmless one run at a back end when it ends. The caller of the harmful one has left, and its send
/// is watched only when the next incarnation is listed. It began before the end, so it has its end at the former
/// incarnation like the harmless one, which otherwise would be alone there and count as the cause.
#[tokio::test]
async fn a_given_up_send_that_is_watched_late_ended_the_incarnation_that_it_was_sent_to() {
    let deployment = Deployment::start(0, 0).await;
    let engine = StandInBackend::start("engine").await;
    engine.behave(|behaviour| behaviour.event_pause = Duration::from_secs(60));
    list(&deployment, &engine, ENGINES, 100);
    let former = StandInBackend::start("application").await;
    former.behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    list(&deployment, &former, APPLICATIONS, 100);
    let node = deployment.node_with_known_backends("a", 2).await;
    let address = node.callers;
    let harmless = tokio::spawn(async move { call(address, "harmless", "/once/harmless").await });
    let harmful = tokio::spawn(async move { call(address, "harmful", "/once/harmful").await });
    for path in ["/once/harmless", "/once/harmful"] {
        wait_until_received(&former, path).await;
    }

    let earlier = (0..EARLIER_LEAVERS).map(|number| format!("/streams/earlier-{number}"));
    let earlier: Vec<String> = earlier.collect();
    futures::future::join_all(earlier.iter().map(|path| stream_and_leave(&node, path))).await;
    harmful.abort();
    tokio::time::sleep(LEAVE_NOTICED_AFTER).await;
    former.end();
    wait_until("the end is known", || count_known_ends(&node) > 0).await;
    let next = StandInBackend::start_at("application", former.address).await;
    list(&deployment, &next, APPLICATIONS, 200);
    wait_until_listed(&node, "application@200").await;
    wait_until("the end under both calls is known", || {
        count_known_ends(&node) == 2
    })
    .await;
    harmless.abort();
}
