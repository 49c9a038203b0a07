//! Limit on concurrent loads of weights: a share of the back ends, lower while loads slow each other down.

use havenstage_rollout::Millis;
use havenstage_rollout::ids::ModelName;
use havenstage_rollout::load_limit::{LoadLimit, LoadSample};

const MINIMUM: usize = 2;
const QUICK_LOAD_MS: Millis = 1_000;
const BACKENDS: usize = 50;
const FULL_LIMIT: usize = 10;

/// A limit, and the time of the loads that are recorded.
struct Loads {
    limit: LoadLimit,
    now: Millis,
}

impl Loads {
    fn new() -> Self {
        Self {
            limit: LoadLimit::new(MINIMUM),
            now: 0,
        }
    }

    /// Records a load of a model that ends after the ones before.
    fn record_of(&mut self, model: &str, took_ms: Millis, concurrent: usize) {
        self.now += took_ms / concurrent as Millis;
        let sample = LoadSample {
            model: ModelName::from(model),
            took_ms,
            concurrent,
        };
        self.limit.record_load(sample, self.now);
    }

    fn record(&mut self, took_ms: Millis, concurrent: usize) {
        self.record_of("model", took_ms, concurrent);
    }

    fn allowed(&self) -> usize {
        self.limit.allowed(BACKENDS, self.now)
    }

    /// Records as many loads as are allowed, each slowed down by those beyond the capacity of the store.
    fn play_round(&mut self, capacity: usize) {
        let concurrent = self.allowed();
        let slowed_by = concurrent.max(capacity) as Millis;
        for _ in 0..concurrent {
            self.record(QUICK_LOAD_MS * slowed_by / capacity as Millis, concurrent);
        }
    }
}

#[test]
fn a_share_of_the_back_ends_may_load_at_the_same_time() {
    let limit = LoadLimit::new(MINIMUM);
    let allowed: Vec<usize> = [1, 8, 9, 35, 680]
        .into_iter()
        .map(|backends| limit.allowed(backends, 0))
        .collect();
    assert_eq!(allowed, [2, 2, 2, 7, 136]);
}

#[test]
fn slow_loads_lower_the_limit_but_never_below_the_minimum() {
    let mut loads = Loads::new();
    loads.record(QUICK_LOAD_MS, 2);
    loads.record(2 * QUICK_LOAD_MS, 10);
    assert_eq!(loads.allowed(), 7);
    for _ in 0..50 {
        loads.record(2 * QUICK_LOAD_MS, 10);
    }
    assert_eq!(loads.allowed(), MINIMUM);
}

#[test]
fn quick_loads_raise_the_limit_again() {
    let mut loads = Loads::new();
    loads.record(QUICK_LOAD_MS, 2);
    loads.record(3 * QUICK_LOAD_MS, 10);
    for _ in 0..20 {
        loads.record(QUICK_LOAD_MS, 5);
    }
    assert_eq!(loads.allowed(), FULL_LIMIT);
}

/// A slow load of a single back end says nothing about the weight store.
#[test]
fn a_single_slow_load_does_not_lower_the_limit() {
    let mut loads = Loads::new();
    loads.record(QUICK_LOAD_MS, 1);
    loads.record(5 * QUICK_LOAD_MS, 1);
    assert_eq!(loads.allowed(), FULL_LIMIT);
}

/// Guards against one sample that makes each later load slow: the limit stayed at its minimum for good, and a pool had as
/// many back ends on current weights as two loads at a time keep there.
#[test]
fn a_sample_that_is_much_too_quick_is_soon_forgotten() {
    for concurrent in [1, 8] {
        let mut loads = Loads::new();
        loads.record(29, concurrent);
        for _ in 0..12 {
            loads.play_round(FULL_LIMIT);
        }
        assert_eq!(loads.allowed(), FULL_LIMIT, "{concurrent} at a time");
    }
}

#[test]
fn a_store_that_becomes_slower_is_used_fully_again() {
    let mut loads = Loads::new();
    for _ in 0..20 {
        loads.record(QUICK_LOAD_MS / 4, FULL_LIMIT);
    }
    for _ in 0..12 {
        loads.play_round(FULL_LIMIT);
    }
    assert_eq!(loads.allowed(), FULL_LIMIT);
}

#[test]
fn a_large_model_is_not_measured_by_a_small_one() {
    let mut loads = Loads::new();
    for _ in 0..20 {
        loads.record_of("small", QUICK_LOAD_MS, 6);
        loads.record_of("large", 8 * QUICK_LOAD_MS, 6);
    }
    assert_eq!(loads.allowed(), FULL_LIMIT);
}

#[test]
fn a_long_time_at_the_minimum_does_not_keep_the_limit_there() {
    let mut loads = Loads::new();
    loads.record(QUICK_LOAD_MS, 2);
    for _ in 0..500 {
        loads.record(9 * QUICK_LOAD_MS, FULL_LIMIT);
    }
    assert_eq!(loads.allowed(), MINIMUM);
    for _ in 0..12 {
        loads.play_round(FULL_LIMIT);
    }
    assert_eq!(loads.allowed(), FULL_LIMIT);
}

/// A store that serves some loads well and slows down with more is not overloaded for long.
#[test]
fn the_limit_stays_near_the_capacity_of_the_store() {
    const CAPACITY: usize = 4;
    let mut loads = Loads::new();
    let mut allowed = Vec::new();
    for round in 0..200 {
        loads.play_round(CAPACITY);
        if round >= 20 {
            allowed.push(loads.allowed());
        }
    }
    let mean = allowed.iter().sum::<usize>() as f64 / allowed.len() as f64;
    assert!((2.0..=7.0).contains(&mean), "{mean}: {allowed:?}");
}
