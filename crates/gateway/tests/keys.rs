//! Callers' API keys: which callers are denied, what back ends learn of the caller, and which batches a caller can
//! reach.

mod support;

use std::sync::Arc;

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::access::Tenant;
use havenstage_rollout::ids::{ApiKey, TenantName};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::route::RoutingConfig;
use http::Method;
use support::backend::ReceivedRequest;
use support::caller::{send, text};
use support::deployment::{Deployment, TestNode, routing, wait_until};
use support::dialect::write_batch;
use support::log::{LogFaults, NodeLog};

const PUBLIC_ROUTE: &str = "patient";

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: TenantName::from(name),
        keys: keys
            .iter()
            .map(|key| ApiKey::from((*key).to_owned()))
            .collect(),
        priority: None,
        residency: Residency::anywhere(),
    }
}

/// Routing configuration with these tenants, in which one route is public.
fn with_tenants(version: u64, tenants: Vec<Tenant>) -> RoutingConfig {
    let mut config = routing(version);
    for route in &mut config.routes {
        route.is_public = route.name == PUBLIC_ROUTE;
    }
    RoutingConfig { tenants, ..config }
}

/// Starts a deployment with these tenants and a node that has read them.
async fn deployment(tenants: Vec<Tenant>) -> (Deployment, TestNode) {
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    configure(&deployment, &node, with_tenants(2, tenants)).await;
    (deployment, node)
}

async fn configure(deployment: &Deployment, node: &TestNode, config: RoutingConfig) {
    let version = config.version;
    deployment
        .log
        .write_operators(DirectoryEntry::Routing(config));
    wait_until("the configuration is in force", || {
        let table = node.context().routes();
        table.is_some_and(|table| table.version() == version)
    })
    .await;
}

async fn call(node: &TestNode, path: &str, headers: &[(&str, &str)]) -> u16 {
    let headers: Vec<(&str, &str)> = [("x-id", "call"), ("x-deadline", "5000")]
        .into_iter()
        .chain(headers.iter().copied())
        .collect();
    let answer = send(node.callers, Method::POST, path, &headers, "call").await;
    answer.unwrap().status.as_u16()
}

fn last_seen(deployment: &Deployment) -> ReceivedRequest {
    deployment.applications[0].seen().pop().unwrap()
}

#[tokio::test]
async fn a_call_needs_a_key_of_a_tenant() {
    let (deployment, node) = deployment(vec![tenant("water", &["k1"])]).await;
    for headers in [
        vec![],
        vec![("x-key", "unknown")],
        vec![("x-key", "")],
        vec![("x-key", "k1"), ("x-key", "k1")],
        vec![("x-tenant", "water")],
    ] {
        assert_eq!(call(&node, "/calls/a", &headers).await, 401, "{headers:?}");
    }
    assert!(deployment.applications[0].seen().is_empty());
    assert_eq!(call(&node, "/nowhere/a", &[("x-key", "k1")]).await, 404);
    assert_eq!(call(&node, "/calls/a", &[("x-key", "k1")]).await, 200);
}

#[tokio::test]
async fn a_back_end_receives_the_tenant_and_never_the_key() {
    let (deployment, node) = deployment(vec![tenant("water", &["k1"])]).await;
    let headers = [("x-key", "k1"), ("x-tenant", "somebody else")];
    assert_eq!(call(&node, "/calls/a", &headers).await, 200);
    let seen = last_seen(&deployment);
    assert_eq!(seen.header("x-tenant"), Some("water"));
    assert_eq!(seen.header("x-key"), None);
}

#[tokio::test]
async fn a_public_route_requires_no_key() {
    let (deployment, node) = deployment(vec![tenant("water", &["k1"])]).await;
    let forged = [("x-tenant", "water")];
    assert_eq!(call(&node, "/patient/a", &forged).await, 200);
    assert_eq!(last_seen(&deployment).header("x-tenant"), None);
    assert_eq!(
        call(&node, "/patient/a", &[("x-key", "unknown")]).await,
        401
    );
}

#[tokio::test]
async fn a_key_that_is_taken_away_or_added_counts_with_the_configuration() {
    let (deployment, node) = deployment(vec![tenant("water", &["k1"])]).await;
    assert_eq!(call(&node, "/calls/a", &[("x-key", "k1")]).await, 200);
    let next = with_tenants(3, vec![tenant("water", &["k2"])]);
    configure(&deployment, &node, next).await;
    assert_eq!(call(&node, "/calls/a", &[("x-key", "k1")]).await, 401);
    assert_eq!(call(&node, "/calls/a", &[("x-key", "k2")]).await, 200);
}

async fn submit(node: &TestNode, batch: &str, key: &str) -> u16 {
    let headers = [("x-id", batch), ("x-key", key)];
    let body = write_batch(1, &[("i1", "g"), ("i2", "g")], true);
    let answer = send(node.callers, Method::POST, "/batches/b", &headers, body).await;
    answer.unwrap().status.as_u16()
}

/// Status and body of a request on a batch.
async fn batch_request(node: &TestNode, method: Method, path: &str, key: &str) -> (u16, String) {
    let headers = [("x-key", key), ("x-wait", "300")];
    let answer = send(node.callers, method, path, &headers, "")
        .await
        .unwrap();
    (answer.status.as_u16(), text(&answer))
}

#[tokio::test]
async fn items_carry_their_batchs_tenant_and_reward_calls_none() {
    let (deployment, node) = deployment(vec![tenant("water", &["k1", "k2"])]).await;
    assert_eq!(submit(&node, "batch", "unknown").await, 401);
    assert_eq!(submit(&node, "batch", "k1").await, 202);
    wait_until("all items are rewarded", || {
        deployment.applications[0].seen().len() == 2
    })
    .await;
    let items = deployment.engines[0].seen();
    assert!(
        items
            .iter()
            .all(|item| item.header("x-tenant") == Some("water") && item.header("x-key").is_none()),
        "{items:?}"
    );
    let rewards = deployment.applications[0].seen();
    assert!(rewards.iter().all(|call| call.header("x-tenant").is_none()));
    let (status, _) = batch_request(&node, Method::GET, "/results/batch?from=0", "k2").await;
    assert_eq!(status, 200, "another key of the same tenant");
}

#[tokio::test]
async fn a_batch_outlives_the_key_it_was_submitted_with() {
    let (deployment, node) = deployment(vec![tenant("water", &["k1", "k2"])]).await;
    assert_eq!(submit(&node, "batch", "k1").await, 202);
    let next = with_tenants(3, vec![tenant("water", &["k2"])]);
    configure(&deployment, &node, next).await;
    wait_until("all items are rewarded", || {
        deployment.applications[0].seen().len() == 2
    })
    .await;
    let read = |key| batch_request(&node, Method::GET, "/results/batch?from=0", key);
    assert_eq!(read("k1").await.0, 401);
    assert_eq!(read("k2").await.0, 200);
}

#[tokio::test]
async fn another_tenants_batch_does_not_exist() {
    let tenants = vec![tenant("water", &["k1"]), tenant("power", &["k2"])];
    let (deployment, node) = deployment(tenants).await;
    let other = deployment.node("b").await;
    configure(
        &deployment,
        &other,
        with_tenants(3, vec![tenant("water", &["k1"]), tenant("power", &["k2"])]),
    )
    .await;
    deployment.engines[0]
        .behave(|behaviour| behaviour.event_pause = std::time::Duration::from_secs(60));
    assert_eq!(submit(&node, "batch", "k1").await, 202);
    for node in [&node, &other] {
        for path in ["/results/batch?from=0", "/results/batch?item=i1"] {
            assert_eq!(
                batch_request(node, Method::GET, path, "k2").await.0,
                404,
                "{path}"
            );
            assert_eq!(
                batch_request(node, Method::GET, path, "k1").await.0,
                200,
                "{path}"
            );
            assert_eq!(
                batch_request(node, Method::GET, path, "none").await.0,
                401,
                "{path}"
            );
        }
    }
    // Whatever the answer is, another tenant's request to end the batch changes nothing.
    batch_request(&other, Method::DELETE, "/results/batch", "k2").await;
    let (status, body) = batch_request(&node, Method::GET, "/results/batch?item=i1", "k1").await;
    assert_eq!((status, body.as_str()), (200, "body of i1"));
    let ended = batch_request(&other, Method::DELETE, "/results/batch", "k1").await;
    assert_eq!(ended.0, 200);
    wait_until("the items are dropped", || {
        deployment.engines[0].in_flight() == 0
    })
    .await;
}

/// A batch whose items have the same names as those of another tenant's batch gets none of that batch's output.
#[tokio::test]
async fn kept_output_stays_with_its_tenant() {
    let tenants = vec![tenant("water", &["k1"]), tenant("power", &["k2"])];
    let (deployment, node) = deployment(tenants).await;
    assert_eq!(submit(&node, "first", "k1").await, 202);
    let engine: &Arc<_> = &deployment.engines[0];
    wait_until("the first batch has run", || engine.seen().len() == 2).await;
    wait_until("the first batch is rewarded", || {
        deployment.applications[0].seen().len() == 2
    })
    .await;
    assert_eq!(submit(&node, "second", "k2").await, 202);
    wait_until("the second batch runs its own items", || {
        engine.seen().len() == 4
    })
    .await;
    assert!(
        engine.seen()[2..]
            .iter()
            .all(|item| item.header("x-tenant") == Some("power"))
    );
}

/// A node that has just started and has no configuration yet cannot tell to which tenant a key belongs. It answers 503,
/// which reveals neither that the batch exists nor that it doesn't, and ends no batch.
#[tokio::test]
async fn a_node_without_a_configuration_hides_tenants_batches_and_ends_none() {
    let (deployment, node) = deployment(vec![tenant("water", &["k1"])]).await;
    deployment.engines[0]
        .behave(|behaviour| behaviour.event_pause = std::time::Duration::from_secs(60));
    assert_eq!(submit(&node, "batch", "k1").await, 202);
    let log = NodeLog::new(&deployment.log);
    log.set_faults(LogFaults {
        refuses_listings: true,
        ..LogFaults::default()
    });
    let fresh = TestNode::start_with_log(log, "b").await;
    for path in ["/results/batch?from=0", "/results/batch?item=i1"] {
        for key in ["k1", "none"] {
            let (status, _) = batch_request(&fresh, Method::GET, path, key).await;
            assert_eq!(status, 503, "{path} {key}");
        }
    }
    let ended = batch_request(&fresh, Method::DELETE, "/results/batch", "k1").await;
    assert_eq!(ended.0, 503);
    let (status, _) = batch_request(&node, Method::GET, "/results/batch?item=i1", "k1").await;
    assert_eq!(status, 200, "the batch was not ended");
}
