//! Which back ends may receive requests: none in evacuated zones, none in regions that a route does not allow, and
//! cold back ends only at a limited rate.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::backend::BackendRecord;
use havenstage_rollout::ids::{RegionName, ZoneName};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::route::RoutingConfig;
use havenstage_rollout::slow_start::ColdLimit;
use support::backend::StandInBackend;
use support::caller::{call, submit, wait_for_results};
use support::deployment::{
    APPLICATIONS, Deployment, ENGINES, TestNode, entry, listed, record, routing, settings,
    wait_until,
};
use support::dialect::write_batch;
use support::log::NodeLog;

const COLD_LIMIT: ColdLimit = ColdLimit {
    duration_ms: 2_500,
    requests_per_s: 8.0,
};

fn in_zone(backend: &StandInBackend, pool: &str, zone: &str) -> DirectoryEntry {
    let record = BackendRecord {
        zone: zone.to_owned(),
        ..record(backend, pool)
    };
    entry(backend, record)
}

fn evacuation(is_requested: bool) -> DirectoryEntry {
    DirectoryEntry::Evacuation {
        zone: ZoneName::from("other"),
        is_requested,
    }
}

async fn set_evacuated(deployment: &Deployment, node: &TestNode, is_requested: bool) {
    deployment.log.write_operators(evacuation(is_requested));
    wait_until("the node knows of the change", || {
        let backends = node.context().backends.lock();
        backends.list.evacuated().is_empty() != is_requested
    })
    .await;
}

async fn assert_calls_served(node: &TestNode, count: usize) {
    for at in 0..count {
        let answer = call(node.callers, &format!("c{at}"), "/calls/path").await;
        assert_eq!(answer.status, 200);
    }
}

/// Submits a batch with reward calls and waits for all its results.
async fn run_batch(node: &TestNode) {
    let items: Vec<String> = (0..8).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, &str)> = items.iter().map(|item| (item.as_str(), "g")).collect();
    let body = write_batch(1, &items, true);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    wait_for_results(node.callers, "batch", items.len()).await;
}

#[tokio::test]
async fn an_evacuated_zone_gets_neither_calls_nor_items_until_it_is_taken_back() {
    let deployment = Deployment::start(2, 2).await;
    let (engine, application) = (&deployment.engines[0], &deployment.applications[0]);
    let log = &deployment.log;
    log.write_backends(in_zone(engine, ENGINES, "other"));
    log.write_backends(in_zone(application, APPLICATIONS, "other"));
    let node = deployment.node("a").await;
    wait_until("the node knows the zones", || {
        let backends = node.context().backends.lock();
        backends.list.in_zone(&ZoneName::from("other")).count() == 2
    })
    .await;
    set_evacuated(&deployment, &node, true).await;
    assert_calls_served(&node, 10).await;
    run_batch(&node).await;
    assert_eq!(engine.seen().len(), 0, "no item");
    assert_eq!(application.seen().len(), 0, "no call and no reward call");
    set_evacuated(&deployment, &node, false).await;
    let other = &deployment.applications[1];
    deployment
        .log
        .write_backends(listed(other, APPLICATIONS, true));
    wait_until("the node knows that the other application leaves", || {
        let backends = node.context().backends.lock();
        backends.list.ready_in(&APPLICATIONS.into()).count() == 1
    })
    .await;
    assert_calls_served(&node, 10).await;
    assert_eq!(application.seen().len(), 10);
}

/// The listing that a starting node reads shows the evacuations in force, not those that were revoked.
#[tokio::test]
async fn a_node_that_starts_knows_of_an_evacuation() {
    let deployment = Deployment::start(1, 1).await;
    deployment.log.write_operators(evacuation(true));
    let node = deployment.node("a").await;
    wait_until("the node knows of the evacuation", || {
        let backends = node.context().backends.lock();
        !backends.list.evacuated().is_empty()
    })
    .await;
}

fn routing_with(change: impl FnOnce(&mut RoutingConfig)) -> DirectoryEntry {
    let mut config = routing(2);
    change(&mut config);
    DirectoryEntry::Routing(config)
}

fn restricted_to(region: &'static str) -> DirectoryEntry {
    routing_with(|config| {
        for route in &mut config.routes {
            route.residency = Residency::of([RegionName::from(region)]);
        }
    })
}

async fn node_in_two_regions(deployment: &Deployment) -> TestNode {
    let mut settings = settings("a");
    settings.regions = [("zone", "west"), ("other", "east")]
        .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
        .into();
    let node = TestNode::start_with_settings(NodeLog::new(&deployment.log), settings).await;
    node.wait_until_known(deployment.engines.len() + deployment.applications.len())
        .await;
    node
}

#[tokio::test]
async fn requests_stay_in_the_regions_of_their_route() {
    let deployment = Deployment::start(2, 2).await;
    let (engine, application) = (&deployment.engines[0], &deployment.applications[0]);
    deployment
        .log
        .write_backends(in_zone(engine, ENGINES, "other"));
    deployment
        .log
        .write_backends(in_zone(application, APPLICATIONS, "other"));
    deployment.log.write_operators(restricted_to("west"));
    let node = node_in_two_regions(&deployment).await;
    assert_calls_served(&node, 10).await;
    run_batch(&node).await;
    assert_eq!(engine.seen().len(), 0, "no item");
    assert_eq!(application.seen().len(), 0, "no call and no reward call");
}

#[tokio::test]
async fn a_node_in_a_region_that_is_not_allowed_runs_no_batch() {
    let deployment = Deployment::start(1, 1).await;
    deployment.log.write_operators(restricted_to("east"));
    let node = node_in_two_regions(&deployment).await;
    let body = write_batch(1, &[("i", "g")], false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(!node.context().holds(&"batch".into()));
    assert_eq!(deployment.engines[0].seen().len(), 0);
    let answer = call(node.callers, "c", "/calls/path").await;
    assert_eq!(answer.status, 503, "no application is in an allowed region");
}

fn cold_entry(backend: &Arc<StandInBackend>) -> DirectoryEntry {
    let record = BackendRecord {
        cold_left_ms: COLD_LIMIT.duration_ms,
        ..record(backend, ENGINES)
    };
    entry(backend, record)
}

#[tokio::test]
async fn a_cold_engine_gets_half_of_its_rate_until_it_is_warm() {
    let deployment = Deployment::start(1, 0).await;
    let engine = &deployment.engines[0];
    deployment.log.write_operators(routing_with(|config| {
        for pool in &mut config.pools {
            pool.cold_limit = Some(COLD_LIMIT);
        }
    }));
    deployment.log.write_backends(cold_entry(engine));
    let began = Instant::now();
    let node = deployment.node("a").await;
    let items: Vec<String> = (0..40).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, &str)> = items.iter().map(|item| (item.as_str(), "g")).collect();
    let body = write_batch(1, &items, false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    wait_until("the first items run", || engine.seen().len() >= 4).await;
    // The next four items may start one second after the first four.
    while began.elapsed() < Duration::from_millis(900) {
        assert_eq!(engine.seen().len(), 4, "within a second");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    wait_for_results(node.callers, "batch", items.len()).await;
    let took = began.elapsed();
    assert!(took > Duration::from_millis(2_300), "{took:?}");
}
