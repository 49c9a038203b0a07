//! Tests of stop reasons, the circuit breaker and recovery after a failure.

mod support;

use std::time::Duration;

use havenstage_placement::admission::{AdmissionAction, EngineAdmission};
use havenstage_types::decision::EngineStopReason;
use havenstage_types::peer::ReleaseReason;
use havenstage_types::refusal::RefusalReason;
use havenstage_types::resource::PriorityClass::{Live, Training};
use support::{
    admit_request, assert_refused, at_seconds, attempt, engine, granted, new_admission, preempted,
    refusals, release, report,
};

fn draining() -> RefusalReason {
    RefusalReason::EngineDraining(engine())
}

fn granted_after_release(
    admission: &mut EngineAdmission,
    seconds: u64,
    sequence: u64,
    end: ReleaseReason,
) -> Vec<u64> {
    granted(&admission.release(at_seconds(seconds), &release(attempt(sequence), end)))
}

#[test]
fn a_stopped_engine_refuses_queued_and_new_work_and_lets_running_work_finish() {
    let mut admission = new_admission(1);
    admission.admit(at_seconds(0), admit_request(1, Live));
    admission.admit(at_seconds(0), admit_request(2, Live));
    let actions = admission.stop(at_seconds(1), EngineStopReason::Operator);
    assert_eq!(
        actions[0],
        AdmissionAction::EngineStopped(EngineStopReason::Operator)
    );
    assert_refused(&actions, 2, &draining());
    assert_refused(
        &admission.admit(at_seconds(1), admit_request(3, Live)),
        3,
        &draining(),
    );
    assert_eq!(admission.in_flight(), 1);
    assert!(
        admission
            .stop(at_seconds(2), EngineStopReason::Operator)
            .is_empty()
    );
}

#[test]
fn an_engine_resumes_when_its_last_stop_reason_is_removed() {
    let mut admission = new_admission(1);
    admission.stop(at_seconds(0), EngineStopReason::Operator);
    admission.stop(at_seconds(0), EngineStopReason::MachineList);
    assert!(
        admission
            .resume(at_seconds(1), EngineStopReason::Operator)
            .is_empty()
    );
    assert!(admission.is_stopped());
    let actions = admission.resume(at_seconds(2), EngineStopReason::MachineList);
    assert_eq!(actions, [AdmissionAction::EngineResumed]);
    assert_eq!(
        granted(&admission.admit(at_seconds(2), admit_request(1, Live))),
        [1]
    );
}

#[test]
fn an_engine_that_reports_leaving_gets_no_new_work() {
    let mut admission = new_admission(1);
    let mut leaving = report(1);
    leaving.leaving = true;
    admission.record_report(at_seconds(0), &leaving);
    assert_refused(
        &admission.admit(at_seconds(0), admit_request(1, Live)),
        1,
        &draining(),
    );
    admission.record_report(at_seconds(1), &report(1));
    assert!(!admission.is_stopped());
}

#[test]
fn the_circuit_breaker_opens_after_failures_in_a_row_and_a_report_starts_recovery() {
    let mut admission = new_admission(8);
    for sequence in 1..=4 {
        admission.admit(at_seconds(0), admit_request(sequence, Live));
    }
    granted_after_release(&mut admission, 1, 1, ReleaseReason::EngineUnreachable);
    assert!(admission.record_unreachable(at_seconds(1)).is_empty());
    let actions = admission.release(
        at_seconds(1),
        &release(attempt(2), ReleaseReason::EngineUnreachable),
    );
    assert_eq!(
        actions,
        [AdmissionAction::EngineStopped(
            EngineStopReason::Unreachable
        )]
    );
    let unreachable = RefusalReason::EngineUnreachable(engine());
    assert_refused(
        &admission.admit(at_seconds(2), admit_request(5, Live)),
        5,
        &unreachable,
    );

    assert_eq!(
        admission.record_report(at_seconds(3), &report(1)),
        [AdmissionAction::EngineResumed]
    );
    assert_eq!(
        granted(&admission.admit(at_seconds(3), admit_request(6, Live))),
        [6]
    );
    assert!(granted(&admission.admit(at_seconds(3), admit_request(7, Live))).is_empty());
}

#[test]
fn a_report_between_failures_keeps_the_circuit_breaker_closed() {
    let mut admission = new_admission(8);
    for second in 0..10 {
        admission.record_unreachable(at_seconds(second));
        admission.record_unreachable(at_seconds(second));
        admission.record_report(at_seconds(second), &report(1));
    }
    assert!(!admission.is_stopped());
}

#[test]
fn after_a_failure_work_is_admitted_one_at_a_time_until_five_successes() {
    let mut admission = new_admission(8);
    admission.admit(at_seconds(0), admit_request(1, Live));
    granted_after_release(&mut admission, 1, 1, ReleaseReason::EngineFailed);
    for sequence in 2..=8 {
        admission.admit(at_seconds(1), admit_request(sequence, Live));
    }
    assert_eq!(admission.in_flight(), 1);
    for sequence in 2..=5 {
        let next = granted_after_release(&mut admission, 2, sequence, ReleaseReason::Ended);
        assert_eq!(next, [sequence + 1]);
    }
    assert!(admission.is_recovering());
    assert_eq!(
        granted_after_release(&mut admission, 3, 6, ReleaseReason::Ended),
        [7, 8]
    );
    assert!(!admission.is_recovering());
}

#[test]
fn a_failure_during_recovery_restarts_it() {
    let mut admission = new_admission(8);
    admission.admit(at_seconds(0), admit_request(1, Live));
    granted_after_release(&mut admission, 1, 1, ReleaseReason::EngineFailed);
    for sequence in 2..=5 {
        admission.admit(at_seconds(1), admit_request(sequence, Live));
        granted_after_release(&mut admission, 1, sequence, ReleaseReason::Ended);
    }
    admission.admit(at_seconds(2), admit_request(6, Live));
    granted_after_release(&mut admission, 2, 6, ReleaseReason::EngineFailed);
    admission.admit(at_seconds(3), admit_request(7, Live));
    assert_eq!(
        granted_after_release(&mut admission, 3, 7, ReleaseReason::Ended),
        [0; 0]
    );
    assert!(admission.is_recovering());
}

#[test]
fn failures_of_requests_from_before_a_restart_do_not_restart_recovery() {
    let mut admission = new_admission(8);
    for sequence in 1..=3 {
        admission.admit(at_seconds(0), admit_request(sequence, Live));
    }
    admission.record_report(at_seconds(0), &report(1));
    admission.record_report(at_seconds(1), &report(2));
    assert!(admission.is_recovering());
    for sequence in 4..=8 {
        admission.admit(at_seconds(2), admit_request(sequence, Live));
        granted_after_release(&mut admission, 2, sequence, ReleaseReason::Ended);
        granted_after_release(&mut admission, 2, sequence - 3, ReleaseReason::EngineFailed);
    }
    assert!(!admission.is_recovering());
}

#[test]
fn long_requests_count_as_successes_after_reports_without_pressure() {
    let mut admission = new_admission(8);
    admission.record_report(at_seconds(0), &report(1));
    admission.record_report(at_seconds(1), &report(2));
    for sequence in 1..=7 {
        let mut request = admit_request(sequence, Live);
        request.patience = Duration::from_secs(60);
        admission.admit(at_seconds(1), request);
    }
    assert!(
        granted(&admission.record_report(at_seconds(2), &report(2))).is_empty(),
        "the probe has not run long enough"
    );
    let mut under_pressure = report(2);
    under_pressure.kv_used_tokens = 9_000;
    assert!(
        granted(&admission.record_report(at_seconds(5), &under_pressure)).is_empty(),
        "under pressure"
    );
    for round in 1..=4 {
        assert_eq!(
            granted(&admission.record_report(at_seconds(5 + 3 * round), &report(2))).len(),
            1
        );
    }
    assert_eq!(
        granted(&admission.record_report(at_seconds(20), &report(2))),
        [6, 7]
    );
}

#[test]
fn live_work_preempts_nothing_while_the_engine_is_recovering() {
    let mut admission = new_admission(1);
    admission.admit(at_seconds(0), admit_request(1, Training));
    admission.record_report(at_seconds(0), &report(1));
    admission.record_report(at_seconds(1), &report(2));
    assert!(preempted(&admission.admit(at_seconds(1), admit_request(2, Live))).is_empty());
}

#[test]
fn reported_kv_pressure_blocks_training_but_not_live_work() {
    let mut admission = new_admission(8);
    admission.admit(at_seconds(0), admit_request(1, Live));
    let mut under_pressure = report(1);
    under_pressure.kv_used_tokens = 9_000;
    admission.record_report(at_seconds(1), &under_pressure);
    assert!(granted(&admission.admit(at_seconds(1), admit_request(2, Training))).is_empty());
    assert_eq!(
        granted(&admission.admit(at_seconds(1), admit_request(3, Live))),
        [3]
    );
    let actions = admission.record_report(at_seconds(2), &report(1));
    assert_eq!(granted(&actions), [2]);
    assert!(refusals(&actions).is_empty());
}
