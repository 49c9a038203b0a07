//! Items and reward calls under which back ends crash are still owed: they are run again when the back ends are back.
//!
//! Back ends crash in series, for reasons of their own, while they run the same harmless item. If the item were judged
//! like a caller's request, it would be barred after the third crash and not placed again, although the pool has recovered
//! and has room: its group stays open until the batch ends. In the log, this shows as `request_refused_as_barred` with the
//! item's id.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use havenstage_rollout::backoff::Backoff;
use support::backend::{CallBehaviour, ConnectionsAtEnd, StandInBackend};
use support::caller::{results, submit, wait_for_results};
use support::deployment::{Deployment, TestNode, wait_until};
use support::dialect::write_batch;
use support::ends::{HARMFUL_PATH_PART, count_ended, count_known_ends, end_on_harmful_requests};
use support::log::LogFaults;

/// Number of back ends that crash under one item: more than bar a caller's request.
const CRASHES: usize = 4;
/// Number of engines beside an item that ends them: more than its runs.
const MANY_ENGINES: usize = 12;
/// Time in which an item is placed again once all is calm.
const PLACEMENT_TIME: Duration = Duration::from_secs(5);

/// Lets the back ends that run a request crash, one after the other.
async fn crash_in_series(backends: &[Arc<StandInBackend>]) {
    for number in 1..=CRASHES {
        let running =
            |backend: &&Arc<StandInBackend>| !backend.has_ended() && backend.in_flight() > 0;
        wait_until(&format!("a back end runs it for crash {number}"), || {
            backends.iter().any(|backend| running(&backend))
        })
        .await;
        if let Some(backend) = backends.iter().find(running) {
            backend.end();
        }
    }
}

async fn submit_one_item(node: &TestNode, item: &str, has_reward: bool) {
    let body = write_batch(1, &[(item, "g1")], has_reward);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
}

/// Waits for the only result of the batch.
async fn wait_until_completed(node: &TestNode) {
    let calm_since = Instant::now();
    let lines = wait_for_results(node.callers, "batch", 1).await;
    let took = calm_since.elapsed();
    assert!(lines[0].contains("|completed|"), "{lines:?}");
    assert!(took < PLACEMENT_TIME, "completed after {took:?}");
}

#[tokio::test]
async fn an_item_that_back_ends_ran_as_they_crashed_is_completed() {
    let deployment = Deployment::start(8, 0).await;
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.event_pause = Duration::from_millis(150));
    }
    let node = deployment.node("a").await;
    submit_one_item(&node, "i1", false).await;
    crash_in_series(&deployment.engines).await;
    wait_until_completed(&node).await;
}

#[tokio::test]
async fn an_item_whose_reward_call_ran_as_applications_crashed_is_completed() {
    let deployment = Deployment::start(1, 8).await;
    for application in &deployment.applications {
        application.behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    }
    let node = deployment.node("a").await;
    submit_one_item(&node, "i1", true).await;
    crash_in_series(&deployment.applications).await;
    for application in &deployment.applications {
        application.behave(|behaviour| behaviour.call = CallBehaviour::Answer);
        application.break_connections();
    }
    wait_until_completed(&node).await;
}

/// Maximum number of runs of an item that never makes progress, by the time since its first one.
fn max_runs(elapsed: Duration) -> usize {
    let mut backoff = Backoff::default();
    let mut next_run_at = Duration::ZERO;
    let mut runs = 0;
    while next_run_at <= elapsed {
        runs += 1;
        backoff.record_failure();
        next_run_at += Duration::from_millis(backoff.pause_ms());
    }
    runs
}

/// Submits an item whose runs end one engine after the other, which no trainer hands in, beside two harmless items. Checks
/// that the others are completed, that the harmful one is run with pauses, and that it is not reported as given up early.
async fn run_harmful_item_with_pauses(deployment: &Deployment, nodes: &[TestNode]) {
    let harmful = format!("{HARMFUL_PATH_PART}-1");
    let items = [(harmful.as_str(), "g1"), ("i2", "g2"), ("i3", "g2")];
    let body = write_batch(1, &items, false);
    let submitted_at = Instant::now();
    assert_eq!(submit(nodes[0].callers, "batch", &body).await, 202);
    wait_for_results(nodes[0].callers, "batch", 2).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let (_, lines) = results(nodes[0].callers, "batch", 0).await;
    assert!(
        lines
            .iter()
            .all(|line| !line.starts_with(HARMFUL_PATH_PART)),
        "{lines:?}"
    );
    let ended = count_ended(&deployment.engines);
    let most = max_runs(submitted_at.elapsed());
    assert!(ended <= most, "{ended} back ends ended, {most} at most");
}

#[tokio::test]
async fn an_item_that_ends_back_ends_is_run_with_pauses() {
    let deployment = Deployment::start(MANY_ENGINES, 0).await;
    end_on_harmful_requests(&deployment.engines);
    let nodes = [deployment.node("a").await, deployment.node("b").await];
    run_harmful_item_with_pauses(&deployment, &nodes).await;
}

/// The same if connections to an engine that has ended stay open for a moment.
#[tokio::test]
async fn an_item_that_ends_back_ends_is_run_with_pauses_though_their_addresses_stay_open() {
    let deployment = Deployment::start(MANY_ENGINES, 0).await;
    end_on_harmful_requests(&deployment.engines);
    for engine in &deployment.engines {
        engine.behave(|behaviour| {
            behaviour.listen_time_after_end = Duration::from_millis(100);
            behaviour.connections_at_end = ConnectionsAtEnd::KeptOpen;
        });
    }
    let nodes = [deployment.node("a").await, deployment.node("b").await];
    run_harmful_item_with_pauses(&deployment, &nodes).await;
}

/// The same while the log takes no reports of ends; items cause none. The item is completed once its runs end no engines.
#[tokio::test]
async fn an_item_is_run_with_pauses_while_ends_cannot_be_reported() {
    let deployment = Deployment::start(MANY_ENGINES, 0).await;
    end_on_harmful_requests(&deployment.engines);
    let nodes = [deployment.node("a").await];
    nodes[0].set_faults(LogFaults {
        refuses_ends: true,
        ..LogFaults::default()
    });
    run_harmful_item_with_pauses(&deployment, &nodes).await;
    assert_eq!(count_known_ends(&nodes[0]), 0);
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.ends_on_path = None);
    }
    let lines = wait_for_results(nodes[0].callers, "batch", 3).await;
    assert!(
        lines.iter().all(|line| line.contains("|completed|")),
        "{lines:?}"
    );
}
