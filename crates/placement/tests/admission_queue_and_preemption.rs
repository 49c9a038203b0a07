//! Who waits, who goes first, who gives way, and what the refused are told.

mod support;

use std::time::Duration;

use havenstage_placement::admission::DISPATCH_WINDOW;
use havenstage_types::ids::{NodeId, PoolName, VersionNumber};
use havenstage_types::peer::ReleaseReason;
use havenstage_types::refusal::RefusalReason;
use havenstage_types::resource::PriorityClass::{Live, Training, Urgent};
use support::{
    ask, assert_refused, at, attempt, granted, home, limits, permits, preempted, refusals, release,
    report,
};

fn overloaded() -> RefusalReason {
    RefusalReason::Overloaded(PoolName::new("default"))
}

#[test]
fn freed_slots_go_to_urgent_then_live_then_training() {
    let mut home = home(1);
    home.admit(at(0), ask(1, Live));
    home.admit(at(0), ask(2, Training));
    home.admit(at(0), ask(3, Live));
    home.admit(at(0), ask(4, Live));
    home.admit(at(0), ask(5, Urgent));
    let mut order = Vec::new();
    let mut running = 1;
    for _ in 0..4 {
        let actions = home.release(at(1), &release(attempt(running), ReleaseReason::Ended));
        running = granted(&actions)[0];
        order.push(running);
    }
    assert_eq!(order, [5, 3, 4, 2]);
}

#[test]
fn longest_training_goes_first_when_asked_for() {
    let mut longest_first = limits(1);
    longest_first.longest_training_first = true;
    let mut home = home(1);
    home.set_limits(at(0), longest_first);
    home.admit(at(0), ask(1, Live));
    for (sequence, max_new_tokens) in [(2, 50), (3, 500), (4, 100)] {
        let mut training = ask(sequence, Training);
        training.max_new_tokens = max_new_tokens;
        home.admit(at(0), training);
    }
    let actions = home.release(at(1), &release(attempt(1), ReleaseReason::Ended));
    assert_eq!(granted(&actions), [3]);
}

#[test]
fn training_leaves_the_live_reserve_free() {
    let mut home = home(4);
    for sequence in 1..=4 {
        home.admit(at(0), ask(sequence, Training));
    }
    assert_eq!(home.training_in_flight(), 3);
    let actions = home.admit(at(0), ask(5, Live));
    assert_eq!(granted(&actions), [5]);
    assert!(preempted(&actions).is_empty());
}

#[test]
fn waiting_live_work_preempts_the_youngest_training_once() {
    let mut home = home(4);
    for sequence in 1..=3 {
        home.admit(at(sequence), ask(sequence, Training));
    }
    home.admit(at(4), ask(4, Live));
    assert_eq!(preempted(&home.admit(at(5), ask(5, Live))), [3]);
    assert!(preempted(&home.tick(at(6))).is_empty());
    assert_eq!(preempted(&home.admit(at(6), ask(6, Live))), [2]);
    let actions = home.release(at(7), &release(attempt(3), ReleaseReason::Ended));
    assert_eq!(granted(&actions), [5]);
}

#[test]
fn live_work_short_of_kv_preempts_enough_training() {
    let mut home = home(8);
    for sequence in 1..=3 {
        let mut training = ask(sequence, Training);
        training.context_tokens = 2_500;
        home.admit(at(sequence), training);
    }
    assert_eq!(home.kv_budget_tokens(), 8_500);
    assert_eq!(home.training_in_flight(), 3);
    let mut live = ask(4, Live);
    live.max_new_tokens = 4_000;
    let actions = home.admit(at(4), live);
    assert!(granted(&actions).is_empty());
    assert_eq!(preempted(&actions), [3, 2]);
}

#[test]
fn nothing_is_preempted_when_the_limits_forbid_it() {
    let mut home = home(1);
    let mut no_preemption = limits(1);
    no_preemption.preempt = false;
    home.set_limits(at(0), no_preemption);
    home.admit(at(0), ask(1, Training));
    assert!(preempted(&home.admit(at(0), ask(2, Live))).is_empty());
}

#[test]
fn training_is_projected_by_the_lengths_of_finished_work() {
    let mut home = home(8);
    let mut training = ask(1, Training);
    training.max_new_tokens = 4_000;
    home.admit(at(0), training.clone());
    assert_eq!(home.kv_projected_tokens(), 10 + 2_000);
    for _ in 0..50 {
        home.observe_training_length(100);
    }
    training.attempt = attempt(2);
    home.admit(at(0), training);
    assert!((2_120..=2_130).contains(&home.kv_projected_tokens()));
}

#[test]
fn patience_ends_with_a_refusal_that_says_when_to_come_back() {
    let mut home = home(1);
    home.admit(at(0), ask(1, Live));
    home.admit(at(0), ask(2, Live));
    assert!(home.tick(at(9)).is_empty());
    let actions = home.tick(at(10));
    assert_refused(&actions, 2, &overloaded());
    assert!(refusals(&actions)[0].1.retry_after > Some(Duration::ZERO));
}

#[test]
fn retry_after_follows_the_recent_release_rate() {
    let retry_after = |seconds_per_release: u64| {
        let mut home = home(1);
        for sequence in 1..=5 {
            let now = at(sequence * seconds_per_release);
            home.admit(now, ask(sequence, Live));
            home.release(now, &release(attempt(sequence), ReleaseReason::Ended));
        }
        home.admit(at(100), ask(8, Live));
        let mut impatient = ask(9, Live);
        impatient.patience = Duration::ZERO;
        let actions = home.admit(at(100), impatient);
        refusals(&actions)[0].1.retry_after
    };
    assert_eq!(retry_after(1), Some(Duration::from_secs(1)));
    assert_eq!(retry_after(4), Some(Duration::from_secs(4)));
}

#[test]
fn a_full_queue_refuses_the_least_urgent() {
    let mut home = home(1);
    home.admit(at(0), ask(1, Live));
    for sequence in 2..=9 {
        home.admit(at(0), ask(sequence, Training));
    }
    assert_refused(&home.admit(at(1), ask(10, Live)), 9, &overloaded());
    assert_refused(&home.admit(at(1), ask(11, Training)), 11, &overloaded());
}

#[test]
fn work_larger_than_the_engine_is_refused_without_a_time_to_come_back() {
    let mut home = home(4);
    let mut huge = ask(1, Live);
    huge.context_tokens = 9_000;
    let actions = home.admit(at(0), huge);
    assert_refused(&actions, 1, &overloaded());
    assert_eq!(refusals(&actions)[0].1.retry_after, None);
}

#[test]
fn an_engine_without_a_fresh_enough_version_refuses() {
    let mut home = home(4);
    let mut bounded = ask(1, Training);
    bounded.oldest_version = Some(VersionNumber(8));
    assert_refused(
        &home.admit(at(0), bounded.clone()),
        1,
        &RefusalReason::VersionTooOld,
    );
    home.report(at(1), &report(1));
    assert_refused(
        &home.admit(at(1), bounded.clone()),
        1,
        &RefusalReason::VersionTooOld,
    );
    bounded.oldest_version = Some(VersionNumber(7));
    let actions = home.admit(at(1), bounded);
    assert_eq!(permits(&actions)[0].version, Some(VersionNumber(7)));
}

#[test]
fn a_permit_counts_its_wait_in_the_time_to_dispatch() {
    let mut home = home(1);
    home.admit(at(0), ask(1, Live));
    home.admit(at(0), ask(2, Live));
    let actions = home.release(at(3), &release(attempt(1), ReleaseReason::Ended));
    let permit = permits(&actions)[0];
    assert_eq!(permit.queued_ms, 3_000);
    assert_eq!(
        permit.dispatch_within,
        Duration::from_secs(3) + DISPATCH_WINDOW
    );
}

#[test]
fn an_ask_that_arrives_after_its_release_gets_no_permit() {
    let mut home = home(4);
    home.release(at(0), &release(attempt(1), ReleaseReason::Ended));
    assert_refused(
        &home.admit(at(1), ask(1, Live)),
        1,
        &RefusalReason::DeadlineExceeded,
    );
}

#[test]
fn a_permit_whose_release_was_lost_ends_with_its_age_or_its_holder() {
    let mut home = home(1);
    home.admit(at(0), ask(1, Live));
    home.tick(at(29 * 60));
    assert_eq!(home.in_flight(), 1);
    home.tick(at(30 * 60));
    assert_eq!(home.in_flight(), 0);
    home.admit(at(30 * 60), ask(2, Live));
    home.drop_holder(at(31 * 60), NodeId(1));
    assert_eq!(home.in_flight(), 0);
}
