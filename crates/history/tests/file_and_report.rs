//! Files of JSON lines, and the report as text.

mod common;

use common::good::{Sizes, good};
use common::{History, Run};
use havenstage_history::event::caller::ToldExecution;
use havenstage_history::file::{HistoryFileError, HistoryWriter, read};

const SIZES: Sizes = Sizes {
    rounds_of_calls: 1,
    steps: 1,
    samples_per_step: 2,
    changes: 2,
};

#[test]
fn a_history_survives_its_file() {
    let history = good(&SIZES);
    let mut writer = HistoryWriter::new(Vec::new());
    for event in &history.events {
        writer.write(event).expect("a vector takes every line");
    }
    let file = writer.finish().expect("a vector can be flushed");
    let lines = file.iter().filter(|byte| **byte == b'\n').count();
    assert_eq!(lines, history.events.len());
    assert_eq!(read(file.as_slice()).expect("just written"), history.events);
}

#[test]
fn a_malformed_line_is_named() {
    let mut writer = HistoryWriter::new(Vec::new());
    let history = good(&SIZES);
    writer
        .write(&history.events[0])
        .expect("a vector takes every line");
    let mut file = writer.finish().expect("a vector can be flushed");
    file.extend_from_slice(b"\n{\"at_ms\":1}\n");
    let error = read(file.as_slice()).expect_err("line 3 lacks its body");
    assert!(matches!(error, HistoryFileError::Malformed { line: 3, .. }));
    insta::assert_snapshot!(error, @"line 3: not a history event");
}

#[test]
fn an_event_is_one_line_of_json() {
    let mut history = History::default();
    history.refused(12, 1, 1, "overloaded", ToldExecution::NotRun);
    let line = serde_json::to_string(&history.events[0]).expect("events can be encoded");
    insta::assert_snapshot!(line, @r#"{"at_ms":12,"source":{"kind":"harness"},"body":{"event":"call_refused","call":{"caller":"portal","request":1,"call":1},"request":"r1-1","code":"overloaded","execution":"not_run","retry_after_ms":null}}"#);
}

#[test]
fn the_report_names_the_broken_promise_and_its_events() {
    let mut history = History::default();
    history.sent(0, 1, 1, Some("notice"));
    history.refused(10, 1, 1, "overloaded", ToldExecution::NotRun);
    history.run(&Run::of_request(1, 1, 500, 600));
    history.run(&Run::of_request(1, 2, 700, 800));
    insta::assert_snapshot!(history.check(), @r#"
    not exercised  true versions (facts: 0, violations: 0)
    not exercised  staleness bound (facts: 0, violations: 0)
    not exercised  exactly once to the trainer (facts: 0, violations: 0)
    kept           whole answer to its own request (facts: 1, violations: 0)
    BROKEN         "not run" is true (facts: 1, violations: 2)
      - call portal#1.1 was told "not run" but execution e1/7/1 ran it (events 0 1 2 3)
      - call portal#1.1 was told "not run" but execution e1/7/2 ran it (events 0 1 4 5)
    BROKEN         at most once (facts: 1, violations: 1)
      - the request under key notice ran 2 times (events 0 1 2 4)
    not exercised  no new work for a leaving back end (facts: 0, violations: 0)
    not exercised  planned stop cuts off nothing (facts: 0, violations: 0)
    not exercised  configuration in force everywhere (facts: 0, violations: 0)
    "#);
}
