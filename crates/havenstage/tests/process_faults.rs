//! Real node processes that are killed, frozen and woken under calls and a job: what everybody saw
//! is judged by the history checker. Steps are waited for; no time is measured.

#[path = "support/caller.rs"]
mod caller;
#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/history.rs"]
mod history;
#[path = "support/process.rs"]
mod process;
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use caller::Caller;
use cluster::Cluster;
use havenstage_history::checker::{Bounds, CheckReport, JobBounds, Promise, Verdict, check};
use havenstage_history::event::engine::{BackEndLeaving, LeavingOrigin};
use havenstage_history::event::node::NodeEvent;
use havenstage_history::event::{EventBody, EventSource, HistoryEvent};
use havenstage_standin::trainer::TrainerRecord;
use havenstage_types::ids::{JobName, ModelName};
use history::{Recorder, record};
use process::Service;
use tokio::sync::watch;

/// Time for calls and samples to be in flight before the next fault.
const PAUSE: Duration = Duration::from_secs(2);
/// Longer than the members need to declare a silent one dead (a probe and three seconds).
const FREEZE: Duration = Duration::from_secs(8);
/// Grace of a drained engine, generous for a slow machine: a node that was frozen through the
/// drain learns of it only after waking, and may first place what waited for it.
const LEAVING_GRACE: Duration = Duration::from_secs(10);
/// Far above what the job takes; reached only when it never ends.
const NEVER: Duration = Duration::from_secs(120);

/// Promises that the recorded events can tell of.
const JUDGED: [Promise; 6] = [
    Promise::TrueVersions,
    Promise::ExactlyOnce,
    Promise::WholeAnswer,
    Promise::NotRunIsTrue,
    Promise::AtMostOnce,
    Promise::LeavingBackEnd,
];

#[tokio::test(flavor = "multi_thread")]
async fn killed_and_frozen_nodes_break_no_promise() {
    let recorder = Recorder::new();
    let mut cluster = Cluster::start(&recorder);
    let trainer = cluster.start_job();
    let nodes = cluster.nodes.iter();
    let nodes = nodes.map(|node| (node.id, node.http_address)).collect();
    let (stop, stopped) = watch::channel(false);
    let calls = tokio::spawn(Caller::new(nodes, recorder.clone()).run(stopped));

    tokio::time::sleep(PAUSE).await;
    let told = |body| recorder.record(EventSource::Platform, body);
    let killed = cluster.nodes.pop().expect("there are nodes");
    let frozen = &cluster.nodes[1];
    told(EventBody::NodeKilled(NodeEvent { node: killed.id }));
    killed.process.signal("KILL");
    assert_eq!(killed.process.exit_code(), None, "it ended by the signal");

    tokio::time::sleep(PAUSE).await;
    told(EventBody::NodeFrozen(NodeEvent { node: frozen.id }));
    frozen.process.signal("STOP");
    tokio::time::sleep(FREEZE / 2).await;
    let drained = cluster.engines[1].name.clone();
    cluster.operate(&["drain", drained.0.as_str()]);
    told(EventBody::BackEndLeaving(BackEndLeaving {
        engine: drained,
        origin: LeavingOrigin::Operator,
    }));
    tokio::time::sleep(FREEZE / 2).await;
    frozen.process.signal("CONT");
    told(EventBody::NodeWoken(NodeEvent { node: frozen.id }));

    tokio::time::sleep(LEAVING_GRACE + PAUSE).await;
    let trained = finished(&trainer).await;
    stop.send(true).expect("the caller runs");
    calls.await.expect("no caller panicked");

    for engine in &cluster.engines {
        recorder.add_executions(engine).await;
    }
    recorder.add_deliveries(&trained);
    let events = recorder.events();
    assert_kept(&check(&events, &bounds()), &events);
}

async fn finished(trainer: &Service) -> TrainerRecord {
    let finished = async {
        loop {
            let seen: TrainerRecord = record(trainer.address).await;
            if seen.finished {
                return seen;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let finished = tokio::time::timeout(NEVER, finished).await;
    finished.expect("the trainer gets all steps")
}

fn bounds() -> Bounds {
    let job = JobBounds {
        model: ModelName::new("m"),
        staleness_bound: 1,
        samples_per_step: 8,
    };
    Bounds {
        leaving_grace_ms: LEAVING_GRACE.as_millis() as u64,
        deadline_grace_ms: 45_000,
        jobs: BTreeMap::from([(JobName::new("j"), job)]),
        ..Bounds::default()
    }
}

fn assert_kept(report: &CheckReport, events: &[HistoryEvent]) {
    for promise in JUDGED {
        for violation in &report.promises[&promise].violations {
            let involved: Vec<_> = violation
                .events
                .iter()
                .map(|index| &events[*index])
                .collect();
            println!("{promise:?}: {}: {involved:#?}", violation.reason);
        }
    }
    let retried = requests_retried_at_most_once(events);
    let unassigned = report.unassigned_executions;
    println!(
        "{report}at-most-once requests retried: {retried}, executions unassigned: {unassigned}"
    );
    assert!(retried > 0, "no at-most-once request was retried");
    assert!(
        report.recording_faults.is_empty(),
        "{:?}",
        report.recording_faults
    );
    for promise in JUDGED {
        assert_eq!(report.verdict(promise), Verdict::Kept, "{promise:?}");
    }
}

/// Requests that must run at most once and for which more than one call was made.
fn requests_retried_at_most_once(events: &[HistoryEvent]) -> usize {
    let retries = events.iter().filter_map(|event| match &event.body {
        EventBody::CallSent(sent) if sent.at_most_once && sent.call.call > 1 => {
            Some(sent.call.request)
        }
        _ => None,
    });
    retries.collect::<BTreeSet<_>>().len()
}
