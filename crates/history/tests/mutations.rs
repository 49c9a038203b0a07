//! Alters one thing in a history that keeps all promises. Each alteration here is a sure breach,
//! so the checker must find it, whatever the size of the history and wherever it is done.

mod common;

use common::good::{Sizes, good};
use common::{History, bounds};
use havenstage_history::checker::{CheckReport, Promise, check};
use havenstage_history::event::caller::ToldExecution;
use havenstage_history::event::engine::{ExecutionOutcome, Subject};
use havenstage_history::event::node::ReadResult;
use havenstage_history::event::{EventBody, HistoryEvent};
use havenstage_history::fingerprint::Fingerprint;
use havenstage_types::ids::{EngineName, LogOffset, Revision, VersionNumber};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x6861_7665_6e73_7467),
        ..ProptestConfig::default()
    }
}

fn sizes() -> impl Strategy<Value = Sizes> {
    (1..4_u64, 1..4_u64, 1..4_u32, 1..4_u64).prop_map(
        |(rounds_of_calls, steps, samples_per_step, changes)| Sizes {
            rounds_of_calls,
            steps,
            samples_per_step,
            changes,
        },
    )
}

fn judge(history: &History, sizes: &Sizes) -> CheckReport {
    check(&history.events, &bounds(sizes.samples_per_step))
}

/// Picks one of the events that `wanted` accepts.
fn pick(history: &History, index: Index, wanted: impl Fn(&EventBody) -> bool) -> usize {
    let places: Vec<_> = history
        .events
        .iter()
        .enumerate()
        .filter(|(_, event)| wanted(&event.body))
        .map(|(place, _)| place)
        .collect();
    *index.get(&places)
}

fn body(history: &mut History, place: usize) -> &mut EventBody {
    &mut history.events[place].body
}

fn expect_broken(report: &CheckReport, promise: Promise) {
    assert!(report.broken().contains(&promise), "{report}");
}

fn is_answer(body: &EventBody) -> bool {
    matches!(body, EventBody::CallAnswered(_))
}

fn is_delivery(body: &EventBody) -> bool {
    matches!(body, EventBody::SampleReceived(_))
}

fn is_end(body: &EventBody) -> bool {
    matches!(body, EventBody::ExecutionEnded(_))
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_good_history_is_clean(sizes in sizes()) {
        let report = judge(&good(&sizes), &sizes);
        prop_assert!(report.is_clean(), "{report}");
        prop_assert!(report.not_exercised().is_empty(), "{report}");
        prop_assert_eq!(report.unassigned_executions, 0);
    }

    #[test]
    fn a_lost_answer_is_found(sizes in sizes(), index: Index) {
        let mut history = good(&sizes);
        let place = pick(&history, index, is_answer);
        history.events.remove(place);
        expect_broken(&judge(&history, &sizes), Promise::WholeAnswer);
    }

    #[test]
    fn a_repeated_answer_is_found(sizes in sizes(), index: Index) {
        let mut history = good(&sizes);
        let place = pick(&history, index, is_answer);
        history.events.push(history.events[place].clone());
        expect_broken(&judge(&history, &sizes), Promise::WholeAnswer);
    }

    #[test]
    fn an_altered_text_is_found(sizes in sizes(), index: Index) {
        let mut history = good(&sizes);
        let place = pick(&history, index, is_answer);
        if let EventBody::CallAnswered(answered) = body(&mut history, place) {
            answered.text = Fingerprint(answered.text.0 ^ 1);
        }
        expect_broken(&judge(&history, &sizes), Promise::WholeAnswer);
    }

    #[test]
    fn altered_versions_are_found(sizes in sizes(), index: Index) {
        let mut history = good(&sizes);
        let place = pick(&history, index, |body| is_answer(body) || is_delivery(body));
        let segments = match body(&mut history, place) {
            EventBody::CallAnswered(answered) => &mut answered.segments,
            EventBody::SampleReceived(received) => &mut received.segments,
            other => panic!("picked {other:?}"),
        };
        segments.0[0].version.0 += 7;
        expect_broken(&judge(&history, &sizes), Promise::TrueVersions);
    }

    #[test]
    fn a_lost_execution_is_found(sizes in sizes(), index: Index) {
        let mut history = good(&sizes);
        let place = pick(&history, index, |body| {
            matches!(body, EventBody::ExecutionEnded(ended)
                if matches!(ended.outcome, ExecutionOutcome::Finished(_)))
        });
        history.events.remove(place);
        history.events.remove(place - 1);
        prop_assert!(!judge(&history, &sizes).is_clean());
    }

    #[test]
    fn an_execution_end_without_start_is_a_recording_fault(sizes in sizes(), index: Index) {
        let mut history = good(&sizes);
        let place = pick(&history, index, is_end);
        history.events.remove(place - 1);
        prop_assert!(!judge(&history, &sizes).recording_faults.is_empty());
    }

    #[test]
    fn a_lost_sample_is_found(sizes in sizes(), index: Index) {
        let mut history = good(&sizes);
        let place = pick(&history, index, is_delivery);
        let EventBody::SampleReceived(lost) = body(&mut history, place).clone() else {
            panic!("not a delivery");
        };
        history.events.retain(|event| {
            !matches!(&event.body, EventBody::SampleReceived(other) if other.sample == lost.sample)
        });
        expect_broken(&judge(&history, &sizes), Promise::ExactlyOnce);
    }

    #[test]
    fn a_doubled_sample_is_found(sizes in sizes(), index: Index, same_attempt: bool) {
        let mut history = good(&sizes);
        let place = pick(&history, index, is_delivery);
        let mut doubled: HistoryEvent = history.events[place].clone();
        if let EventBody::SampleReceived(received) = &mut doubled.body {
            received.read += 5;
            if same_attempt {
                received.offset = LogOffset(900_000);
            } else {
                received.attempt = common::attempt(900_000);
            }
        }
        history.events.push(doubled);
        expect_broken(&judge(&history, &sizes), Promise::ExactlyOnce);
    }

    #[test]
    fn a_newer_version_before_a_commit_is_found(sizes in sizes(), index: Index) {
        let mut history = good(&sizes);
        let place = pick(&history, index, |body| {
            matches!(body, EventBody::JobStreamCommitObserved(_))
        });
        if let EventBody::JobStreamCommitObserved(commit) = body(&mut history, place) {
            commit.newest = VersionNumber(commit.newest.0 + 2);
        }
        expect_broken(&judge(&history, &sizes), Promise::StalenessBound);
    }

    #[test]
    fn an_unknown_outcome_told_as_not_run_is_found(sizes in sizes(), index: Index) {
        let mut history = good(&sizes);
        let place = pick(&history, index, |body| {
            matches!(body, EventBody::CallRefused(refused)
                if refused.execution == ToldExecution::Unknown)
        });
        if let EventBody::CallRefused(refused) = body(&mut history, place) {
            refused.execution = ToldExecution::NotRun;
        }
        expect_broken(&judge(&history, &sizes), Promise::NotRunIsTrue);
    }

    #[test]
    fn a_second_run_under_a_key_is_found(sizes in sizes(), index: Index) {
        let mut history = good(&sizes);
        let keyed: Vec<_> = history.events.iter().filter_map(|event| match &event.body {
            EventBody::CallSent(sent) if sent.at_most_once => Some(sent.prompt),
            _ => None,
        }).collect();
        let place = pick(&history, index, |body| {
            matches!(body, EventBody::ExecutionStarted(started)
                if keyed.contains(&started.prompt)
                    && matches!(started.subject, Subject::Request(_)))
        });
        let mut again = history.events[place].clone();
        if let EventBody::ExecutionStarted(started) = &mut again.body {
            started.execution.sequence += 900_000;
        }
        history.events.push(again);
        expect_broken(&judge(&history, &sizes), Promise::AtMostOnce);
    }

    #[test]
    fn work_moved_to_a_leaving_engine_is_found(sizes in sizes(), index: Index) {
        let mut history = good(&sizes);
        let place = pick(&history, index, |body| {
            matches!(body, EventBody::ExecutionStarted(started)
                if started.execution.engine.as_str() != "e9")
        });
        let at_ms = history.events[place].at_ms;
        for place in [place, place + 1] {
            history.events[place].at_ms = at_ms.max(20_000);
            match body(&mut history, place) {
                EventBody::ExecutionStarted(started) => {
                    started.execution.engine = EngineName::new("e9");
                }
                EventBody::ExecutionEnded(ended) => {
                    ended.execution.engine = EngineName::new("e9");
                }
                other => panic!("picked {other:?}"),
            }
        }
        expect_broken(&judge(&history, &sizes), Promise::LeavingBackEnd);
    }

    #[test]
    fn an_early_exit_is_found(sizes in sizes(), early_ms in 251..2_000_u64, index: Index) {
        let mut history = good(&sizes);
        let place = pick(&history, index, |body| {
            matches!(body, EventBody::NodeExited(_))
        });
        history.events[place].at_ms = 18_010 - early_ms;
        expect_broken(&judge(&history, &sizes), Promise::PlannedStop);
    }

    #[test]
    fn an_older_read_is_found(sizes in sizes(), index: Index) {
        let mut history = good(&sizes);
        let place = pick(&history, index, |body| {
            matches!(body, EventBody::ConfigRead(read)
                if matches!(read.result, ReadResult::Found { .. }))
        });
        if let EventBody::ConfigRead(read) = body(&mut history, place)
            && let ReadResult::Found { revision, .. } = &mut read.result
        {
            *revision = Revision(revision.0 - 1);
        }
        expect_broken(&judge(&history, &sizes), Promise::ConfigInForce);
    }
}
