//! From the id of a failed request to its cause, by the log lines alone.

mod support;

use std::collections::BTreeMap;
use std::sync::{Mutex, OnceLock};
use std::time::Duration;

use http::Method;
use log::kv::{Error, Key, Value, VisitSource};
use log::{Log, Metadata, Record};
use support::backend::CallBehaviour;
use support::caller::{call, send, submit, wait_for_results};
use support::deployment::{Deployment, wait_until};
use support::dialect::write_batch;
use support::log::LogFaults;

type Line = BTreeMap<String, String>;

/// Keeps the fields of all lines.
struct Capture(Mutex<Vec<Line>>);

struct Fields(Line);

impl<'a> VisitSource<'a> for Fields {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl Log for Capture {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut fields = Fields(Line::new());
        record.key_values().visit(&mut fields).unwrap();
        self.0.lock().unwrap().push(fields.0);
    }

    fn flush(&self) {}
}

fn capture() -> &'static Capture {
    static CAPTURE: OnceLock<Capture> = OnceLock::new();
    let capture = CAPTURE.get_or_init(|| Capture(Mutex::default()));
    if log::set_logger(capture).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
    capture
}

/// Lines of an event that concern a request.
fn lines(event: &str, request: &str) -> Vec<Line> {
    let is_wanted = |line: &&Line| {
        line.get("event").is_some_and(|named| named == event)
            && line.get("request").is_some_and(|named| named == request)
    };
    capture()
        .0
        .lock()
        .unwrap()
        .iter()
        .filter(is_wanted)
        .cloned()
        .collect()
}

#[tokio::test]
async fn a_refused_call_names_the_back_ends_that_turned_it_away() {
    capture();
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    deployment.applications[0].behave(|told| told.call = CallBehaviour::NotRun);
    assert_eq!(
        call(node.callers, "refused-call", "/calls/path")
            .await
            .status,
        503
    );
    let line = &lines("call", "refused-call")[0];
    assert_eq!(line["outcome"], "refused");
    assert!(line["backends"].starts_with("application-0"), "{line:?}");
    assert!(line["sends"].starts_with("turned_away"), "{line:?}");
    assert_eq!(
        (
            line["may_have_run"].as_str(),
            line["routes_version"].as_str()
        ),
        ("0", "1")
    );
}

#[tokio::test]
async fn an_item_that_was_given_up_names_its_failures() {
    capture();
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    deployment.applications[0].behave(|told| told.call = CallBehaviour::Fail);
    let batch = write_batch(1, &[("given-up-item", "g")], true);
    assert_eq!(submit(node.callers, "batch-of-item", &batch).await, 202);
    let results = wait_for_results(node.callers, "batch-of-item", 1).await;
    assert!(results[0].contains("given up"), "{results:?}");
    let given_up = &lines("item_given_up", "given-up-item")[0];
    assert_eq!(given_up["reason"], "AttemptsUsed");
    // The output was whole; its reward call is the one that failed, as its own line says.
    assert_eq!(lines("run_ended", "given-up-item")[0]["outcome"], "whole");
    let reward = &lines("call", &given_up["reward_call"])[0];
    assert_eq!(reward["sends"], "failed,failed,failed");
}

#[tokio::test]
async fn an_answer_that_was_cut_off_names_where_its_stream_broke() {
    capture();
    let deployment = Deployment::start(2, 0).await;
    let node = deployment.node("a").await;
    for engine in &deployment.engines {
        engine.behave(|told| told.breaks_after = Some(2));
    }
    let headers = [("x-id", "cut-off-stream")];
    let answer = send(node.callers, Method::POST, "/streams/once/s", &headers, "").await;
    assert!(answer.is_err());
    wait_until("the break is told", || {
        !lines("stream", "cut-off-stream").is_empty()
    })
    .await;
    let line = &lines("stream", "cut-off-stream")[0];
    assert_eq!(line["outcome"], "broken_off");
    assert!(line["from"].starts_with("engine-"), "{line:?}");
}

#[tokio::test]
async fn a_call_whose_caller_left_says_so() {
    capture();
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    deployment.applications[0].behave(|told| told.call = CallBehaviour::Silent);
    let headers = [("x-id", "left-call"), ("x-deadline", "2500")];
    let sent = send(node.callers, Method::POST, "/once/path", &headers, "");
    assert!(
        tokio::time::timeout(Duration::from_millis(300), sent)
            .await
            .is_err()
    );
    wait_until("the leave is told", || {
        !lines("call", "left-call").is_empty()
    })
    .await;
    let line = &lines("call", "left-call")[0];
    assert_eq!(line["outcome"], "caller_left");
    assert_eq!(line["sends"], "under_way");
    assert_eq!(line["backends"], "application-0");
}

/// An owner that cannot tell that it is alive says so: others will claim its batches.
#[tokio::test]
async fn a_heartbeat_that_is_not_written_leaves_a_line() {
    capture();
    let deployment = Deployment::start(1, 0).await;
    let node = deployment.node("a").await;
    deployment.engines[0].behave(|told| told.event_pause = Duration::from_millis(300));
    let batch = write_batch(1, &[("slow-item", "g")], false);
    assert_eq!(submit(node.callers, "slow-batch", &batch).await, 202);
    node.set_faults(LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    });
    let is_told = || {
        let kept = capture().0.lock().unwrap();
        kept.iter().any(|line| {
            line.get("event")
                .is_some_and(|event| event == "record_not_written")
                && line
                    .get("partition")
                    .is_some_and(|named| named == "control")
        })
    };
    wait_until("the heartbeat that was refused is told", is_told).await;
}
