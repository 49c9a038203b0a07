//! Reward calls to a pool with few slots, when all items of a training step end together.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::ids::PoolName;
use havenstage_rollout::route::RoutingConfig;
use support::backend::{CallBehaviour, StandInBackend};
use support::caller::{call, submit, wait_for_results};
use support::deployment::{APPLICATIONS, Deployment, listed, routing, wait_until};
use support::dialect::{write_batch, write_batch_with_rewards};

/// Items of the step.
const ITEMS: usize = 150;
/// Calls that an application runs at a time.
const SLOTS: usize = 2;
/// Time that each call takes.
const CALL_TIME: Duration = Duration::from_millis(20);
/// Callers' requests that are sent in the meantime.
const CALLS: usize = 30;

/// Ids of a step's items, which start with `prefix`.
fn item_ids(prefix: &str) -> Vec<String> {
    (0..ITEMS).map(|at| format!("{prefix}{at}")).collect()
}

/// Items with these ids, all of one group.
fn items(ids: &[String]) -> Vec<(&str, &str)> {
    ids.iter().map(|id| (id.as_str(), "g")).collect()
}

/// Without a limit on the reward calls in flight, these 150 calls are rejected 3,421 and 3,900 times (two runs); with
/// it 190 times.
#[tokio::test]
async fn reward_calls_leave_slots_to_callers() {
    let deployment = Deployment::start(20, 2).await;
    let node = deployment.node("a").await;
    for application in &deployment.applications {
        application.behave(|behaviour| {
            behaviour.slots = Some(SLOTS);
            behaviour.call_time = CALL_TIME;
        });
    }
    let body = write_batch(1, &items(&item_ids("i")), true);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    let mut served = 0;
    for at in 0..CALLS {
        let answer = call(node.callers, &format!("call-{at}"), "/calls/a").await;
        served += usize::from(answer.status == 200);
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    wait_for_results(node.callers, "batch", ITEMS).await;
    let rejected: usize = deployment
        .applications
        .iter()
        .map(|application| application.rejected_calls())
        .sum();
    println!("{served} of {CALLS} calls served, {rejected} rejected");
    assert!(served * 10 >= CALLS * 9, "{served} of {CALLS} served");
    assert!(rejected < 2 * ITEMS, "{rejected} were rejected");
}

/// While reward calls wait for a permit, a new configuration moves their route to another pool. Calls that get a
/// permit later must not go to the old pool.
#[tokio::test]
async fn a_reward_call_that_waited_uses_the_current_route() {
    let deployment = Deployment::start(20, 2).await;
    let node = deployment.node("a").await;
    for application in &deployment.applications {
        application.behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    }
    let body = write_batch(1, &items(&item_ids("i")), true);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    let sent_ids = || -> BTreeSet<String> {
        let applications = deployment.applications.iter();
        let seen = applications.flat_map(|application| application.seen());
        seen.filter_map(|call| call.header("x-id").map(str::to_owned))
            .collect()
    };
    wait_until("some reward calls are sent", || sent_ids().len() >= 4).await;
    let mut config = routing(2);
    for route in &mut config.routes {
        if route.name == "calls" {
            route.pools[0].pool = PoolName::from("elsewhere");
        }
    }
    deployment
        .log
        .write_operators(DirectoryEntry::Routing(config));
    wait_until("the configuration is in force", || {
        let table = node.context().routes();
        table.is_some_and(|table| table.version() == 2)
    })
    .await;
    let in_flight_ids = sent_ids();
    for application in &deployment.applications {
        application.break_connections();
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for application in &deployment.applications {
        application.break_connections();
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    // Calls in flight at the change may be sent once more to the old pool; no other call goes there.
    assert_eq!(sent_ids(), in_flight_ids);
}

/// Pool of one fast application.
const QUICK_POOL: &str = "quick";
/// Path prefix of the route to that pool.
const QUICK_PATH: &str = "/calls/quick/";

/// The default routes and one more, to the fast pool.
fn routing_with_quick_pool() -> RoutingConfig {
    let mut config = routing(2);
    let mut pools = config.pools.iter();
    let mut pool = pools
        .find(|pool| pool.name.as_str() == APPLICATIONS)
        .cloned()
        .unwrap();
    pool.name = PoolName::from(QUICK_POOL);
    config.pools.push(pool);
    let mut routes = config.routes.iter();
    let mut route = routes.find(|route| route.name == "calls").cloned().unwrap();
    route.name = "quick calls".to_owned();
    route.path_prefix = QUICK_PATH.to_owned();
    route.pools[0].pool = PoolName::from(QUICK_POOL);
    config.routes.push(route);
    config
}

/// Many reward calls wait for a pool whose application is slow. They must not delay reward calls to another pool.
/// With one queue for all pools the calls to the fast pool take 14.2 s (one run), with one queue for each pool 0.3
/// to 0.4 s (three runs).
#[tokio::test]
async fn reward_calls_to_a_slow_pool_delay_no_other_pool() {
    let deployment = Deployment::start(20, 1).await;
    let slow = &deployment.applications[0];
    slow.behave(|behaviour| behaviour.call_time = Duration::from_millis(1_500));
    let quick = StandInBackend::start("quick-0").await;
    quick.behave(|behaviour| behaviour.call_time = CALL_TIME);
    let log = &deployment.log;
    log.write_backends(listed(&quick, QUICK_POOL, false));
    log.write_operators(DirectoryEntry::Routing(routing_with_quick_pool()));
    let node = deployment.node_with_known_backends("a", 22).await;
    let body = write_batch(1, &items(&item_ids("slow")), true);
    assert_eq!(submit(node.callers, "slow", &body).await, 202);
    wait_until("the slow pool is full", || slow.seen().len() >= 4).await;
    // By then all items of the slow batch wait for a permit.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let reward_path = format!("{QUICK_PATH}reward");
    let body = write_batch_with_rewards(1, &items(&item_ids("quick")), &reward_path);
    assert_eq!(submit(node.callers, "quick", &body).await, 202);
    let began = Instant::now();
    wait_for_results(node.callers, "quick", ITEMS).await;
    let took = began.elapsed();
    println!("took {took:?}");
    assert!(took < Duration::from_secs(2), "took {took:?}");
}
