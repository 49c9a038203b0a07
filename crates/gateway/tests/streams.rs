//! Event streams that are forwarded as they arrive.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use havenstage_http_link::LinkError;
use http::Method;
use support::caller::{send, text};
use support::deployment::{Deployment, TestNode};

const COMPLETE_STREAM: &str =
    "id: 1\ndata: s.1\n\nid: 2\ndata: s.2\n\nid: 3\ndata: s.3\n\nid: 4\ndata: s.4\n\n";

#[tokio::test]
async fn a_stream_is_forwarded_unchanged() {
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
    assert_eq!(text(&answer), COMPLETE_STREAM);
    assert_eq!(answer.headers["content-type"], "text/event-stream");
    assert_eq!(answer.headers["x-signature"], "signed");
}

#[tokio::test]
async fn a_resumable_stream_is_resumed_elsewhere_within_one_answer() {
    let deployment = Deployment::start(3, 0).await;
    let node = deployment.node("a").await;
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.breaks_after = Some(2));
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
    assert_eq!(text(&answer), COMPLETE_STREAM);
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
async fn a_broken_stream_that_cannot_be_resumed_does_not_look_complete() {
    let deployment = Deployment::start(2, 0).await;
    let node = deployment.node("a").await;
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.breaks_after = Some(2));
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
    assert_eq!(runs, 1, "an at-most-once stream runs once");
}

/// Number of concurrent streams; enough that connections to all back ends are kept for reuse.
const STREAMS: usize = 12;
/// Idle time of the kept connections: longer than the silence after which a resumable stream is resumed elsewhere.
const IDLE_TIME: Duration = Duration::from_millis(1_300);

fn connections_opened(node: &TestNode, deployment: &Deployment) -> u64 {
    let backends = &node.context().backends;
    let links = deployment.engines.iter().map(|engine| {
        let backend = backends.take(&engine.id.as_str().into()).unwrap();
        backend.link.traffic().opened.load(Ordering::Relaxed)
    });
    links.sum()
}

/// Guards against opening a new connection to resume a stream that was reset, where kept connections have been idle
/// for a second. Only a silence is a reason to distrust kept connections; each new connection takes time and
/// one of few connection slots.
#[tokio::test]
async fn a_stream_that_was_reset_is_resumed_over_a_kept_connection() {
    let deployment = Deployment::start(2, 0).await;
    let node = deployment.node("a").await;
    let callers = node.callers;
    let stream = |id: String| async move {
        let headers = [("x-id", id.as_str())];
        let answer = send(callers, Method::POST, "/streams/s", &headers, "").await;
        assert_eq!(text(&answer.unwrap()), COMPLETE_STREAM);
    };
    join_all((0..STREAMS).map(|at| stream(format!("before-{at}")))).await;
    for engine in &deployment.engines {
        assert!(!engine.seen().is_empty(), "connections to both are kept");
        engine.behave(|behaviour| behaviour.breaks_after = Some(3));
    }
    tokio::time::sleep(IDLE_TIME).await;
    let opened = connections_opened(&node, &deployment);
    stream("reset".to_owned()).await;
    assert_eq!(connections_opened(&node, &deployment), opened);
}
