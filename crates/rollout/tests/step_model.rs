//! Compares training step durations under several placement policies. The lower bound of a step is its longest
//! required item, alone on the fastest engine.

mod support;

use havenstage_rollout::schedule::{Candidate, WaitingItem, choose_backend};
use support::steps::{Choose, Engines, Model, Outcome};

const SEEDS: [u64; 2] = [1, 2];
const STEPS: usize = 8;

fn cheapest(
    item: &WaitingItem,
    candidates: &[Candidate],
    cost: impl Fn(&Candidate) -> f64,
) -> Option<usize> {
    let fitting = (0..candidates.len()).filter(|at| candidates[*at].accepts(item));
    fitting.min_by(|left, right| cost(&candidates[*left]).total_cmp(&cost(&candidates[*right])))
}

/// By the number of items that run on the engine, regardless of memory.
fn by_count(item: &WaitingItem, candidates: &[Candidate]) -> Option<usize> {
    cheapest(item, candidates, |candidate| {
        candidate.event_gap_ms * (1.0 + 0.033 * f64::from(candidate.running + 1))
    })
}

/// The production policy.
fn production_policy(item: &WaitingItem, candidates: &[Candidate]) -> Option<usize> {
    let chosen = choose_backend(item, candidates)?;
    candidates.iter().position(|c| c.backend == chosen.backend)
}

/// The engine with the fewest expected tokens, whatever its speed.
fn fewest_tokens(item: &WaitingItem, candidates: &[Candidate]) -> Option<usize> {
    cheapest(item, candidates, |candidate| {
        f64::from(candidate.memory.expected_tokens())
    })
}

/// The fastest engine with a free slot.
fn fastest_first(item: &WaitingItem, candidates: &[Candidate]) -> Option<usize> {
    cheapest(item, candidates, |candidate| candidate.event_gap_ms)
}

/// Like production, but a short item leaves the last slot of an engine to long ones.
fn last_slot_for_long(item: &WaitingItem, candidates: &[Candidate]) -> Option<usize> {
    let is_long = item.expected_tokens > 4_000;
    let restricted: Vec<Candidate> = candidates
        .iter()
        .cloned()
        .map(|mut candidate| {
            candidate.slots -= u32::from(!is_long);
            candidate
        })
        .collect();
    production_policy(item, &restricted).or_else(|| production_policy(item, candidates))
}

/// Like production, but at most three items share an engine with a long one.
fn few_beside_long(item: &WaitingItem, candidates: &[Candidate]) -> Option<usize> {
    let restricted: Vec<Candidate> = candidates
        .iter()
        .cloned()
        .map(|mut candidate| {
            if candidate.memory.expected_tokens() > 6_000 {
                candidate.slots = candidate.slots.min(4);
            }
            candidate
        })
        .collect();
    production_policy(item, &restricted).or_else(|| production_policy(item, candidates))
}

fn even_engines() -> Engines {
    Engines {
        step_time_factors: vec![1.0; 45],
        memory_tokens: 81_646,
        prompt_tokens: 1_016,
        serves_all_trainers: true,
        submit_together: false,
        step_ms: (0.683, 0.00151, 0.00287),
    }
}

fn uneven_engines() -> Engines {
    Engines {
        step_time_factors: [0.7, 0.7, 1.7].repeat(15),
        memory_tokens: 30_990,
        prompt_tokens: 276,
        serves_all_trainers: true,
        submit_together: false,
        step_ms: (0.694, 0.00363, 0.00191),
    }
}

fn mean(engines: &Engines, choose: Choose) -> Outcome {
    let outcomes: Vec<Outcome> = SEEDS
        .iter()
        .map(|seed| Model::new(engines.clone(), *seed).run(STEPS, choose))
        .collect();
    let count = outcomes.len() as f64;
    Outcome {
        relative_to_bound: outcomes
            .iter()
            .map(|outcome| outcome.relative_to_bound)
            .sum::<f64>()
            / count,
        memory_shortages: outcomes
            .iter()
            .map(|outcome| outcome.memory_shortages)
            .sum(),
        lag_ms: outcomes.iter().map(|outcome| outcome.lag_ms).sum::<f64>() / count,
    }
}

fn simulate_policies(engines: &Engines, policies: &[(&str, Choose)]) -> Vec<Outcome> {
    let outcome = |(name, choose): &(&str, Choose)| {
        let outcome = mean(engines, *choose);
        println!("{name}: {outcome:?}");
        outcome
    };
    policies.iter().map(outcome).collect()
}

const POLICIES: [(&str, Choose); 6] = [
    ("production", production_policy),
    ("by count", by_count),
    ("fewest tokens", fewest_tokens),
    ("fastest first", fastest_first),
    ("last slot for long", last_slot_for_long),
    ("few beside long", few_beside_long),
];

/// Smaller differences of the mean step duration, relative to the bound, do not count.
const TOLERANCE: f64 = 0.01;

fn assert_production_is_best(outcomes: &[Outcome]) {
    let production = &outcomes[0];
    assert_eq!(production.memory_shortages, 0);
    for other in &outcomes[1..] {
        assert!(
            production.relative_to_bound < other.relative_to_bound + TOLERANCE,
            "{production:?} {other:?}"
        );
        assert!(
            production.lag_ms <= other.lag_ms,
            "{production:?} {other:?}"
        );
    }
}

#[test]
fn on_even_engines_placement_by_tokens_is_faster_than_by_count() {
    let outcomes = simulate_policies(&even_engines(), &POLICIES);
    assert_production_is_best(&outcomes);
    assert!(outcomes[0].relative_to_bound < outcomes[1].relative_to_bound);
}

#[test]
fn on_uneven_engines_with_little_memory_no_item_is_preempted() {
    let outcomes = simulate_policies(&uneven_engines(), &POLICIES);
    assert_production_is_best(&outcomes);
    assert!(outcomes[0].relative_to_bound < outcomes[1].relative_to_bound);
    assert!(
        outcomes[1].memory_shortages > 0,
        "placement by count must run short of memory here"
    );
}

/// Four trainers that submit at once have more items than there are slots.
#[test]
fn items_submitted_at_once_are_not_crowded_onto_slow_engines() {
    let engines = Engines {
        submit_together: true,
        serves_all_trainers: false,
        ..uneven_engines()
    };
    let outcomes = simulate_policies(&engines, &POLICIES[..2]);
    assert!(outcomes[0].relative_to_bound < outcomes[1].relative_to_bound + TOLERANCE);
    assert!(outcomes[0].memory_shortages < outcomes[1].memory_shortages);
}
