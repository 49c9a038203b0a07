//! The circuit breaker of a back end: when it opens, is half-open and closes.

use havenstage_rollout::circuit_breaker::{Admission, CircuitBreaker};

/// A breaker that opened at 1,000 on the failure of a run that started at 980.
fn open_breaker() -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    assert_eq!(breaker.record_failure(980, 1_000), Some(250));
    breaker
}

#[test]
fn the_first_failure_without_progress_opens_it() {
    let breaker = open_breaker();
    assert_eq!(breaker.admission(1_000), Admission::None);
    assert_eq!(breaker.admission(1_249), Admission::None);
    assert_eq!(breaker.admission(1_250), Admission::Probe);
}

/// The failures of eight runs that break together with their back end count as one.
#[test]
fn failures_of_runs_started_before_it_opened_do_not_extend_it() {
    let mut breaker = open_breaker();
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
    let mut breaker = open_breaker();
    breaker.record_start(1_260);
    assert_eq!(breaker.admission(1_300), Admission::None);
    assert!(breaker.record_answer(1_260));
    assert_eq!(breaker.admission(1_301), Admission::All);
}

#[test]
fn a_probe_without_any_result_does_not_block_the_next_one_forever() {
    let mut breaker = open_breaker();
    breaker.record_start(1_260);
    assert_eq!(breaker.admission(2_259), Admission::None);
    assert_eq!(breaker.admission(2_260), Admission::Probe);
}

#[test]
fn each_failed_probe_doubles_the_open_time_up_to_a_bound() {
    let mut breaker = open_breaker();
    let mut now = 1_250;
    for open_ms in [500, 1_000, 2_000, 2_000] {
        breaker.record_start(now);
        assert_eq!(breaker.record_failure(now, now + 30), Some(open_ms));
        now += 30 + open_ms;
        assert_eq!(breaker.admission(now - 1), Admission::None);
        assert_eq!(breaker.admission(now), Admission::Probe);
    }
}

/// A back end may break new connections while it serves existing streams. If any complete run closed the breaker,
/// such a back end would get new items again at once.
#[test]
fn a_run_started_before_it_opened_does_not_close_it() {
    let mut breaker = open_breaker();
    assert!(!breaker.record_answer(400));
    assert_eq!(breaker.admission(1_100), Admission::None);
}

/// A back end may fail only some of its requests, so a successful probe must not reset the open time.
#[test]
fn it_opens_for_longer_if_it_opened_recently() {
    let mut breaker = open_breaker();
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
fn runs_cut_short_open_it_only_within_a_short_time() {
    let mut breaker = CircuitBreaker::default();
    assert_eq!(breaker.record_cut_short(1_000), None);
    assert_eq!(breaker.record_cut_short(1_300), None);
    assert_eq!(breaker.record_cut_short(1_600), None);
    assert_eq!(breaker.record_cut_short(1_610), None);
    assert_eq!(breaker.record_cut_short(1_620), Some(250));
    assert_eq!(breaker.admission(1_620), Admission::None);
}

#[test]
fn a_back_end_that_rejected_an_item_gets_none_for_a_moment() {
    let mut breaker = CircuitBreaker::default();
    breaker.record_rejection(1_000);
    assert_eq!(breaker.admission(1_059), Admission::None);
    assert_eq!(breaker.admission(1_060), Admission::All);
}
