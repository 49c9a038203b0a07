//! Phase times of training steps, computed from log lines.

use havenstage_step_report::line::LogLine;
use havenstage_step_report::step::{StepTimes, Steps};

fn times(lines: &[&str]) -> Vec<StepTimes> {
    let mut steps = Steps::default();
    for line in lines {
        steps.add(LogLine::parse(line).expect("a log line"));
    }
    steps.times()
}

const FIRST: [&str; 9] = [
    r#"  1.0 node-1 {"event":"batch_submitted","batch":"b1","step":0,"desired_groups":1,"status":202}"#,
    r#"  1.5 node-1 {"event":"run_started","batch":"b1","request":"i1","group":"g1"}"#,
    r#"  1.5 node-1 {"event":"run_started","batch":"b1","request":"i2","group":"g1"}"#,
    r#"  2.0 node-1 {"event":"run_started","batch":"b1","request":"i3","group":"g2"}"#,
    r#"  3.0 node-1 {"event":"item_finished","batch":"b1","request":"i1","events":20}"#,
    r#"  4.0 node-1 {"event":"item_finished","batch":"b1","request":"i2","events":40}"#,
    r#"  4.5 node-2 {"event":"results_read","batch":"b1","next":2}"#,
    r#"  5.0 node-2 {"event":"batch_end","batch":"b1","status":200}"#,
    r#"  9.0 node-2 {"event":"results_read","batch":"b1","next":2}"#,
];

#[test]
fn step_is_complete_once_enough_groups_are() {
    let times = times(&FIRST);
    assert_eq!(times.len(), 1);
    let step = &times[0];
    assert_eq!(step.number, Some(0));
    assert_eq!(step.half_started, Some(0.5));
    assert_eq!(step.all_started, Some(1.0));
    assert_eq!(step.groups_complete, Some(3.0));
    assert_eq!(step.longest_needed, 40);
    assert_eq!(step.read, Some(3.5));
    assert_eq!(step.ended, Some(4.0));
}

#[test]
fn step_waits_for_carried_over_groups() {
    let second = [
        r#"  6.0 node-1 {"event":"batch_submitted","batch":"b2","step":2,"desired_groups":1,"status":202}"#,
        r#"  6.0 node-1 {"event":"output_kept","batch":"b2","request":"i3","events":7}"#,
        r#"  6.5 node-1 {"event":"run_started","batch":"b2","request":"i4","group":"g3"}"#,
        r#"  7.0 node-1 {"event":"item_finished","batch":"b2","request":"i4","events":9}"#,
        r#"  8.0 node-1 {"event":"item_finished","batch":"b2","request":"i3","events":90}"#,
    ];
    let lines: Vec<&str> = FIRST.iter().chain(&second).copied().collect();
    let times = times(&lines);
    assert_eq!(times[1].carried_groups, 1);
    assert_eq!(times[1].groups_complete, Some(2.0));
    assert_eq!(times[1].longest_needed, 90);
    assert_eq!(times[1].ended, None);
}

#[test]
fn line_without_a_prefix_uses_its_timestamp() {
    let line = LogLine::parse(r#"{"event":"started","timestamp":"2026-10-05T04:25:44.014+00:00"}"#);
    let line = line.expect("a log line");
    assert!((line.at_s.fract() - 0.014).abs() < 1e-3);
}

#[test]
fn other_lines_are_rejected() {
    assert!(LogLine::parse("worth 0.8 = whole day").is_err());
    assert!(LogLine::parse(r#"1.0 node {"event":"#).is_err());
    assert!(LogLine::parse(r#"{"event":"started"}"#).is_err());
}

/// Guards against counting `batch_end` lines of any status: a step was reported as ended after a
/// rejected call to end it, though its batch continued to run.
#[test]
fn a_step_has_ended_once_its_end_was_acknowledged() {
    let rejected = r#"  4.6 node-2 {"event":"batch_end","batch":"b1","status":503}"#;
    let lines: Vec<&str> = FIRST[..7]
        .iter()
        .chain([&rejected])
        .chain(&FIRST[7..])
        .copied()
        .collect();
    assert_eq!(times(&lines)[0].ended, Some(4.0));
}
