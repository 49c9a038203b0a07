//! Streams passed on as they come.

mod support;

use havenstage_http_link::LinkError;
use http::Method;
use support::caller::{send, text};
use support::deployment::Deployment;

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
