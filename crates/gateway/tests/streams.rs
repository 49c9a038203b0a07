//! Streams passed on as they come.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use havenstage_http_link::LinkError;
use http::Method;
use support::caller::{send, text};
use support::deployment::{Deployment, TestNode};

const WHOLE: &str =
    "id: 1\ndata: s.1\n\nid: 2\ndata: s.2\n\nid: 3\ndata: s.3\n\nid: 4\ndata: s.4\n\n";

#[tokio::test]
async fn a_stream_is_passed_on_whole() {
    let deployment = Deployment::start(1, 0).await;
    let node = deployment.node("a").await;
    let answer = send(
        node.callers,
        Method::POST,
        "/streams/once/s",
        &[("x-id", "c")],
        "",
    )
    .await;
    let answer = answer.unwrap();
    assert_eq!(text(&answer), WHOLE);
    assert_eq!(answer.headers["content-type"], "text/event-stream");
    assert_eq!(answer.headers["x-signature"], "signed");
}

#[tokio::test]
async fn a_resumable_stream_goes_on_elsewhere_within_one_answer() {
    let deployment = Deployment::start(3, 0).await;
    let node = deployment.node("a").await;
    for engine in &deployment.engines {
        engine.behave(|told| told.breaks_after = Some(2));
    }
    let answer = send(
        node.callers,
        Method::POST,
        "/streams/s",
        &[("x-id", "c")],
        "",
    )
    .await
    .unwrap();
    assert_eq!(text(&answer), WHOLE);
    let mut asked: Vec<Option<String>> = deployment
        .engines
        .iter()
        .flat_map(|engine| engine.seen())
        .map(|seen| seen.header("last-event-id").map(str::to_owned))
        .collect();
    asked.sort();
    assert_eq!(asked, [None, Some("2".to_owned()), Some("4".to_owned())]);
}

#[tokio::test]
async fn a_stream_that_cannot_go_on_does_not_look_whole() {
    let deployment = Deployment::start(2, 0).await;
    let node = deployment.node("a").await;
    for engine in &deployment.engines {
        engine.behave(|told| told.breaks_after = Some(2));
    }
    let answer = send(
        node.callers,
        Method::POST,
        "/streams/once/s",
        &[("x-id", "c")],
        "",
    )
    .await;
    assert_eq!(answer.err(), Some(LinkError::Broken));
    let runs: usize = deployment
        .engines
        .iter()
        .map(|engine| engine.seen().len())
        .sum();
    assert_eq!(runs, 1, "it runs at most once");
}

/// Streams that are made at once, so that connections to all back ends are kept.
const STREAMS: usize = 12;
/// Longer than the silence after which a resumable stream goes on elsewhere.
const REST: Duration = Duration::from_millis(1_300);

fn connections_opened(node: &TestNode, deployment: &Deployment) -> u64 {
    let backends = &node.context().backends;
    let links = deployment.engines.iter().map(|engine| {
        let backend = backends.take(&engine.id.as_str().into()).unwrap();
        backend.link.traffic().opened.load(Ordering::Relaxed)
    });
    links.sum()
}

/// A stream that was reset went on over a new connection where kept ones had rested for a second, though
/// only silence gives grounds to mistrust those; each new connection takes time and one of few places.
#[tokio::test]
async fn a_stream_that_was_reset_goes_on_over_a_kept_connection() {
    let deployment = Deployment::start(2, 0).await;
    let node = deployment.node("a").await;
    let callers = node.callers;
    let stream = |id: String| async move {
        let headers = [("x-id", id.as_str())];
        let answer = send(callers, Method::POST, "/streams/s", &headers, "").await;
        assert_eq!(text(&answer.unwrap()), WHOLE);
    };
    join_all((0..STREAMS).map(|at| stream(format!("before-{at}")))).await;
    for engine in &deployment.engines {
        assert!(!engine.seen().is_empty(), "connections to both are kept");
        engine.behave(|told| told.breaks_after = Some(3));
    }
    tokio::time::sleep(REST).await;
    let opened = connections_opened(&node, &deployment);
    stream("reset".to_owned()).await;
    assert_eq!(connections_opened(&node, &deployment), opened);
}
