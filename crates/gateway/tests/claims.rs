//! Batches and streams that compete for engines: the more urgent ones run first, and engines receive their urgency.

mod support;

use std::time::Duration;

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::access::Tenant;
use havenstage_rollout::ids::{ApiKey, TenantName};
use havenstage_rollout::residency::Residency;
use http::Method;
use support::caller::{call, send, submit, submit_to};
use support::deployment::{Deployment, TestNode, routing, wait_until};

const LARGE_BATCH_ITEMS: usize = 40;
const URGENT_ITEMS: usize = 6;

/// One engine with eight slots whose items take half a second, and one route that is more urgent than the others.
async fn start_with_one_engine() -> (Deployment, TestNode) {
    let deployment = Deployment::start(1, 0).await;
    let mut config = routing(2);
    for route in &mut config.routes {
        route.priority = if route.name == "single" { 0 } else { 2 };
    }
    write_routing(&deployment, config);
    deployment.engines[0].behave(|behaviour| {
        behaviour.event_pause = Duration::from_millis(125);
        behaviour.events = 4;
    });
    let node = deployment.node("a").await;
    wait_for_routes(&node, 2).await;
    (deployment, node)
}

fn write_routing(deployment: &Deployment, config: havenstage_rollout::route::RoutingConfig) {
    deployment
        .log
        .write_operators(DirectoryEntry::Routing(config));
}

async fn wait_for_routes(node: &TestNode, version: u64) {
    wait_until("the node knows the routes", || {
        let table = node.context().routes();
        table.is_some_and(|table| table.version() == version)
    })
    .await;
}

fn items(prefix: &str, count: usize) -> String {
    let lines = (0..count).map(|at| format!("{prefix}{at} {prefix}{at} 4 -\n"));
    format!("1\n{}", lines.collect::<String>())
}

#[tokio::test]
async fn an_urgent_batch_does_not_wait_behind_a_large_one() {
    let (deployment, node) = start_with_one_engine().await;
    let engine = &deployment.engines[0];
    assert_eq!(
        submit(node.callers, "flood", &items("flood", LARGE_BATCH_ITEMS)).await,
        202
    );
    wait_until("all slots are taken", || engine.seen().len() >= 8).await;
    let urgent = items("urgent", URGENT_ITEMS);
    let path = "/batches/single/b";
    assert_eq!(submit_to(node.callers, path, "urgent", &urgent).await, 202);
    wait_until("the urgent items run", || {
        let seen = engine.seen();
        seen.iter()
            .filter(|seen| seen.path.contains("urgent"))
            .count()
            == URGENT_ITEMS
    })
    .await;
    let seen = engine.seen();
    let last_urgent = seen.iter().rposition(|seen| seen.path.contains("urgent"));
    let before = &seen[..last_urgent.unwrap()];
    let less_urgent = before
        .iter()
        .filter(|seen| seen.path.contains("flood"))
        .count();
    // Eight items ran when the urgent batch was submitted. Eight more may have taken their slots before the node read
    // the urgent batch.
    assert!(
        less_urgent <= 16,
        "{less_urgent} of {LARGE_BATCH_ITEMS} less urgent items ran first"
    );
    let urgency = |item: &str| {
        let seen = seen.iter().find(|seen| seen.path.contains(item)).unwrap();
        seen.header("x-urgency").unwrap().to_owned()
    };
    assert_eq!(
        (urgency("urgent").as_str(), urgency("flood").as_str()),
        ("0", "4")
    );
}

#[tokio::test]
async fn a_stream_request_carries_the_urgency_of_its_caller() {
    let (deployment, node) = start_with_one_engine().await;
    let urgency = || {
        let seen = deployment.engines[0].seen().pop().unwrap();
        seen.header("x-urgency").unwrap().to_owned()
    };
    assert_eq!(call(node.callers, "s1", "/streams/path").await.status, 200);
    assert_eq!(urgency(), "4", "urgency of its route");
    let mut config = routing(3);
    config.tenants = vec![Tenant {
        name: TenantName::from("first"),
        keys: vec![ApiKey::from("key".to_owned())],
        priority: Some(1),
        residency: Residency::anywhere(),
    }];
    write_routing(&deployment, config);
    wait_for_routes(&node, 3).await;
    let headers = [("x-id", "s2"), ("x-deadline", "5000"), ("x-key", "key")];
    let answer = send(
        node.callers,
        Method::POST,
        "/streams/path",
        &headers,
        "call",
    )
    .await;
    assert_eq!(answer.unwrap().status, 200);
    assert_eq!(urgency(), "2", "urgency of its tenant");
}
