//! How long steps last under several ways to place items. The bound is a step's longest needed item,
//! alone on the best engine.

mod support;

use havenstage_rollout::schedule::{Candidate, WaitingItem, choose_backend};
use support::steps::{Choose, Engines, Model, Outcome};

const SEEDS: [u64; 2] = [1, 2];
const STEPS: usize = 8;

fn best(
    item: &WaitingItem,
    candidates: &[Candidate],
    cost: impl Fn(&Candidate) -> f64,
) -> Option<usize> {
    let fitting = (0..candidates.len()).filter(|at| candidates[*at].accepts(item));
    fitting.min_by(|left, right| cost(&candidates[*left]).total_cmp(&cost(&candidates[*right])))
}

/// By the number of items that run beside, without regard to memory.
fn by_count(item: &WaitingItem, candidates: &[Candidate]) -> Option<usize> {
    best(item, candidates, |candidate| {
        candidate.event_gap_ms * (1.0 + 0.033 * f64::from(candidate.running + 1))
    })
}

fn as_built(item: &WaitingItem, candidates: &[Candidate]) -> Option<usize> {
    let chosen = choose_backend(item, candidates)?;
    candidates.iter().position(|c| c.backend == chosen.backend)
}

/// The engine with the fewest expected tokens, whatever its speed.
fn fewest_tokens(item: &WaitingItem, candidates: &[Candidate]) -> Option<usize> {
    best(item, candidates, |candidate| {
        f64::from(candidate.memory.expected_tokens())
    })
}

/// The fastest engine that has a place.
fn fastest_first(item: &WaitingItem, candidates: &[Candidate]) -> Option<usize> {
    best(item, candidates, |candidate| candidate.event_gap_ms)
}

/// As built, but a short item leaves the last place of an engine to long ones.
fn last_place_for_long(item: &WaitingItem, candidates: &[Candidate]) -> Option<usize> {
    let is_long = item.expected_tokens > 4_000;
    let left: Vec<Candidate> = candidates
        .iter()
        .cloned()
        .map(|mut candidate| {
            candidate.slots -= u32::from(!is_long);
            candidate
        })
        .collect();
    as_built(item, &left).or_else(|| as_built(item, candidates))
}

/// As built, but at most three beside a long one.
fn few_beside_long(item: &WaitingItem, candidates: &[Candidate]) -> Option<usize> {
    let left: Vec<Candidate> = candidates
        .iter()
        .cloned()
        .map(|mut candidate| {
            if candidate.memory.expected_tokens() > 6_000 {
                candidate.slots = candidate.slots.min(4);
            }
            candidate
        })
        .collect();
    as_built(item, &left).or_else(|| as_built(item, candidates))
}

fn even() -> Engines {
    Engines {
        speeds: vec![1.0; 45],
        memory_tokens: 81_646,
        prompt_tokens: 1_016,
        is_shared: true,
        at_once: false,
        step_ms: (0.683, 0.00151, 0.00287),
    }
}

fn uneven() -> Engines {
    Engines {
        speeds: [0.7, 0.7, 1.7].repeat(15),
        memory_tokens: 30_990,
        prompt_tokens: 276,
        is_shared: true,
        at_once: false,
        step_ms: (0.694, 0.00363, 0.00191),
    }
}

fn mean(engines: &Engines, choose: Choose) -> Outcome {
    let days: Vec<Outcome> = SEEDS
        .iter()
        .map(|seed| Model::new(engines.clone(), *seed).play(STEPS, choose))
        .collect();
    let count = days.len() as f64;
    Outcome {
        over_bound: days.iter().map(|day| day.over_bound).sum::<f64>() / count,
        short_of_memory: days.iter().map(|day| day.short_of_memory).sum(),
        behind_ms: days.iter().map(|day| day.behind_ms).sum::<f64>() / count,
    }
}

fn ranked(engines: &Engines, ways: &[(&str, Choose)]) -> Vec<Outcome> {
    let outcome = |(way, choose): &(&str, Choose)| {
        let outcome = mean(engines, *choose);
        println!("{way}: {outcome:?}");
        outcome
    };
    ways.iter().map(outcome).collect()
}

const WAYS: [(&str, Choose); 6] = [
    ("as built", as_built),
    ("by count", by_count),
    ("fewest tokens", fewest_tokens),
    ("fastest first", fastest_first),
    ("last place for long", last_place_for_long),
    ("few beside long", few_beside_long),
];

/// Differences between ways that are less than this decide nothing.
const TOLERANCE: f64 = 0.01;

fn assert_built_is_best(outcomes: &[Outcome]) {
    let built = &outcomes[0];
    assert_eq!(built.short_of_memory, 0);
    for other in &outcomes[1..] {
        assert!(
            built.over_bound < other.over_bound + TOLERANCE,
            "{built:?} {other:?}"
        );
        assert!(built.behind_ms <= other.behind_ms, "{built:?} {other:?}");
    }
}

#[test]
fn on_even_engines_items_by_tokens_end_sooner_than_by_count() {
    let outcomes = ranked(&even(), &WAYS);
    assert_built_is_best(&outcomes);
    assert!(outcomes[0].over_bound < outcomes[1].over_bound);
}

#[test]
fn on_uneven_engines_with_little_memory_none_is_preempted() {
    let outcomes = ranked(&uneven(), &WAYS);
    assert_built_is_best(&outcomes);
    assert!(outcomes[0].over_bound < outcomes[1].over_bound);
    assert!(outcomes[1].short_of_memory > 0, "what the memory answers");
}

/// Four bursts at once are more than there are places for.
#[test]
fn items_that_come_at_once_are_not_driven_to_slow_engines() {
    let engines = Engines {
        at_once: true,
        is_shared: false,
        ..uneven()
    };
    let outcomes = ranked(&engines, &WAYS[..2]);
    assert!(outcomes[0].over_bound < outcomes[1].over_bound + TOLERANCE);
    assert!(outcomes[0].short_of_memory < outcomes[1].short_of_memory);
}
