//! Second (hedged) sends of repeatable calls that get no answer.

mod support;

use std::time::Duration;

use http::StatusCode;
use support::backend::{CallBehaviour, StandInBackend};
use support::caller::{call, text};
use support::deployment::{APPLICATIONS, Deployment, listed, wait_until};

/// Maximum processor time of a node during one call that waits for its back end: a fifth of what a loop without a
/// pause uses. On a busy machine the measured time can only be lower.
const MAX_PROCESSOR_TIME: Duration = Duration::from_millis(500);
/// A little longer than the time until the second send of a call is due, which is half of the route's objective of
/// 1,000 ms.
const SECOND_SEND_DELAY: Duration = Duration::from_millis(700);

/// Guards against a busy loop while a call waits. The only application of the pool is silent. When the second send
/// is due and there is no other back end, a timer that is set again in the past fires at once, so the node's
/// thread uses a whole processor until the deadline: 2.50 s of processor time in a call of 3.0 s, against 0.02 s
/// with a second application that takes the second send. On a machine with a tenth of a processor, the node's
/// reads of the log are then late.
#[tokio::test]
async fn a_call_without_a_second_back_end_causes_no_busy_loop() {
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    deployment.applications[0].behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    let before = node.cpu_time().await;
    let answer = call(node.callers, "call", "/calls/path").await;
    let used = node.cpu_time().await - before;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(deployment.applications[0].seen().len(), 1);
    assert!(
        used < MAX_PROCESSOR_TIME,
        "{used:?} of processor time used by one waiting call"
    );
}

/// The same busy loop, where every back end has already received the call: one of the two breaks the connection and
/// the other one stays silent.
#[tokio::test]
async fn a_call_that_every_back_end_received_causes_no_busy_loop() {
    let deployment = Deployment::start(0, 2).await;
    let node = deployment.node("a").await;
    deployment.applications[0].behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    deployment.applications[1].behave(|behaviour| behaviour.call = CallBehaviour::Break);
    let before = node.cpu_time().await;
    let answer = call(node.callers, "call", "/calls/path").await;
    let used = node.cpu_time().await - before;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    for application in &deployment.applications {
        assert_eq!(application.seen().len(), 1);
    }
    assert!(
        used < MAX_PROCESSOR_TIME,
        "{used:?} of processor time used by one waiting call"
    );
}

/// The search for a second back end is repeated after one that finds none.
#[tokio::test]
async fn a_back_end_that_is_listed_late_receives_the_second_send() {
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    deployment.applications[0].behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    let callers = node.callers;
    let waiting = tokio::spawn(async move { call(callers, "call", "/calls/path").await });
    wait_until("the silent back end has the call", || {
        !deployment.applications[0].seen().is_empty()
    })
    .await;
    tokio::time::sleep(SECOND_SEND_DELAY).await;
    let late = StandInBackend::start("application-late").await;
    deployment
        .log
        .write_backends(listed(&late, APPLICATIONS, false));
    let answer = waiting.await.unwrap();
    assert_eq!(text(&answer), "application-late answers call");
    assert_eq!(deployment.applications[0].seen().len(), 1);
    assert_eq!(late.seen().len(), 1);
}
