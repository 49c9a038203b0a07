//! How old a node's knowledge of a batch may be when it starts work for the batch and writes requests. A node that
//! cannot read the log must stop both before the end of the batch, which it may have missed, is in force.

mod support;

use std::time::Duration;

use havenstage_clock::Instant;
use support::backend::CallBehaviour;
use support::caller::submit;
use support::deployment::{Deployment, TestNode, wait_until};
use support::dialect::write_batch;
use support::log::LogFaults;

/// Share of the time until a batch end is in force for which a node without news of the log starts work.
const START_SHARE: f64 = 2.0 / 3.0;
/// Share of that time for which it writes requests.
const WRITE_SHARE: f64 = 0.85;
/// Maximum time that a request may take to arrive; it must be below the difference of both shares (550 ms).
const MAX_TRANSIT: Duration = Duration::from_millis(300);

fn share_of_end_delay(node: &TestNode, share: f64) -> Duration {
    Duration::from_millis(node.context().settings.bounds.end_in_force_ms).mul_f64(share)
}

fn stop_reading(node: &TestNode) {
    node.set_faults(LogFaults {
        reads_hang: true,
        ..LogFaults::default()
    });
}

/// Work that was started in time may wait for a connection or for the processor. Its request must not be written
/// after its share of the time.
#[tokio::test]
async fn no_request_is_written_after_its_share_of_the_time() {
    let deployment = Deployment::start(0, 0).await;
    let node = deployment.node("a").await;
    let body = write_batch(1, &[("item", "g")], false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    let write_by = || node.context().write_deadline(&"batch".into());
    wait_until("the batch is known", || write_by().is_some()).await;
    stop_reading(&node);
    let latest = Instant::now() + share_of_end_delay(&node, WRITE_SHARE);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let until = write_by().expect("what is known is fresh enough");
    assert!(until <= latest, "{:?} too late", until - latest);
    havenstage_clock::sleep_until(latest + Duration::from_millis(10)).await;
    assert_eq!(write_by(), None);
}

#[tokio::test]
async fn no_reward_call_is_started_after_its_share_of_the_time() {
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    let application = &deployment.applications[0];
    application.behave(|told| told.call = CallBehaviour::OutOfTime);
    let body = write_batch(1, &[("item", "g")], true);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    wait_until("the reward call was repeated", || {
        application.seen().len() > 4
    })
    .await;
    stop_reading(&node);
    let stopped = Instant::now();
    tokio::time::sleep(share_of_end_delay(&node, 1.5)).await;
    let last = application.seen().last().map(|seen| seen.at).unwrap();
    let latest = share_of_end_delay(&node, START_SHARE) + MAX_TRANSIT;
    assert!(last - stopped <= latest, "{:?}", last - stopped);
}

/// A reward call that waits for a retry passed the age check before the process was suspended. The age must be
/// checked again when the call is sent.
#[tokio::test]
async fn a_call_that_waits_while_the_process_is_suspended_is_not_written_too_late() {
    const ITEMS: usize = 12;
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    let application = &deployment.applications[0];
    // Each call is retried after a pause, so at any moment most calls are in a pause.
    application.behave(|told| told.call = CallBehaviour::NotRun);
    let names: Vec<String> = (0..ITEMS).map(|at| format!("item-{at}")).collect();
    let items: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "g")).collect();
    let body = write_batch(1, &items, true);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    wait_until("all reward calls are made", || {
        application.seen().len() > 20 * ITEMS
    })
    .await;
    stop_reading(&node);
    let stopped = Instant::now();
    // Calls are still started at this time, and their deadline is later than the end of the suspension.
    tokio::time::sleep(share_of_end_delay(&node, START_SHARE / 2.0)).await;
    let seen_before = application.seen().len();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(application.seen().len() > seen_before, "calls are made");
    let latest = stopped + share_of_end_delay(&node, WRITE_SHARE);
    let suspension = latest + MAX_TRANSIT - Instant::now();
    node.block_thread(suspension).await;
    tokio::time::sleep(suspension + MAX_TRANSIT).await;
    let last = application.seen().last().map(|seen| seen.at).unwrap();
    assert!(last < latest, "{:?} too late", last - latest);
}
