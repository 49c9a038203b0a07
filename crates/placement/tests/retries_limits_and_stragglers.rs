//! Tests of retry budgets, backoff, caller limits and the dispatch order of samples.

use std::time::Duration;

use havenstage_placement::limits::InFlightLimiter;
use havenstage_placement::retry::{Backoff, BackoffSettings, RetryBudget, RetryBudgetSettings};
use havenstage_placement::stragglers::{ExpectedSample, LengthEstimator, dispatch_order};
use havenstage_types::clock::Moment;
use havenstage_types::ids::CallerName;
use havenstage_types::refusal::{Execution, RefusalReason};

fn retries_allowed(budget: &mut RetryBudget, now: Moment) -> usize {
    (0..10_000).take_while(|_| budget.try_retry(now)).count()
}

#[test]
fn retries_are_bounded_by_successes_and_a_small_rate() {
    let mut budget = RetryBudget::new(RetryBudgetSettings::default());
    assert_eq!(retries_allowed(&mut budget, Moment(0)), 50);
    for _ in 0..1_000 {
        budget.record_success(Moment(500));
    }
    assert_eq!(retries_allowed(&mut budget, Moment(600)), 200);
}

#[test]
fn successes_and_retries_expire_after_the_ttl() {
    let mut budget = RetryBudget::new(RetryBudgetSettings::default());
    for _ in 0..1_000 {
        budget.record_success(Moment(0));
    }
    assert_eq!(retries_allowed(&mut budget, Moment(9_999)), 250);
    assert_eq!(retries_allowed(&mut budget, Moment(10_000)), 0);
    assert_eq!(retries_allowed(&mut budget, Moment(20_000)), 50);
}

#[test]
fn backoff_delays_come_from_a_doubling_range_up_to_the_maximum() {
    let settings = BackoffSettings {
        base: Duration::from_millis(100),
        max: Duration::from_secs(1),
    };
    let bounds = [100, 200, 400, 800, 1_000, 1_000];
    let mut largest = [Duration::ZERO; 6];
    for seed in 0..200 {
        let mut backoff = Backoff::new(settings.clone(), seed);
        for (position, largest) in largest.iter_mut().enumerate() {
            let delay = backoff.next_delay();
            assert!(delay <= Duration::from_millis(bounds[position]));
            *largest = (*largest).max(delay);
        }
        backoff.reset();
        assert!(backoff.next_delay() <= settings.base);
    }
    for (largest, bound) in largest.iter().zip(bounds) {
        assert!(
            largest.as_millis() > bound as u128 * 9 / 10,
            "the whole range is used"
        );
    }
}

#[test]
fn the_limit_of_one_caller_does_not_affect_others() {
    let mut limiter = InFlightLimiter::default();
    let (busy, other) = (CallerName::new("busy"), CallerName::new("other"));
    limiter.try_start(&busy, Some(2)).unwrap();
    limiter.try_start(&busy, Some(2)).unwrap();
    let refusal = limiter.try_start(&busy, Some(2)).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::CallerLimit);
    assert_eq!(refusal.execution, Execution::NotRun);
    limiter.try_start(&other, Some(2)).unwrap();
    limiter.finish(&busy);
    limiter.try_start(&busy, Some(2)).unwrap();
    for caller in [&busy, &busy, &other, &other] {
        limiter.finish(caller);
    }
    assert_eq!(limiter.callers(), 0);
}

#[test]
fn the_longest_expected_samples_start_first() {
    let sample = |index, expected_tokens| ExpectedSample {
        index,
        expected_tokens,
    };
    let samples = [sample(0, 10), sample(3, 70), sample(1, 70), sample(2, 40)];
    assert_eq!(dispatch_order(&samples), [2, 1, 3, 0]);
}

#[test]
fn lengths_are_estimated_from_the_group_then_all_groups_then_the_bound() {
    let mut lengths = LengthEstimator::default();
    assert_eq!(lengths.expected_tokens(1, 500), 500);
    lengths.observe(1, 300);
    assert_eq!(lengths.expected_tokens(2, 500), 300);
    lengths.observe(2, 100);
    assert_eq!(lengths.expected_tokens(2, 500), 100);
    assert_eq!(lengths.expected_tokens(1, 200), 200);
}
