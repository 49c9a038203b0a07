//! Whether a back end is given items after runs failed there.

use havenstage_rollout::circuit_breaker::{Admission, CircuitBreaker};

/// A breaker that opened at 1,000 with a run that began at 980.
fn opened() -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    assert_eq!(breaker.record_failure(980, 1_000), Some(250));
    breaker
}

#[test]
fn the_first_quick_failure_opens_it() {
    let breaker = opened();
    assert_eq!(breaker.admission(1_000), Admission::None);
    assert_eq!(breaker.admission(1_249), Admission::None);
    assert_eq!(breaker.admission(1_250), Admission::Probe);
}

/// Eight runs that break together with one engine are one event, not eight.
#[test]
fn failures_of_runs_from_before_do_not_lengthen_it() {
    let mut breaker = opened();
    for at in 1_000..1_008 {
        assert_eq!(breaker.record_failure(980, at), None);
    }
    assert_eq!(
        breaker.record_failure(990, 1_300),
        None,
        "a connection timed out"
    );
    assert_eq!(breaker.admission(1_300), Admission::Probe);
}

#[test]
fn one_probe_is_sent_at_a_time() {
    let mut breaker = opened();
    breaker.record_start(1_260);
    assert_eq!(breaker.admission(1_300), Admission::None);
    assert!(breaker.record_answer(1_260));
    assert_eq!(breaker.admission(1_301), Admission::All);
}

#[test]
fn a_probe_of_which_nothing_is_heard_does_not_bar_it_for_good() {
    let mut breaker = opened();
    breaker.record_start(1_260);
    assert_eq!(breaker.admission(2_259), Admission::None);
    assert_eq!(breaker.admission(2_260), Admission::Probe);
}

#[test]
fn each_probe_that_fails_doubles_its_time_up_to_a_bound() {
    let mut breaker = opened();
    let mut now = 1_250;
    for open_ms in [500, 1_000, 2_000, 2_000] {
        breaker.record_start(now);
        assert_eq!(breaker.record_failure(now, now + 30), Some(open_ms));
        now += 30 + open_ms;
        assert_eq!(breaker.admission(now - 1), Admission::None);
        assert_eq!(breaker.admission(now), Admission::Probe);
    }
}

/// An engine breaks new connections and serves the streams that it has. Any whole run cleared its pause.
#[test]
fn a_run_that_began_before_does_not_close_it() {
    let mut breaker = opened();
    assert!(!breaker.record_answer(400));
    assert_eq!(breaker.admission(1_100), Admission::None);
}

/// It fails a part of its requests: a probe's success must not make it forget.
#[test]
fn one_that_closed_and_fails_again_soon_opens_for_longer() {
    let mut breaker = opened();
    breaker.record_start(1_260);
    assert!(breaker.record_answer(1_260));
    assert_eq!(breaker.record_failure(1_300, 1_330), Some(500));
    breaker.record_start(1_900);
    assert!(breaker.record_answer(1_900));
    assert_eq!(
        breaker.record_failure(20_000, 20_030),
        Some(250),
        "long ago"
    );
}

#[test]
fn runs_cut_short_open_it_only_together() {
    let mut breaker = CircuitBreaker::default();
    assert_eq!(breaker.record_cut_short(1_000), None);
    assert_eq!(breaker.record_cut_short(1_300), None);
    assert_eq!(breaker.record_cut_short(1_600), None);
    assert_eq!(breaker.record_cut_short(1_610), None);
    assert_eq!(breaker.record_cut_short(1_620), Some(250));
    assert_eq!(breaker.admission(1_620), Admission::None);
}

#[test]
fn one_without_a_place_is_left_alone_for_a_moment() {
    let mut breaker = CircuitBreaker::default();
    breaker.record_rejection(1_000);
    assert_eq!(breaker.admission(1_059), Admission::None);
    assert_eq!(breaker.admission(1_060), Admission::All);
}
