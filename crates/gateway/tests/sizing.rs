//! The holder of the order lease orders pool sizes, and the next holder repeats the orders.

mod support;

use std::sync::Arc;
use std::time::Duration;

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_gateway::settings::{OperationsSettings, Settings};
use havenstage_rollout::ids::{MachineName, ZoneName};
use havenstage_rollout::route::RoutingConfig;
use havenstage_rollout::sizing::PoolScaling;
use support::caller::submit;
use support::deployment::{Deployment, ENGINES, TestNode, routing, settings, wait_until};
use support::dialect::write_batch;
use support::log::NodeLog;
use support::operations::StandInOperations;

/// Settings with automatic sizing of pools.
fn autoscale_settings(name: &str) -> Settings {
    let mut settings = settings(name);
    settings.operations = Some(OperationsSettings {
        address: "127.0.0.1:1".parse().unwrap(),
        metering: false,
        autoscale: true,
    });
    settings
}

/// Routing in which the engine pool can be resized and batches are due almost at once.
fn scaled_routing() -> RoutingConfig {
    let mut config = routing(2);
    for route in &mut config.routes {
        route.due_ms = Some(100);
    }
    for pool in &mut config.pools {
        pool.scaling = (pool.name.as_str() == ENGINES).then(|| PoolScaling {
            min_backends: 1,
            max_backends: 9,
            boot_ms: 60_000,
            zone_prices: [(ZoneName::from("zone"), 1.0)].into(),
        });
    }
    config
}

async fn start(deployment: &Deployment, platform: &Arc<StandInOperations>, name: &str) -> TestNode {
    let log = NodeLog::new(&deployment.log);
    let node =
        TestNode::start_with_operations(log, autoscale_settings(name), Some(platform.clone()))
            .await;
    node.wait_until_known(2).await;
    node
}

#[tokio::test]
async fn each_holder_orders_a_larger_size_once_for_a_full_pool_that_is_behind() {
    let (deployment, platform) = (Deployment::start(1, 1).await, StandInOperations::new());
    deployment
        .log
        .write_operators(DirectoryEntry::Routing(scaled_routing()));
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_secs(600));
    let (mut first, mut second) = (
        start(&deployment, &platform, "a").await,
        start(&deployment, &platform, "b").await,
    );
    assert!(
        platform.sizes().is_empty(),
        "nothing is ordered without load"
    );
    let items: Vec<String> = (0..12).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, &str)> = items.iter().map(|item| (item.as_str(), "g")).collect();
    let body = write_batch(1, &items, false);
    assert_eq!(submit(first.callers, "batch", &body).await, 202);
    wait_until("a larger size is ordered", || !platform.sizes().is_empty()).await;
    let (order, fence) = platform.sizes()[0].clone();
    assert_eq!((order.zone.as_str(), order.size), ("zone", 2));
    let holder = {
        let inner = first.context().control.lock();
        inner.state.lease().holder().unwrap().machine.clone()
    };
    if holder == MachineName::from("a") {
        first.kill()
    } else {
        second.kill()
    };
    wait_until("the next holder orders it too", || {
        platform.sizes().len() > 1
    })
    .await;
    let (again, next_fence) = platform.sizes()[1].clone();
    assert_eq!(again, order);
    assert!(next_fence > fence, "{next_fence} after {fence}");
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(platform.sizes().len(), 2);
}
