//! Tests that live requests avoid engines about to load a version, and that training is projected
//! from the lengths of finished samples.

mod support;

use std::time::Duration;

use havenstage_placement::admission::{AdmissionLimits, EngineAdmission, TrainingProjection};
use havenstage_types::ids::VersionNumber;
use havenstage_types::peer::{AdmitRequest, ReleaseReason, ReleaseRequest};
use havenstage_types::resource::PriorityClass;
use support::{
    admit_request, at_seconds, attempt, engine, limits, new_admission, permits, release, report,
};

fn non_waiting_request(sequence: u64, class: PriorityClass) -> AdmitRequest {
    AdmitRequest {
        patience: Duration::ZERO,
        ..admit_request(sequence, class)
    }
}

#[test]
fn live_work_that_does_not_wait_is_refused_by_an_engine_about_to_load() {
    let mut admission = new_admission(4);
    admission.record_report(at_seconds(0), &report(1));
    admission.record_swap_order(VersionNumber(8));
    let refused = admission.admit(at_seconds(1), non_waiting_request(1, PriorityClass::Live));
    assert!(permits(&refused).is_empty());
    let waiting = admission.admit(at_seconds(1), admit_request(2, PriorityClass::Live));
    assert_eq!(permits(&waiting).len(), 1);
    let training = admission.admit(
        at_seconds(1),
        non_waiting_request(3, PriorityClass::Training),
    );
    assert_eq!(permits(&training).len(), 1);
}

#[test]
fn live_work_is_admitted_again_when_a_swap_has_ended() {
    for (version, failed) in [(8, None), (7, Some(VersionNumber(8)))] {
        let mut admission = new_admission(4);
        admission.record_report(at_seconds(0), &report(1));
        admission.record_swap_order(VersionNumber(8));
        // A report that still shows the state before the order changes nothing.
        admission.record_report(at_seconds(1), &report(1));
        let early = admission.admit(at_seconds(1), non_waiting_request(1, PriorityClass::Live));
        assert!(permits(&early).is_empty());
        let mut ended = report(1);
        ended.version = Some(VersionNumber(version));
        ended.failed_swap = failed;
        admission.record_report(at_seconds(2), &ended);
        let late = admission.admit(at_seconds(2), non_waiting_request(2, PriorityClass::Live));
        assert_eq!(permits(&late).len(), 1);
    }
}

/// Number of training requests of up to 1000 tokens that are admitted together after a request that
/// generated `finished_tokens` has ended.
fn count_admitted_after(projection: TrainingProjection, finished_tokens: u32) -> usize {
    let limits = AdmissionLimits {
        training_projection: projection,
        live_reserve_percent: 0,
        max_queued: 0,
        ..limits(100)
    };
    let mut admission = EngineAdmission::new(engine(), limits);
    admission.record_report(at_seconds(0), &report(1));
    admission.admit(at_seconds(0), admit_request(1_000, PriorityClass::Training));
    admission.release(
        at_seconds(1),
        &ReleaseRequest {
            generated_tokens: Some(finished_tokens),
            ..release(attempt(1_000), ReleaseReason::Ended)
        },
    );
    let granted = (1..100).filter(|sequence| {
        let mut request = non_waiting_request(*sequence, PriorityClass::Training);
        request.max_new_tokens = 1_000;
        permits(&admission.admit(at_seconds(2), request)).len() == 1
    });
    granted.count()
}

#[test]
fn projection_follows_the_lengths_in_releases() {
    // The budget is 8500 tokens; each request has 10 tokens of context.
    assert_eq!(
        count_admitted_after(TrainingProjection::ShareOfBound, 90),
        16
    );
    assert_eq!(
        count_admitted_after(TrainingProjection::ObservedMean, 90),
        85
    );
    assert_eq!(
        count_admitted_after(TrainingProjection::ObservedCautious, 90),
        44
    );
}

#[test]
fn lengths_of_live_outputs_do_not_change_the_training_projection() {
    let mut admission = new_admission(4);
    admission.record_report(at_seconds(0), &report(1));
    admission.admit(at_seconds(0), admit_request(1, PriorityClass::Live));
    admission.release(
        at_seconds(1),
        &ReleaseRequest {
            generated_tokens: Some(20),
            ..release(attempt(1), ReleaseReason::Ended)
        },
    );
    let mut request = non_waiting_request(2, PriorityClass::Training);
    request.max_new_tokens = 20_000;
    // The projection is half of the bound, which does not fit into the KV budget.
    assert!(permits(&admission.admit(at_seconds(2), request)).is_empty());
}
