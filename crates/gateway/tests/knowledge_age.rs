//! Up to which age of what is known of a batch work for it is started and written.

mod support;

use std::time::Duration;

use support::backend::CallBehaviour;
use support::caller::submit;
use support::deployment::{Deployment, TestNode, wait_until};
use support::dialect::write_batch;
use support::log::LogFaults;
use tokio::time::Instant;

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
    let write_by = || node.context().write_by(&"batch".into());
    wait_until("the batch is known", || write_by().is_some()).await;
    stop_reading(&node);
    let latest = Instant::now() + share_of_in_force(&node, WRITE_SHARE);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let until = write_by().expect("what is known is fresh enough");
    assert!(until <= latest, "{:?} too late", until - latest);
    tokio::time::sleep_until(latest + Duration::from_millis(10)).await;
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
