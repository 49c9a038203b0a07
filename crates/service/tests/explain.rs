//! Which decisions are recorded, and which are returned for a subject.

use std::collections::BTreeMap;

use havenstage_service::explain::{Decision, DecisionRecords, Subject};
use serde_json::Value;

const ENOUGH: usize = 1024 * 1024;

fn decision(event: &str, fields: &[(&str, &str)]) -> Decision {
    let fields = fields.iter();
    let fields = fields.map(|(name, value)| (name.to_string(), Value::from(*value)));
    Decision {
        at_ms: 1,
        event: event.to_owned(),
        fields: fields.collect::<BTreeMap<_, _>>(),
    }
}

fn events(records: &DecisionRecords, subject: &str) -> Vec<String> {
    let decisions = records.about(&Subject::from(subject));
    decisions
        .into_iter()
        .map(|decision| decision.event)
        .collect()
}

#[test]
fn a_subject_is_a_request_a_sample_a_batch_an_engine_or_a_model() {
    let records = DecisionRecords::new(ENOUGH);
    records.keep(decision("batch_submitted", &[("batch", "b1")]));
    let run = [("request", "s1"), ("batch", "b1"), ("backend", "e1@17")];
    records.keep(decision("run_started", &run));
    let other = [("request", "s1"), ("batch", "b2"), ("backend", "e10@17")];
    records.keep(decision("run_ended", &other));
    records.keep(decision(
        "send_broke",
        &[("request", "s1"), ("backend", "e1@17")],
    ));
    records.keep(decision("version_published", &[("model", "m")]));
    assert_eq!(events(&records, "b1/s1"), ["run_started", "send_broke"]);
    assert_eq!(
        events(&records, "s1"),
        ["run_started", "run_ended", "send_broke"]
    );
    assert_eq!(events(&records, "b1"), ["batch_submitted", "run_started"]);
    assert_eq!(
        events(&records, "e1"),
        ["run_started", "send_broke"],
        "the name of an engine matches each of its incarnations"
    );
    assert_eq!(events(&records, "m"), ["version_published"]);
    assert!(events(&records, "nobody").is_empty());
}

#[test]
fn lines_without_a_subject_and_reads_are_not_kept() {
    let records = DecisionRecords::new(ENOUGH);
    records.keep(decision("checkpoint_written", &[("outcome", "written")]));
    records.keep(decision("run_started", &[("request", "")]));
    records.keep(decision("results_read", &[("batch", "b1")]));
    assert!(events(&records, "b1").is_empty());
    assert!(events(&records, "").is_empty());
    assert_eq!(records.forgotten(), 0);
}

#[test]
fn the_oldest_decisions_are_forgotten_and_counted() {
    let records = DecisionRecords::new(4_000);
    for at in 0..100 {
        let request = format!("r{at}");
        records.keep(decision("call", &[("request", &request)]));
    }
    let forgotten = records.forgotten();
    assert!((1..100).contains(&forgotten), "{forgotten}");
    assert!(events(&records, "r0").is_empty());
    assert_eq!(events(&records, "r99"), ["call"]);
    let kept = (0..100).filter(|at| !events(&records, &format!("r{at}")).is_empty());
    assert_eq!(kept.count() as u64, 100 - forgotten);
}
