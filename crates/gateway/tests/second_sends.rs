//! Second sends of repeatable calls to which no answer comes.

mod support;

use std::time::Duration;

use http::StatusCode;
use support::backend::{CallBehaviour, StandInBackend};
use support::caller::{call, text};
use support::deployment::{APPLICATIONS, Deployment, listed, wait_until};

/// Processor time that a node may use in a call that waits for its back end: a fifth of what a loop
/// without a pause uses. A busy machine can only lessen what is measured.
const MOST_PROCESSOR_TIME: Duration = Duration::from_millis(500);
/// A little more than the time after which the second send of a call is due: half of the objective of
/// its route, 1,000 ms.
const SECOND_SEND_IS_DUE: Duration = Duration::from_millis(700);

/// One application was listed and stayed silent. From the time of the second send until the call ran
/// out of time, the node's thread used a whole processor: the timer of the second send was in the past,
/// no other back end was to be had, and the same timer was set again at once. Of a call of 3.0 s, 2.50 s
/// of processor time; 0.02 s with a second application, which took the second send. On a machine with a
/// tenth of a processor the node's reads of the log came late.
#[tokio::test]
async fn a_call_without_a_second_back_end_leaves_the_processor_alone() {
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    deployment.applications[0].behave(|told| told.call = CallBehaviour::Silent);
    let before = node.processor_time().await;
    let answer = call(node.callers, "call", "/calls/path").await;
    let used = node.processor_time().await - before;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(deployment.applications[0].seen().len(), 1);
    assert!(
        used < MOST_PROCESSOR_TIME,
        "{used:?} of processor time for one call that waits"
    );
}

/// The same loop, where every back end had got the call: one broke the connection, and the other one, or
/// the first, stayed silent.
#[tokio::test]
async fn a_call_that_every_back_end_has_got_leaves_the_processor_alone() {
    let deployment = Deployment::start(0, 2).await;
    let node = deployment.node("a").await;
    deployment.applications[0].behave(|told| told.call = CallBehaviour::Silent);
    deployment.applications[1].behave(|told| told.call = CallBehaviour::Break);
    let before = node.processor_time().await;
    let answer = call(node.callers, "call", "/calls/path").await;
    let used = node.processor_time().await - before;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    for application in &deployment.applications {
        assert_eq!(application.seen().len(), 1);
    }
    assert!(
        used < MOST_PROCESSOR_TIME,
        "{used:?} of processor time for one call that waits"
    );
}

/// A look that finds no second back end is not the last one.
#[tokio::test]
async fn a_back_end_that_comes_late_gets_the_second_send() {
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    deployment.applications[0].behave(|told| told.call = CallBehaviour::Silent);
    let callers = node.callers;
    let waiting = tokio::spawn(async move { call(callers, "call", "/calls/path").await });
    wait_until("the silent back end has the call", || {
        !deployment.applications[0].seen().is_empty()
    })
    .await;
    tokio::time::sleep(SECOND_SEND_IS_DUE).await;
    let late = StandInBackend::start("application-late").await;
    deployment
        .log
        .write_backends(listed(&late, APPLICATIONS, false));
    let answer = waiting.await.unwrap();
    assert_eq!(text(&answer), "application-late answers call");
    assert_eq!(deployment.applications[0].seen().len(), 1);
    assert_eq!(late.seen().len(), 1);
}
