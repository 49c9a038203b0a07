//! A call that no back end can serve is answered at once.

mod support;

use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::backend::BackendChange;
use havenstage_rollout::ids::BackendName;
use http::Method;
use support::backend::{CallBehaviour, StandInBackend};
use support::caller::{call, send};
use support::deployment::{APPLICATIONS, Deployment, TestNode, listed, routing, wait_until};
use support::log::{LogFaults, MemoryLog, NodeLog};

/// Objective of the routes in these tests, long enough that a call which is held is noticed.
const OBJECTIVE_MS: u64 = 20_000;
/// Maximum time for an answer "at once": far below a fifth of the objective, the shortest time for which a call may
/// be held.
const PROMPT_ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Routes whose calls may be held for a long time.
fn long_objective_routes() -> DirectoryEntry {
    let mut routes = routing(2);
    for route in &mut routes.routes {
        route.objective_ms = OBJECTIVE_MS;
        route.timeout_ms = OBJECTIVE_MS;
    }
    DirectoryEntry::Routing(routes)
}

/// Starts a deployment with such routes and a node that has read them.
async fn long_objective_deployment(applications: usize) -> (Deployment, TestNode) {
    let deployment = Deployment::start(0, applications).await;
    deployment.log.write_operators(long_objective_routes());
    let node = deployment.node("a").await;
    wait_until("the node knows the routes", || {
        node.context()
            .routes()
            .is_some_and(|table| table.version() == 2)
    })
    .await;
    (deployment, node)
}

/// Returns the status and the `retry-after` value of the answer, which must come at once.
async fn prompt_answer(node: &TestNode, path: &str) -> (u16, Option<String>) {
    let asked = Instant::now();
    let headers = [("x-id", "call"), ("x-deadline", "18000")];
    let answer = send(node.callers, Method::POST, path, &headers, "").await;
    let answer = answer.unwrap();
    let took = asked.elapsed();
    assert!(
        took < PROMPT_ANSWER_LIMIT,
        "{path}: answered after {took:?}"
    );
    let retry_after = answer.headers.get("retry-after");
    let retry_after = retry_after.map(|value| value.to_str().unwrap().to_owned());
    (answer.status.as_u16(), retry_after)
}

#[tokio::test]
async fn a_call_to_a_pool_without_back_ends_is_refused_at_once() {
    let (_deployment, node) = long_objective_deployment(0).await;
    for path in ["/calls/path", "/once/path", "/streams/s"] {
        let expected = (503, Some("5.000".to_owned()));
        assert_eq!(prompt_answer(&node, path).await, expected, "{path}");
    }
}

/// Draining back ends accept no calls, so a pool of them counts as empty.
#[tokio::test]
async fn a_call_to_a_draining_pool_is_refused_at_once() {
    let (deployment, node) = long_objective_deployment(2).await;
    for backend in &deployment.applications {
        deployment
            .log
            .write_backends(listed(backend, APPLICATIONS, true));
    }
    wait_until("the node knows that they drain", || {
        let backends = node.context().backends.lock();
        backends.list.ready_in(&APPLICATIONS.into()).count() == 0
    })
    .await;
    let expected = (503, Some("5.000".to_owned()));
    assert_eq!(prompt_answer(&node, "/calls/path").await, expected);
}

/// Guards against retries without an end. A call fails at the last back end of its pool, which is then removed. The
/// call may have run, so it cannot be refused; without this check it is retried every 8 ms until its deadline.
#[tokio::test]
async fn a_call_that_failed_at_the_last_back_end_returns_the_failure() {
    let (deployment, node) = long_objective_deployment(1).await;
    let backend = deployment.applications[0].clone();
    backend.behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    let address = node.callers;
    let answer = tokio::spawn(async move {
        let headers = [("x-id", "call"), ("x-deadline", "18000")];
        send(address, Method::POST, "/calls/path", &headers, "").await
    });
    wait_until("the back end has received the call", || {
        backend.in_flight() == 1
    })
    .await;
    deployment.log.write_backends(removed(&backend.id));
    wait_until("the node knows that the back end is removed", || {
        node.context().backends.lock().list.is_empty()
    })
    .await;
    backend.break_connections();
    let answered = tokio::time::timeout(PROMPT_ANSWER_LIMIT, answer).await;
    let answer = answered
        .expect("the answer comes at once")
        .unwrap()
        .unwrap();
    assert_eq!(answer.status, 502);
}

/// Directory entry that removes a back end.
fn removed(id: &str) -> DirectoryEntry {
    DirectoryEntry::Backend(BackendChange {
        name: BackendName::from(id),
        record: None,
    })
}

/// A node that has just started may know its routes before its back ends. A call then waits until the list of back
/// ends is complete.
#[tokio::test]
async fn a_call_waits_for_the_list_of_back_ends() {
    let log = MemoryLog::new();
    log.write_operators(long_objective_routes());
    let backend = StandInBackend::start("application-0").await;
    // Each page of the listing holds one entry, and the first request for every second page is refused.
    for at in 0..8 {
        log.write_backends(removed(&format!("former-{at}")));
    }
    log.write_backends(listed(&backend, APPLICATIONS, false));
    let faults = LogFaults {
        throttles_listings: true,
        ..LogFaults::default()
    };
    let node = TestNode::start_with_log(NodeLog::with_faults(&log, faults), "a").await;
    wait_until("the node knows the routes", || {
        node.context().routes().is_some()
    })
    .await;
    assert_eq!(call(node.callers, "call", "/calls/path").await.status, 200);
}
