//! Up to which age of what is known of a batch work for it is started and written.

mod support;

use std::time::Duration;

use havenstage_clock::Instant;
use support::backend::CallBehaviour;
use support::caller::submit;
use support::deployment::{Deployment, TestNode, wait_until};
use support::dialect::write_batch;
use support::log::LogFaults;

/// Share of the time after which an end is in force up to which work is started.
const START_SHARE: f64 = 2.0 / 3.0;
/// The same up to which requests are written.
const WRITE_SHARE: f64 = 0.85;
/// Time that a request may be on its way, below the difference of both (550 ms).
const ON_ITS_WAY: Duration = Duration::from_millis(300);

fn share_of_in_force(node: &TestNode, share: f64) -> Duration {
    Duration::from_millis(node.context().settings.bounds.end_in_force_ms).mul_f64(share)
}

fn stop_reading(node: &TestNode) {
    node.set_faults(LogFaults {
        reads_hang: true,
        ..LogFaults::default()
    });
}

/// Work that was started in time may wait for a connection or for the processor, and must not be written
/// much later.
#[tokio::test]
async fn nothing_is_written_after_its_share_of_the_time() {
    let deployment = Deployment::start(0, 0).await;
    let node = deployment.node("a").await;
    let body = write_batch(1, &[("item", "g")], false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    let write_by = || node.context().write_deadline(&"batch".into());
    wait_until("the batch is known", || write_by().is_some()).await;
    stop_reading(&node);
    let latest = Instant::now() + share_of_in_force(&node, WRITE_SHARE);
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
    tokio::time::sleep(share_of_in_force(&node, 1.5)).await;
    let last = application.seen().last().map(|seen| seen.at).unwrap();
    let latest = share_of_in_force(&node, START_SHARE) + ON_ITS_WAY;
    assert!(last - stopped <= latest, "{:?}", last - stopped);
}

/// A call that waits to be sent again was let through before the process stood still; what is known of
/// its batch is looked at again at the send itself.
#[tokio::test]
async fn a_call_that_waited_while_the_process_stood_still_is_not_written_too_late() {
    const ITEMS: usize = 12;
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    let application = &deployment.applications[0];
    // Each is sent again after a pause, so that at any moment most of them are in one.
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
    // Calls are still started, and have more time left than the process stands still.
    tokio::time::sleep(share_of_in_force(&node, START_SHARE / 2.0)).await;
    let seen_before = application.seen().len();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(application.seen().len() > seen_before, "calls are made");
    let latest = stopped + share_of_in_force(&node, WRITE_SHARE);
    let stands_still = latest + ON_ITS_WAY - Instant::now();
    node.hold(stands_still).await;
    tokio::time::sleep(stands_still + ON_ITS_WAY).await;
    let last = application.seen().last().map(|seen| seen.at).unwrap();
    assert!(last < latest, "{:?} too late", last - latest);
}
