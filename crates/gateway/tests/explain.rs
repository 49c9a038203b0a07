//! The log lines alone lead from the id of a failed request or batch to the cause of the failure.

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use havenstage_gateway::edge::{LogPage, LogStream, StreamPartition};
use havenstage_gateway::metrics;
use havenstage_gateway::stream_view::StreamView;
use havenstage_rollout::fold::PartitionState;
use http::Method;
use log::kv::{Error, Key, Value, VisitSource};
use log::{Log, Metadata, Record};
use support::backend::CallBehaviour;
use support::caller::{call, send, submit, wait_for_results};
use support::deployment::{Deployment, TestNode, wait_until};
use support::dialect::write_batch;
use support::log::LogFaults;
use tokio::sync::Notify;

type Line = BTreeMap<String, String>;

/// A logger that stores the fields of all lines.
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
    lines_with(event, "request", request)
}

/// Lines of an event that concern a batch.
fn batch_lines(event: &str, batch: &str) -> Vec<Line> {
    lines_with(event, "batch", batch)
}

/// Lines of an event in which a field has a value.
fn lines_with(event: &str, field: &str, value: &str) -> Vec<Line> {
    let has = |line: &Line, field: &str, value: &str| line.get(field).is_some_and(|is| is == value);
    let is_wanted = |line: &&Line| has(line, "event", event) && has(line, field, value);
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
async fn a_refused_call_names_the_back_ends_that_rejected_it() {
    capture();
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    deployment.applications[0].behave(|behaviour| behaviour.call = CallBehaviour::NotRun);
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
    deployment.applications[0].behave(|behaviour| behaviour.call = CallBehaviour::Fail);
    let batch = write_batch(1, &[("given-up-item", "g")], true);
    assert_eq!(submit(node.callers, "batch-of-item", &batch).await, 202);
    let results = wait_for_results(node.callers, "batch-of-item", 1).await;
    assert!(results[0].contains("given up"), "{results:?}");
    let given_up = &lines("item_given_up", "given-up-item")[0];
    assert_eq!(given_up["reason"], "AttemptsUsed");
    // The run produced its whole output; the reward call failed, as the line of that call shows.
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
        engine.behave(|behaviour| behaviour.breaks_after = Some(2));
    }
    let headers = [("x-id", "cut-off-stream")];
    let answer = send(node.callers, Method::POST, "/streams/once/s", &headers, "").await;
    assert!(answer.is_err());
    wait_until("the break is logged", || {
        !lines("stream", "cut-off-stream").is_empty()
    })
    .await;
    let line = &lines("stream", "cut-off-stream")[0];
    assert_eq!(line["outcome"], "broken_off");
    assert!(line["from"].starts_with("engine-"), "{line:?}");
}

#[tokio::test]
async fn a_call_whose_caller_left_logs_that_outcome() {
    capture();
    let deployment = Deployment::start(0, 1).await;
    let node = deployment.node("a").await;
    deployment.applications[0].behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    let headers = [("x-id", "left-call"), ("x-deadline", "2500")];
    let sent = send(node.callers, Method::POST, "/once/path", &headers, "");
    assert!(
        tokio::time::timeout(Duration::from_millis(300), sent)
            .await
            .is_err()
    );
    wait_until("the disconnect is logged", || {
        !lines("call", "left-call").is_empty()
    })
    .await;
    let line = &lines("call", "left-call")[0];
    assert_eq!(line["outcome"], "caller_left");
    assert_eq!(line["sends"], "under_way");
    assert_eq!(line["backends"], "application-0");
}

/// An owner logs that it cannot append its heartbeat, as other nodes will then claim its batches.
#[tokio::test]
async fn a_heartbeat_that_is_not_written_is_logged() {
    capture();
    let deployment = Deployment::start(1, 0).await;
    let node = deployment.node("a").await;
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_millis(300));
    let batch = write_batch(1, &[("slow-item", "g")], false);
    assert_eq!(submit(node.callers, "slow-batch", &batch).await, 202);
    node.set_faults(LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    });
    let is_logged = || {
        let kept = capture().0.lock().unwrap();
        kept.iter().any(|line| {
            line.get("event")
                .is_some_and(|event| event == "record_not_written")
                && line
                    .get("partition")
                    .is_some_and(|named| named == "control")
        })
    };
    wait_until("the refused heartbeat is logged", is_logged).await;
}

/// Requests the end of a batch, and returns the status.
async fn end_batch(node: &TestNode, batch: &str) -> u16 {
    let path = format!("/results/{batch}");
    let ended = send(node.callers, Method::DELETE, &path, &[], "").await;
    ended.unwrap().status.as_u16()
}

/// Value of a numeric field of a line.
fn number(line: &Line, field: &str) -> u64 {
    let value = line
        .get(field)
        .unwrap_or_else(|| panic!("{field} in {line:?}"));
    value
        .parse()
        .unwrap_or_else(|_| panic!("{field} in {line:?}"))
}

/// Outcome and status of each `batch_end` line of a batch.
fn logged_ends(batch: &str) -> Vec<(String, String)> {
    let lines = batch_lines("batch_end", batch);
    let ends = lines.iter().map(|line| {
        number(line, "took_ms");
        (line["outcome"].clone(), line["status"].clone())
    });
    ends.collect()
}

fn end_line(outcome: &str, status: &str) -> (String, String) {
    (outcome.to_owned(), status.to_owned())
}

/// Starts a batch of two items that run longer than any test here, and waits until both run.
async fn start_running_batch(deployment: &Deployment, node: &TestNode, batch: &str) {
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_secs(60));
    let (one, two) = (format!("{batch}-one"), format!("{batch}-two"));
    let body = write_batch(1, &[(&one, "g"), (&two, "g")], false);
    assert_eq!(submit(node.callers, batch, &body).await, 202);
    wait_until("both items run", || {
        !lines("run_started", &one).is_empty() && !lines("run_started", &two).is_empty()
    })
    .await;
}

#[tokio::test]
async fn an_end_logs_its_outcome_and_duration() {
    capture();
    let deployment = Deployment::start(1, 0).await;
    let node = deployment.node("a").await;
    start_running_batch(&deployment, &node, "ended-batch").await;
    node.set_faults(LogFaults {
        slow_batch_appends: true,
        ..LogFaults::default()
    });
    assert_eq!(end_batch(&node, "ended-batch").await, 200);
    let context = node.context().clone();
    wait_until("the end is known", || {
        let inner = context.partition_of(&"ended-batch".into()).lock();
        let batch = inner.state.batch(&"ended-batch".into());
        batch.is_some_and(|batch| batch.ended)
    })
    .await;
    assert_eq!(end_batch(&node, "ended-batch").await, 200);
    let expected = [
        end_line("appended", "200"),
        end_line("already_ended", "200"),
    ];
    assert_eq!(logged_ends("ended-batch"), expected);
    // The append took 120 ms.
    let appended = &batch_lines("batch_end", "ended-batch")[0];
    assert!(number(appended, "took_ms") >= 120, "{appended:?}");
    assert_eq!(end_batch(&node, "batch-that-is-not-there").await, 404);
    let expected = [end_line("not_there", "404")];
    assert_eq!(logged_ends("batch-that-is-not-there"), expected);
}

#[tokio::test]
async fn an_end_that_could_not_be_appended_is_logged() {
    capture();
    let deployment = Deployment::start(1, 0).await;
    let node = deployment.node("a").await;
    start_running_batch(&deployment, &node, "batch-that-stays").await;
    node.set_faults(LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    });
    assert_eq!(end_batch(&node, "batch-that-stays").await, 503);
    let expected = [end_line("not_appended", "503")];
    assert_eq!(logged_ends("batch-that-stays"), expected);
}

/// An end was refused because its partition could not be read, and only `read_refused` was logged, without the batch.
/// A search of the log for the batch then found nothing about its end.
#[tokio::test]
async fn an_end_whose_partition_cannot_be_read_logs_both_events() {
    capture();
    let deployment = Deployment::start(1, 0).await;
    let node = deployment.node("a").await;
    node.set_faults(LogFaults {
        reads_hang: true,
        ..LogFaults::default()
    });
    assert_eq!(end_batch(&node, "unread-batch").await, 503);
    let expected = [end_line("not_appended", "503")];
    assert_eq!(logged_ends("unread-batch"), expected);
    let refused = &batch_lines("read_refused", "unread-batch")[0];
    assert_eq!(refused["status"], "503");
    assert!(refused["partition"].starts_with("batches "), "{refused:?}");
    assert!(!refused["reason"].is_empty());
    // A read that gets no answer takes 300 ms.
    assert!(number(refused, "waited_ms") >= 300, "{refused:?}");
    let ended = &batch_lines("batch_end", "unread-batch")[0];
    assert!(number(ended, "took_ms") >= 300, "{ended:?}");
}

/// Refused calls that read results, for new ones or for one item, name the batch and the wait too.
#[tokio::test]
async fn a_refused_read_names_its_batch_and_its_wait() {
    capture();
    let deployment = Deployment::start(1, 0).await;
    let node = deployment.node("a").await;
    node.set_faults(LogFaults {
        reads_hang: true,
        ..LogFaults::default()
    });
    let paths = [
        ("refused-read", "/results/refused-read?from=0"),
        ("refused-item", "/results/refused-item?item=item"),
    ];
    for (batch, path) in paths {
        let headers = [("x-wait", "200")];
        let answer = send(node.callers, Method::GET, path, &headers, "").await;
        assert_eq!(answer.unwrap().status, 503);
        let refused = &batch_lines("read_refused", batch)[0];
        assert!(number(refused, "waited_ms") >= 300, "{refused:?}");
    }
}

#[tokio::test]
async fn an_owner_logs_when_it_learned_of_an_end() {
    capture();
    let deployment = Deployment::start(1, 0).await;
    let (owner, other) = (deployment.node("a").await, deployment.node("b").await);
    start_running_batch(&deployment, &owner, "end-seen").await;
    assert_eq!(end_batch(&other, "end-seen").await, 200);
    wait_until("the items are dropped", || {
        batch_lines("item_dropped", "end-seen").len() == 2
    })
    .await;
    let dropped = batch_lines("item_dropped", "end-seen");
    assert!(dropped.iter().all(|line| line["reason"] == "batch_ended"));
    let seen = batch_lines("end_seen", "end-seen");
    assert_eq!(seen.len(), 1, "one line for the batch: {seen:?}");
    assert_eq!(seen[0]["items"], "2");
    number(&seen[0], "known_age_ms");
}

/// Items of a batch that is no longer known were logged as dropped because the batch had ended, although nobody had
/// requested its end.
#[tokio::test]
async fn items_whose_batch_is_no_longer_known_are_not_logged_as_ended() {
    capture();
    let deployment = Deployment::start(1, 0).await;
    let node = deployment.node("a").await;
    start_running_batch(&deployment, &node, "lost-batch").await;
    let partition = node.context().partition_of(&"lost-batch".into());
    let (name, next) = (partition.id.to_string(), partition.lock().next);
    // Far enough ahead to be a skip, whatever the node reads in the meantime.
    partition.skip_to(next + 1_000, node.context().now());
    node.context().work.notify_one();
    wait_until("the items are dropped", || {
        batch_lines("item_dropped", "lost-batch").len() == 2
    })
    .await;
    let dropped = batch_lines("item_dropped", "lost-batch");
    assert!(dropped.iter().all(|line| line["reason"] == "not_known"));
    assert!(batch_lines("end_seen", "lost-batch").is_empty());
    let first = (next + 1_000).to_string();
    let skips = lines_with("history_skipped", "partition", &name);
    let skip = skips.iter().find(|line| line["first"] == first);
    assert!(number(skip.expect("the skip is logged"), "from") >= next);
}

/// A view of a batch partition that no node of these tests uses.
fn unused_view(partition: u32) -> StreamView<PartitionState> {
    let id = StreamPartition {
        stream: LogStream::Batches(1_000),
        partition,
    };
    StreamView::new(id, PartitionState::default(), Arc::new(Notify::new()))
}

/// An empty page that begins and ends at an offset.
fn page_at(offset: u64) -> LogPage {
    LogPage {
        from: offset,
        end: offset,
        records: Vec::new(),
    }
}

/// First skipped offset and first kept offset of each logged skip of a partition.
fn logged_skips(view: &StreamView<PartitionState>) -> Vec<(u64, u64)> {
    let lines = lines_with("history_skipped", "partition", &view.id.to_string());
    let skips = lines.iter();
    skips
        .map(|line| (number(line, "from"), number(line, "first")))
        .collect()
}

/// A skip is logged for both ways in which the log reports dropped records: an error, and a page that starts later.
#[test]
fn records_that_were_dropped_unread_are_logged() {
    capture();
    let view = unused_view(0);
    view.apply_page(page_at(0), 0, 1);
    assert_eq!(logged_skips(&view), []);
    view.skip_to(4, 1);
    view.apply_page(page_at(9), 1, 2);
    assert_eq!(logged_skips(&view), [(0, 4), (4, 9)]);
    // Nothing is skipped here.
    view.skip_to(9, 2);
    view.apply_page(page_at(9), 2, 3);
    assert_eq!(logged_skips(&view).len(), 2);
}

/// A partition whose oldest records are past their retention is forgotten and read from 0 repeatedly; its skip is
/// logged once.
#[test]
fn dropped_oldest_records_are_logged_once() {
    capture();
    let view = unused_view(1);
    for read in 1..=3 {
        view.skip_to(10 * read, read);
        view.forget_if_older_than(u64::MAX);
        assert_eq!(view.lock().next, 0);
    }
    assert_eq!(logged_skips(&view), [(0, 10)]);
    view.apply_page(page_at(40), 0, 1);
    view.apply_page(page_at(50), 1, 2);
    assert_eq!(logged_skips(&view), [(0, 10), (40, 50)]);
}

/// Log lines may be dropped when their budget is used up, so the age of the knowledge at the start of a run is also
/// recorded as a metric.
#[tokio::test]
async fn the_age_of_knowledge_at_run_starts_is_recorded() {
    capture();
    let metrics = metrics::start("127.0.0.1:0".parse().unwrap()).unwrap();
    let deployment = Deployment::start(1, 0).await;
    let node = deployment.node("a").await;
    start_running_batch(&deployment, &node, "counted-batch").await;
    let started = &lines("run_started", "counted-batch-one")[0];
    number(started, "known_age_ms");
    let text = metrics.render();
    let count = text.lines().find_map(|line| {
        let count = line.strip_prefix("gateway_run_knowledge_age_ms_count ")?;
        count.parse::<u64>().ok()
    });
    assert!(count.is_some_and(|count| count >= 2), "{text}");
    // Runs are started on knowledge of up to 2 s, and their requests written up to 2.55 s.
    for bound in ["2000", "2550"] {
        let bucket = format!("gateway_run_knowledge_age_ms_bucket{{le=\"{bound}\"}}");
        assert!(text.contains(&bucket), "{text}");
    }
}
