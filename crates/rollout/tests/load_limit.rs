//! Loads under way together: a share of the back ends, fewer while they slow each other down.

use havenstage_rollout::load_limit::LoadLimit;

const LEAST: usize = 2;
const USUAL_MS: u64 = 1_000;

#[test]
fn a_share_of_the_back_ends_loads_together() {
    let limit = LoadLimit::new(LEAST);
    let allowed: Vec<usize> = [1, 8, 9, 35, 680]
        .into_iter()
        .map(|backends| limit.allowed(backends))
        .collect();
    assert_eq!(allowed, [2, 2, 2, 7, 136]);
}

#[test]
fn slow_loads_make_it_shrink_but_never_below_the_least() {
    let mut limit = LoadLimit::new(LEAST);
    limit.record_load(USUAL_MS, 2);
    limit.record_load(2 * USUAL_MS, 10);
    assert_eq!(limit.allowed(50), 7);
    for _ in 0..50 {
        limit.record_load(2 * USUAL_MS, 10);
    }
    assert_eq!(limit.allowed(50), LEAST);
}

#[test]
fn quick_loads_bring_it_back() {
    let mut limit = LoadLimit::new(LEAST);
    limit.record_load(USUAL_MS, 2);
    limit.record_load(3 * USUAL_MS, 10);
    for _ in 0..20 {
        limit.record_load(USUAL_MS, 5);
    }
    assert_eq!(limit.allowed(50), 10);
}

/// A slow back end that loads alone says nothing of the weight store.
#[test]
fn a_lone_slow_load_changes_nothing() {
    let mut limit = LoadLimit::new(LEAST);
    limit.record_load(USUAL_MS, 1);
    limit.record_load(5 * USUAL_MS, 1);
    assert_eq!(limit.allowed(50), 10);
}
