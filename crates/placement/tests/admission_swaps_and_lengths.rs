//! Live work keeps off engines that are about to load, and training is projected by what finished
//! samples needed.

mod support;

use std::time::Duration;

use havenstage_placement::admission::{AdmissionLimits, EngineAdmission, TrainingProjection};
use havenstage_types::ids::VersionNumber;
use havenstage_types::peer::{AdmitRequest, ReleaseReason, ReleaseRequest};
use havenstage_types::resource::PriorityClass;
use support::{ask, at, attempt, engine, home, limits, permits, release, report};

fn impatient(sequence: u64, class: PriorityClass) -> AdmitRequest {
    AdmitRequest {
        patience: Duration::ZERO,
        ..ask(sequence, class)
    }
}

#[test]
fn live_work_that_can_ask_elsewhere_keeps_off_an_engine_about_to_load() {
    let mut home = home(4);
    home.report(at(0), &report(1));
    home.swap_ordered(VersionNumber(8));
    let refused = home.admit(at(1), impatient(1, PriorityClass::Live));
    assert!(permits(&refused).is_empty());
    let waiting = home.admit(at(1), ask(2, PriorityClass::Live));
    assert_eq!(permits(&waiting).len(), 1);
    let training = home.admit(at(1), impatient(3, PriorityClass::Training));
    assert_eq!(permits(&training).len(), 1);
}

#[test]
fn the_end_of_a_swap_brings_live_work_back() {
    for (version, failed) in [(8, None), (7, Some(VersionNumber(8)))] {
        let mut home = home(4);
        home.report(at(0), &report(1));
        home.swap_ordered(VersionNumber(8));
        // The report lags: one from before the order changes nothing.
        home.report(at(1), &report(1));
        let early = home.admit(at(1), impatient(1, PriorityClass::Live));
        assert!(permits(&early).is_empty());
        let mut ended = report(1);
        ended.version = Some(VersionNumber(version));
        ended.failed_swap = failed;
        home.report(at(2), &ended);
        let late = home.admit(at(2), impatient(2, PriorityClass::Live));
        assert_eq!(permits(&late).len(), 1);
    }
}

/// Training requests of up to 1000 tokens that fit at once after one of `finished` tokens ended.
fn admitted_after(projection: TrainingProjection, finished: u32) -> usize {
    let limits = AdmissionLimits {
        training_projection: projection,
        live_reserve_percent: 0,
        max_queued: 0,
        ..limits(100)
    };
    let mut home = EngineAdmission::new(engine(), limits);
    home.report(at(0), &report(1));
    home.admit(at(0), ask(1_000, PriorityClass::Training));
    home.release(
        at(1),
        &ReleaseRequest {
            generated_tokens: Some(finished),
            ..release(attempt(1_000), ReleaseReason::Ended)
        },
    );
    let granted = (1..100).filter(|sequence| {
        let mut request = impatient(*sequence, PriorityClass::Training);
        request.max_new_tokens = 1_000;
        permits(&home.admit(at(2), request)).len() == 1
    });
    granted.count()
}

#[test]
fn projection_follows_the_lengths_that_releases_tell() {
    // 8500 tokens of budget, 10 of context each.
    assert_eq!(admitted_after(TrainingProjection::ShareOfBound, 90), 16);
    assert_eq!(admitted_after(TrainingProjection::ObservedMean, 90), 85);
    assert_eq!(admitted_after(TrainingProjection::ObservedCautious, 90), 44);
}

#[test]
fn lengths_of_live_answers_do_not_count_for_training() {
    let mut home = home(4);
    home.report(at(0), &report(1));
    home.admit(at(0), ask(1, PriorityClass::Live));
    home.release(
        at(1),
        &ReleaseRequest {
            generated_tokens: Some(20),
            ..release(attempt(1), ReleaseReason::Ended)
        },
    );
    let mut request = impatient(2, PriorityClass::Training);
    request.max_new_tokens = 20_000;
    // Half of the bound does not fit into the KV memory.
    assert!(permits(&home.admit(at(2), request)).is_empty());
}
