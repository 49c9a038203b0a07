//! A call that nobody can serve gets its answer at once.

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

/// Objective of the routes here: long enough that calls which are held show.
const OBJECTIVE_MS: u64 = 20_000;
/// Far below the least time for which a call was held, which is a fifth of the objective.
const AT_ONCE: Duration = Duration::from_secs(2);

/// Routes whose calls may be held for long.
fn patient_routes() -> DirectoryEntry {
    let mut routes = routing(2);
    for route in &mut routes.routes {
        route.objective_ms = OBJECTIVE_MS;
        route.timeout_ms = OBJECTIVE_MS;
    }
    DirectoryEntry::Routing(routes)
}

/// A deployment with such routes, which the node knows.
async fn patient_deployment(applications: usize) -> (Deployment, TestNode) {
    let deployment = Deployment::start(0, applications).await;
    deployment.log.write_operators(patient_routes());
    let node = deployment.node("a").await;
    wait_until("the node knows the routes", || {
        node.context()
            .routes()
            .is_some_and(|table| table.version() == 2)
    })
    .await;
    (deployment, node)
}

/// The answer's status and the time after which the caller may come back; it must come at once.
async fn quick_answer(node: &TestNode, path: &str) -> (u16, Option<String>) {
    let asked = Instant::now();
    let headers = [("x-id", "call"), ("x-deadline", "18000")];
    let answer = send(node.callers, Method::POST, path, &headers, "").await;
    let answer = answer.unwrap();
    let took = asked.elapsed();
    assert!(took < AT_ONCE, "{path}: answered after {took:?}");
    let retry_after = answer.headers.get("retry-after");
    let retry_after = retry_after.map(|value| value.to_str().unwrap().to_owned());
    (answer.status.as_u16(), retry_after)
}

#[tokio::test]
async fn a_call_to_a_pool_without_back_ends_is_refused_at_once() {
    let (_deployment, node) = patient_deployment(0).await;
    for path in ["/calls/path", "/once/path", "/streams/s"] {
        let expected = (503, Some("5.000".to_owned()));
        assert_eq!(quick_answer(&node, path).await, expected, "{path}");
    }
}

/// Back ends that drain take nothing, so they are as good as none.
#[tokio::test]
async fn a_call_to_a_pool_that_drains_is_refused_at_once() {
    let (deployment, node) = patient_deployment(2).await;
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
    assert_eq!(quick_answer(&node, "/calls/path").await, expected);
}

/// What happened: a call failed at the last back end of its pool, which was then gone. It might have
/// run, so it was not refused, but tried every 8 ms until its deadline.
#[tokio::test]
async fn a_call_that_failed_at_the_last_back_end_ends_with_the_failure() {
    let (deployment, node) = patient_deployment(1).await;
    let backend = deployment.applications[0].clone();
    backend.behave(|told| told.call = CallBehaviour::Silent);
    let address = node.callers;
    let answer = tokio::spawn(async move {
        let headers = [("x-id", "call"), ("x-deadline", "18000")];
        send(address, Method::POST, "/calls/path", &headers, "").await
    });
    wait_until("the call has come", || backend.in_flight() == 1).await;
    deployment.log.write_backends(gone(&backend.id));
    wait_until("the node knows that it is gone", || {
        node.context().backends.lock().list.is_empty()
    })
    .await;
    backend.break_connections();
    let answered = tokio::time::timeout(AT_ONCE, answer).await;
    let answer = answered
        .expect("the answer comes at once")
        .unwrap()
        .unwrap();
    assert_eq!(answer.status, 502);
}

fn gone(id: &str) -> DirectoryEntry {
    DirectoryEntry::Backend(BackendChange {
        name: BackendName::from(id),
        record: None,
    })
}

/// A node that has just started knows its routes, but not its back ends yet: it waits for these.
#[tokio::test]
async fn a_call_waits_for_the_list_of_back_ends() {
    let log = MemoryLog::new();
    log.write_operators(patient_routes());
    let backend = StandInBackend::start("application-0").await;
    // Each page holds one entry, and every second page is refused at first.
    for at in 0..8 {
        log.write_backends(gone(&format!("former-{at}")));
    }
    log.write_backends(listed(&backend, APPLICATIONS, false));
    let faults = LogFaults {
        throttles_listings: true,
        ..LogFaults::default()
    };
    let node = TestNode::start_with(NodeLog::with_faults(&log, faults), "a").await;
    wait_until("the node knows the routes", || {
        node.context().routes().is_some()
    })
    .await;
    assert_eq!(call(node.callers, "call", "/calls/path").await.status, 200);
}
