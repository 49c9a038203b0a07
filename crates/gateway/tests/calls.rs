//! Forwarded calls: what the caller receives, what back ends receive, and how often a call is sent.

mod support;

use http::Method;
use support::backend::CallBehaviour;
use support::caller::{call, send, text};
use support::deployment::{APPLICATIONS, Deployment, TestNode, listed, wait_until};
use support::log::{LogFaults, NodeLog};

#[tokio::test]
async fn a_call_is_forwarded_unchanged() {
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    let headers = [
        ("x-id", "call-1"),
        ("x-deadline", "4000"),
        ("x-other", "kept"),
    ];
    let answer = send(
        node.callers,
        Method::PUT,
        "/calls/some/path?with=query",
        &headers,
        "the body",
    );
    let answer = answer.await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(text(&answer), "application-0 answers call-1");
    assert_eq!(answer.headers["x-signature"], "signed by application-0");
    assert!(
        !answer.headers.contains_key("keep-alive"),
        "a hop-by-hop header of the back end's connection"
    );
    let seen = deployment.applications[0].seen();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].body, "the body");
    assert_eq!(seen[0].header("x-other"), Some("kept"));
    assert_eq!(seen[0].header("host"), Some("host.test"));
    assert_eq!(seen[0].header("x-expected"), Some("application-0"));
    let left: u64 = seen[0].header("x-deadline").unwrap().parse().unwrap();
    assert!(left <= 3_000, "{left} ms are more than the route allows");
}

#[tokio::test]
async fn no_route_is_404_and_no_configuration_is_503() {
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    assert_eq!(
        call(node.callers, "call", "/unknown/path").await.status,
        404
    );
    let empty = support::log::MemoryLog::new();
    let unconfigured = support::deployment::TestNode::start(&empty, "b").await;
    let answer = call(unconfigured.callers, "call", "/calls/path").await;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
}

/// Status, body and number of sends of one call to two back ends that all behave in this way.
async fn outcome(call_behaviour: CallBehaviour, path: &str) -> (u16, String, usize) {
    let deployment = Deployment::start(0, 2).await;
    let node = deployment.node("a").await;
    for backend in &deployment.applications {
        backend.behave(|behaviour| behaviour.call = call_behaviour);
    }
    let answer = call(node.callers, "call", path).await;
    let sent = deployment
        .applications
        .iter()
        .map(|backend| backend.seen().len())
        .sum();
    (answer.status.as_u16(), text(&answer), sent)
}

#[tokio::test]
async fn a_repeatable_call_is_sent_again_after_a_break() {
    let (status, _, sent) = outcome(CallBehaviour::Break, "/calls/path").await;
    assert_eq!((status, sent), (502, 3), "as often as its route allows");
}

#[tokio::test]
async fn an_at_most_once_call_is_not_sent_again_after_a_break() {
    let (status, _, sent) = outcome(CallBehaviour::Break, "/once/path").await;
    assert_eq!((status, sent), (502, 1));
}

/// A 503 states that the call did not run. A call that all back ends rejected gets it; after a broken connection
/// the call may have run, so it must not get one.
#[tokio::test]
async fn a_call_that_no_back_end_ran_is_refused_with_503() {
    let (status, _, sent) = outcome(CallBehaviour::NotRun, "/once/path").await;
    assert_eq!(status, 503);
    assert!(sent >= 2, "a rejected call is sent to other back ends");
}

#[tokio::test]
async fn an_answer_to_another_request_is_never_forwarded() {
    let (status, text, _) = outcome(CallBehaviour::ForeignAnswer, "/calls/path").await;
    assert_eq!((status, text.as_str()), (502, ""));
}

#[tokio::test]
async fn an_answer_that_ends_early_is_never_forwarded() {
    let (status, text, _) = outcome(CallBehaviour::CutShort, "/calls/path").await;
    assert_eq!((status, text.as_str()), (502, ""));
}

#[tokio::test]
async fn the_last_failure_of_a_back_end_is_forwarded_unchanged() {
    let (status, text, sent) = outcome(CallBehaviour::Fail, "/calls/path").await;
    assert_eq!((status, sent), (500, 3));
    assert!(text.starts_with("application-"), "{text}");
}

/// When many nodes start at once, the log refuses many of their requests. A refused page of a listing must not
/// make the node start the listing again from the beginning.
#[tokio::test]
async fn a_node_starts_though_pages_of_its_listings_are_refused() {
    let deployment = Deployment::start(0, 6).await;
    let faults = LogFaults {
        throttles_listings: true,
        ..LogFaults::default()
    };
    let log = NodeLog::with_faults(&deployment.log, faults);
    let node = TestNode::start_with_log(log, "a").await;
    node.wait_until_known(6).await;
    assert_eq!(call(node.callers, "call", "/calls/path").await.status, 200);
}

/// A call that no back end can accept is refused instead of being held until its deadline.
#[tokio::test]
async fn a_call_without_back_ends_is_refused() {
    let deployment = Deployment::start(0, 0).await;
    let node = deployment.node("a").await;
    let headers = [("x-id", "call"), ("x-deadline", "3600000")];
    let answer = send(node.callers, Method::POST, "/patient/path", &headers, "")
        .await
        .unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn a_call_to_a_silent_back_end_is_sent_to_another() {
    let deployment = Deployment::start(0, 2).await;
    let node = deployment.node("a").await;
    deployment.applications[0].behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    for at in 0..4 {
        let answer = call(node.callers, &format!("call-{at}"), "/calls/path").await;
        assert_eq!(text(&answer), format!("application-1 answers call-{at}"));
    }
}

#[tokio::test]
async fn a_draining_back_end_receives_no_calls() {
    let deployment = Deployment::start(0, 2).await;
    let node = deployment.node("a").await;
    deployment
        .log
        .write_backends(listed(&deployment.applications[0], APPLICATIONS, true));
    let id = havenstage_rollout::ids::BackendId::from("application-0");
    wait_until("the node knows that the back end drains", || {
        node.context()
            .backends
            .lock()
            .list
            .get(&id)
            .is_some_and(|record| record.draining)
    })
    .await;
    for at in 0..6 {
        call(node.callers, &format!("call-{at}"), "/calls/path").await;
    }
    assert!(deployment.applications[0].seen().is_empty());
}
