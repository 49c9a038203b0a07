//! Stops, the circuit breaker and careful re-admission.

mod support;

use std::time::Duration;

use havenstage_placement::admission::{AdmissionAction, EngineAdmission};
use havenstage_types::decision::EngineStopReason;
use havenstage_types::peer::ReleaseReason;
use havenstage_types::refusal::RefusalReason;
use havenstage_types::resource::PriorityClass::{Live, Training};
use support::{
    ask, assert_refused, at, attempt, engine, granted, home, preempted, refusals, release, report,
};

fn draining() -> RefusalReason {
    RefusalReason::EngineDraining(engine())
}

fn end(home: &mut EngineAdmission, seconds: u64, sequence: u64, end: ReleaseReason) -> Vec<u64> {
    granted(&home.release(at(seconds), &release(attempt(sequence), end)))
}

#[test]
fn a_stopped_engine_refuses_queued_and_new_work_and_lets_running_work_finish() {
    let mut home = home(1);
    home.admit(at(0), ask(1, Live));
    home.admit(at(0), ask(2, Live));
    let actions = home.stop(at(1), EngineStopReason::Operator);
    assert_eq!(
        actions[0],
        AdmissionAction::EngineStopped(EngineStopReason::Operator)
    );
    assert_refused(&actions, 2, &draining());
    assert_refused(&home.admit(at(1), ask(3, Live)), 3, &draining());
    assert_eq!(home.in_flight(), 1);
    assert!(home.stop(at(2), EngineStopReason::Operator).is_empty());
}

#[test]
fn an_engine_resumes_when_the_last_reason_is_gone() {
    let mut home = home(1);
    home.stop(at(0), EngineStopReason::Operator);
    home.stop(at(0), EngineStopReason::MachineList);
    assert!(home.resume(at(1), EngineStopReason::Operator).is_empty());
    assert!(home.is_stopped());
    let actions = home.resume(at(2), EngineStopReason::MachineList);
    assert_eq!(actions, [AdmissionAction::EngineResumed]);
    assert_eq!(granted(&home.admit(at(2), ask(1, Live))), [1]);
}

#[test]
fn an_engine_that_reports_to_leave_gets_no_new_work() {
    let mut home = home(1);
    let mut leaving = report(1);
    leaving.leaving = true;
    home.report(at(0), &leaving);
    assert_refused(&home.admit(at(0), ask(1, Live)), 1, &draining());
    home.report(at(1), &report(1));
    assert!(!home.is_stopped());
}

#[test]
fn the_breaker_opens_after_failures_in_a_row_and_closes_with_care_after_a_report() {
    let mut home = home(8);
    for sequence in 1..=4 {
        home.admit(at(0), ask(sequence, Live));
    }
    end(&mut home, 1, 1, ReleaseReason::EngineUnreachable);
    assert!(home.unreachable(at(1)).is_empty());
    let actions = home.release(
        at(1),
        &release(attempt(2), ReleaseReason::EngineUnreachable),
    );
    assert_eq!(
        actions,
        [AdmissionAction::EngineStopped(
            EngineStopReason::Unreachable
        )]
    );
    let unreachable = RefusalReason::EngineUnreachable(engine());
    assert_refused(&home.admit(at(2), ask(5, Live)), 5, &unreachable);

    assert_eq!(
        home.report(at(3), &report(1)),
        [AdmissionAction::EngineResumed]
    );
    assert_eq!(granted(&home.admit(at(3), ask(6, Live))), [6]);
    assert!(granted(&home.admit(at(3), ask(7, Live))).is_empty());
}

#[test]
fn a_report_between_failures_keeps_the_breaker_closed() {
    let mut home = home(8);
    for second in 0..10 {
        home.unreachable(at(second));
        home.unreachable(at(second));
        home.report(at(second), &report(1));
    }
    assert!(!home.is_stopped());
}

#[test]
fn after_a_failure_work_is_admitted_one_at_a_time_until_five_successes() {
    let mut home = home(8);
    home.admit(at(0), ask(1, Live));
    end(&mut home, 1, 1, ReleaseReason::EngineFailed);
    for sequence in 2..=8 {
        home.admit(at(1), ask(sequence, Live));
    }
    assert_eq!(home.in_flight(), 1);
    for sequence in 2..=5 {
        let next = end(&mut home, 2, sequence, ReleaseReason::Ended);
        assert_eq!(next, [sequence + 1]);
    }
    assert!(home.is_recovering());
    assert_eq!(end(&mut home, 3, 6, ReleaseReason::Ended), [7, 8]);
    assert!(!home.is_recovering());
}

#[test]
fn a_failure_during_re_admission_starts_it_over() {
    let mut home = home(8);
    home.admit(at(0), ask(1, Live));
    end(&mut home, 1, 1, ReleaseReason::EngineFailed);
    for sequence in 2..=5 {
        home.admit(at(1), ask(sequence, Live));
        end(&mut home, 1, sequence, ReleaseReason::Ended);
    }
    home.admit(at(2), ask(6, Live));
    end(&mut home, 2, 6, ReleaseReason::EngineFailed);
    home.admit(at(3), ask(7, Live));
    assert_eq!(end(&mut home, 3, 7, ReleaseReason::Ended), [0; 0]);
    assert!(home.is_recovering());
}

#[test]
fn failures_of_work_from_before_the_crash_do_not_start_over() {
    let mut home = home(8);
    for sequence in 1..=3 {
        home.admit(at(0), ask(sequence, Live));
    }
    home.report(at(0), &report(1));
    home.report(at(1), &report(2));
    assert!(home.is_recovering());
    for sequence in 4..=8 {
        home.admit(at(2), ask(sequence, Live));
        end(&mut home, 2, sequence, ReleaseReason::Ended);
        end(&mut home, 2, sequence - 3, ReleaseReason::EngineFailed);
    }
    assert!(!home.is_recovering());
}

#[test]
fn long_requests_prove_a_recovered_engine_by_good_reports() {
    let mut home = home(8);
    home.report(at(0), &report(1));
    home.report(at(1), &report(2));
    for sequence in 1..=7 {
        let mut patient = ask(sequence, Live);
        patient.patience = Duration::from_secs(60);
        home.admit(at(1), patient);
    }
    assert!(
        granted(&home.report(at(2), &report(2))).is_empty(),
        "too early to tell"
    );
    let mut pressed = report(2);
    pressed.kv_used_tokens = 9_000;
    assert!(
        granted(&home.report(at(5), &pressed)).is_empty(),
        "under pressure"
    );
    for round in 1..=4 {
        assert_eq!(
            granted(&home.report(at(5 + 3 * round), &report(2))).len(),
            1
        );
    }
    assert_eq!(granted(&home.report(at(20), &report(2))), [6, 7]);
}

#[test]
fn live_work_preempts_nothing_while_the_engine_is_tried_out() {
    let mut home = home(1);
    home.admit(at(0), ask(1, Training));
    home.report(at(0), &report(1));
    home.report(at(1), &report(2));
    assert!(preempted(&home.admit(at(1), ask(2, Live))).is_empty());
}

#[test]
fn reported_kv_pressure_holds_training_back_but_not_live_work() {
    let mut home = home(8);
    home.admit(at(0), ask(1, Live));
    let mut pressed = report(1);
    pressed.kv_used_tokens = 9_000;
    home.report(at(1), &pressed);
    assert!(granted(&home.admit(at(1), ask(2, Training))).is_empty());
    assert_eq!(granted(&home.admit(at(1), ask(3, Live))), [3]);
    let actions = home.report(at(2), &report(1));
    assert_eq!(granted(&actions), [2]);
    assert!(refusals(&actions).is_empty());
}
