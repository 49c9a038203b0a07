//! Limit on concurrent loads of weights: a share of the back ends, lower while loads slow each other down.

use havenstage_rollout::load_limit::LoadLimit;

const MINIMUM: usize = 2;
const QUICK_LOAD_MS: u64 = 1_000;

#[test]
fn a_share_of_the_back_ends_may_load_at_the_same_time() {
    let limit = LoadLimit::new(MINIMUM);
    let allowed: Vec<usize> = [1, 8, 9, 35, 680]
        .into_iter()
        .map(|backends| limit.allowed(backends))
        .collect();
    assert_eq!(allowed, [2, 2, 2, 7, 136]);
}

#[test]
fn slow_loads_lower_the_limit_but_never_below_the_minimum() {
    let mut limit = LoadLimit::new(MINIMUM);
    limit.record_load(QUICK_LOAD_MS, 2);
    limit.record_load(2 * QUICK_LOAD_MS, 10);
    assert_eq!(limit.allowed(50), 7);
    for _ in 0..50 {
        limit.record_load(2 * QUICK_LOAD_MS, 10);
    }
    assert_eq!(limit.allowed(50), MINIMUM);
}

#[test]
fn quick_loads_raise_the_limit_again() {
    let mut limit = LoadLimit::new(MINIMUM);
    limit.record_load(QUICK_LOAD_MS, 2);
    limit.record_load(3 * QUICK_LOAD_MS, 10);
    for _ in 0..20 {
        limit.record_load(QUICK_LOAD_MS, 5);
    }
    assert_eq!(limit.allowed(50), 10);
}

/// A slow load of a single back end says nothing about the weight store.
#[test]
fn a_single_slow_load_does_not_lower_the_limit() {
    let mut limit = LoadLimit::new(MINIMUM);
    limit.record_load(QUICK_LOAD_MS, 1);
    limit.record_load(5 * QUICK_LOAD_MS, 1);
    assert_eq!(limit.allowed(50), 10);
}
