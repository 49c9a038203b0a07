//! Tests of the queue order, preemption, KV projection and the contents of refusals and permits.

mod support;

use std::time::Duration;

use havenstage_placement::admission::DISPATCH_WINDOW;
use havenstage_types::ids::{NodeId, PoolName, VersionNumber};
use havenstage_types::peer::ReleaseReason;
use havenstage_types::refusal::RefusalReason;
use havenstage_types::resource::PriorityClass::{Live, Training, Urgent};
use support::{
    admit_request, assert_refused, at_seconds, attempt, granted, limits, new_admission, permits,
    preempted, refusals, release, report,
};

fn overloaded() -> RefusalReason {
    RefusalReason::Overloaded(PoolName::new("default"))
}

#[test]
fn freed_slots_go_to_urgent_then_live_then_training() {
    let mut admission = new_admission(1);
    admission.admit(at_seconds(0), admit_request(1, Live));
    admission.admit(at_seconds(0), admit_request(2, Training));
    admission.admit(at_seconds(0), admit_request(3, Live));
    admission.admit(at_seconds(0), admit_request(4, Live));
    admission.admit(at_seconds(0), admit_request(5, Urgent));
    let mut order = Vec::new();
    let mut running = 1;
    for _ in 0..4 {
        let actions = admission.release(
            at_seconds(1),
            &release(attempt(running), ReleaseReason::Ended),
        );
        running = granted(&actions)[0];
        order.push(running);
    }
    assert_eq!(order, [5, 3, 4, 2]);
}

#[test]
fn longest_training_goes_first_when_configured() {
    let mut longest_first = limits(1);
    longest_first.longest_training_first = true;
    let mut admission = new_admission(1);
    admission.set_limits(at_seconds(0), longest_first);
    admission.admit(at_seconds(0), admit_request(1, Live));
    for (sequence, max_new_tokens) in [(2, 50), (3, 500), (4, 100)] {
        let mut training = admit_request(sequence, Training);
        training.max_new_tokens = max_new_tokens;
        admission.admit(at_seconds(0), training);
    }
    let actions = admission.release(at_seconds(1), &release(attempt(1), ReleaseReason::Ended));
    assert_eq!(granted(&actions), [3]);
}

#[test]
fn training_leaves_the_live_reserve_free() {
    let mut admission = new_admission(4);
    for sequence in 1..=4 {
        admission.admit(at_seconds(0), admit_request(sequence, Training));
    }
    assert_eq!(admission.training_in_flight(), 3);
    let actions = admission.admit(at_seconds(0), admit_request(5, Live));
    assert_eq!(granted(&actions), [5]);
    assert!(preempted(&actions).is_empty());
}

#[test]
fn queued_live_work_preempts_the_most_recently_granted_training_once() {
    let mut admission = new_admission(4);
    for sequence in 1..=3 {
        admission.admit(at_seconds(sequence), admit_request(sequence, Training));
    }
    admission.admit(at_seconds(4), admit_request(4, Live));
    assert_eq!(
        preempted(&admission.admit(at_seconds(5), admit_request(5, Live))),
        [3]
    );
    assert!(preempted(&admission.tick(at_seconds(6))).is_empty());
    assert_eq!(
        preempted(&admission.admit(at_seconds(6), admit_request(6, Live))),
        [2]
    );
    let actions = admission.release(at_seconds(7), &release(attempt(3), ReleaseReason::Ended));
    assert_eq!(granted(&actions), [5]);
}

#[test]
fn live_work_short_of_kv_preempts_enough_training() {
    let mut admission = new_admission(8);
    for sequence in 1..=3 {
        let mut training = admit_request(sequence, Training);
        training.context_tokens = 2_500;
        admission.admit(at_seconds(sequence), training);
    }
    assert_eq!(admission.kv_budget_tokens(), 8_500);
    assert_eq!(admission.training_in_flight(), 3);
    let mut live = admit_request(4, Live);
    live.max_new_tokens = 4_000;
    let actions = admission.admit(at_seconds(4), live);
    assert!(granted(&actions).is_empty());
    assert_eq!(preempted(&actions), [3, 2]);
}

#[test]
fn nothing_is_preempted_when_the_limits_forbid_it() {
    let mut admission = new_admission(1);
    let mut no_preemption = limits(1);
    no_preemption.preempt = false;
    admission.set_limits(at_seconds(0), no_preemption);
    admission.admit(at_seconds(0), admit_request(1, Training));
    assert!(preempted(&admission.admit(at_seconds(0), admit_request(2, Live))).is_empty());
}

#[test]
fn training_is_projected_from_the_lengths_of_finished_work() {
    let mut admission = new_admission(8);
    let mut training = admit_request(1, Training);
    training.max_new_tokens = 4_000;
    admission.admit(at_seconds(0), training.clone());
    assert_eq!(admission.kv_projected_tokens(), 10 + 2_000);
    for _ in 0..50 {
        admission.observe_training_length(100);
    }
    training.attempt = attempt(2);
    admission.admit(at_seconds(0), training);
    assert!((2_120..=2_130).contains(&admission.kv_projected_tokens()));
}

#[test]
fn a_request_whose_maximum_wait_ends_is_refused_with_a_retry_delay() {
    let mut admission = new_admission(1);
    admission.admit(at_seconds(0), admit_request(1, Live));
    admission.admit(at_seconds(0), admit_request(2, Live));
    assert!(admission.tick(at_seconds(9)).is_empty());
    let actions = admission.tick(at_seconds(10));
    assert_refused(&actions, 2, &overloaded());
    assert!(refusals(&actions)[0].1.retry_after > Some(Duration::ZERO));
}

#[test]
fn retry_after_follows_the_recent_release_rate() {
    let retry_after = |seconds_per_release: u64| {
        let mut admission = new_admission(1);
        for sequence in 1..=5 {
            let now = at_seconds(sequence * seconds_per_release);
            admission.admit(now, admit_request(sequence, Live));
            admission.release(now, &release(attempt(sequence), ReleaseReason::Ended));
        }
        admission.admit(at_seconds(100), admit_request(8, Live));
        let mut impatient = admit_request(9, Live);
        impatient.patience = Duration::ZERO;
        let actions = admission.admit(at_seconds(100), impatient);
        refusals(&actions)[0].1.retry_after
    };
    assert_eq!(retry_after(1), Some(Duration::from_secs(1)));
    assert_eq!(retry_after(4), Some(Duration::from_secs(4)));
}

#[test]
fn a_full_queue_refuses_the_least_urgent() {
    let mut admission = new_admission(1);
    admission.admit(at_seconds(0), admit_request(1, Live));
    for sequence in 2..=9 {
        admission.admit(at_seconds(0), admit_request(sequence, Training));
    }
    assert_refused(
        &admission.admit(at_seconds(1), admit_request(10, Live)),
        9,
        &overloaded(),
    );
    assert_refused(
        &admission.admit(at_seconds(1), admit_request(11, Training)),
        11,
        &overloaded(),
    );
}

#[test]
fn a_request_larger_than_the_engine_is_refused_without_a_retry_delay() {
    let mut admission = new_admission(4);
    let mut huge = admit_request(1, Live);
    huge.context_tokens = 9_000;
    let actions = admission.admit(at_seconds(0), huge);
    assert_refused(&actions, 1, &overloaded());
    assert_eq!(refusals(&actions)[0].1.retry_after, None);
}

#[test]
fn an_engine_without_a_fresh_enough_version_refuses() {
    let mut admission = new_admission(4);
    let mut bounded = admit_request(1, Training);
    bounded.oldest_version = Some(VersionNumber(8));
    assert_refused(
        &admission.admit(at_seconds(0), bounded.clone()),
        1,
        &RefusalReason::VersionTooOld,
    );
    admission.record_report(at_seconds(1), &report(1));
    assert_refused(
        &admission.admit(at_seconds(1), bounded.clone()),
        1,
        &RefusalReason::VersionTooOld,
    );
    bounded.oldest_version = Some(VersionNumber(7));
    let actions = admission.admit(at_seconds(1), bounded);
    assert_eq!(permits(&actions)[0].version, Some(VersionNumber(7)));
}

#[test]
fn the_dispatch_time_of_a_permit_includes_its_time_in_the_queue() {
    let mut admission = new_admission(1);
    admission.admit(at_seconds(0), admit_request(1, Live));
    admission.admit(at_seconds(0), admit_request(2, Live));
    let actions = admission.release(at_seconds(3), &release(attempt(1), ReleaseReason::Ended));
    let permit = permits(&actions)[0];
    assert_eq!(permit.queued_ms, 3_000);
    assert_eq!(
        permit.dispatch_within,
        Duration::from_secs(3) + DISPATCH_WINDOW
    );
}

#[test]
fn an_admission_request_that_arrives_after_its_release_gets_no_permit() {
    let mut admission = new_admission(4);
    admission.release(at_seconds(0), &release(attempt(1), ReleaseReason::Ended));
    assert_refused(
        &admission.admit(at_seconds(1), admit_request(1, Live)),
        1,
        &RefusalReason::DeadlineExceeded,
    );
}

#[test]
fn a_permit_whose_release_was_lost_ends_at_its_maximum_age_or_with_its_holder() {
    let mut admission = new_admission(1);
    admission.admit(at_seconds(0), admit_request(1, Live));
    admission.tick(at_seconds(29 * 60));
    assert_eq!(admission.in_flight(), 1);
    admission.tick(at_seconds(30 * 60));
    assert_eq!(admission.in_flight(), 0);
    admission.admit(at_seconds(30 * 60), admit_request(2, Live));
    admission.drop_holder(at_seconds(31 * 60), NodeId(1));
    assert_eq!(admission.in_flight(), 0);
}
