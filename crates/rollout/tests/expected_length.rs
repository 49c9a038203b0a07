//! Estimates of remaining length, for lengths with long tails and callers' estimates that are often far off.

mod support;

use havenstage_rollout::expected_length::LengthHistory;
use support::draws::Draws;

const TOKENS_PER_EVENT: u32 = 68;
const MAX_EVENTS: f64 = 147.0;
const SEEDS: [u64; 4] = [1, 2, 3, 4];

struct RandomItem {
    estimated_tokens: u32,
    length_tokens: u32,
}

fn random_item(draws: &mut Draws) -> RandomItem {
    let events = draws.length(13.0);
    let estimate = events * draws.estimate_factor() * f64::from(TOKENS_PER_EVENT);
    RandomItem {
        estimated_tokens: estimate.max(1.0) as u32,
        length_tokens: events.min(MAX_EVENTS).ceil() as u32 * TOKENS_PER_EVENT,
    }
}

/// Mean error, in tokens, of the expected remaining length of running items, each estimated after 0, 10, 20
/// and 40 events.
fn mean_error(estimator: impl Fn(&LengthHistory, &RandomItem, u32) -> u32) -> f64 {
    let (mut sum, mut count) = (0.0, 0.0);
    for seed in SEEDS {
        let mut draws = Draws::new(seed);
        let mut history = LengthHistory::default();
        for _ in 0..1_000 {
            let item = random_item(&mut draws);
            for generated in [0, 10, 20, 40].map(|events| events * TOKENS_PER_EVENT) {
                if generated < item.length_tokens {
                    let expected = estimator(&history, &item, generated);
                    sum += f64::from(expected.abs_diff(item.length_tokens - generated));
                    count += 1.0;
                }
            }
            history.record_finished(item.estimated_tokens, item.length_tokens);
        }
    }
    sum / count
}

fn estimate_then_double(_: &LengthHistory, item: &RandomItem, generated: u32) -> u32 {
    LengthHistory::default().expected_remaining(item.estimated_tokens, generated)
}

fn estimate_alone(_: &LengthHistory, item: &RandomItem, generated: u32) -> u32 {
    item.estimated_tokens.saturating_sub(generated).max(1)
}

fn production_estimate(history: &LengthHistory, item: &RandomItem, generated: u32) -> u32 {
    history.expected_remaining(item.estimated_tokens, generated)
}

#[test]
fn history_of_finished_items_beats_the_callers_estimate() {
    let (alone, doubled) = (mean_error(estimate_alone), mean_error(estimate_then_double));
    let production = mean_error(production_estimate);
    println!(
        "estimate alone {alone:.0}, estimate then double {doubled:.0}, production {production:.0} tokens"
    );
    assert!(production < alone, "{production} {alone}");
    assert!(production < doubled, "{production} {doubled}");
}

#[test]
fn without_finished_items_the_estimate_counts_and_then_the_generated_tokens() {
    let history = LengthHistory::default();
    assert_eq!(history.expected_remaining(100, 0), 100);
    assert_eq!(history.expected_remaining(100, 99), 1);
    assert_eq!(history.expected_remaining(100, 100), 100);
    assert_eq!(history.expected_remaining(100, 300), 300);
    assert_eq!(history.expected_remaining(0, 0), 1);
}

#[test]
fn an_item_near_its_estimate_is_expected_to_continue_as_others_did() {
    let mut history = LengthHistory::default();
    for generated in [50, 60, 80, 90, 120, 150, 200, 330] {
        history.record_finished(100, generated);
    }
    assert_eq!(history.expected_remaining(100, 0), 135, "the mean of all");
    assert_eq!(
        history.expected_remaining(100, 100),
        100,
        "of the four that were longer"
    );
    assert_eq!(
        history.expected_remaining(1_000, 1_000),
        1_000,
        "in proportion to the estimate"
    );
}

#[test]
fn no_item_is_expected_to_be_longer_than_all_finished_items() {
    let mut history = LengthHistory::default();
    for at in 0..64 {
        history.record_finished(100, 80 + at);
    }
    assert_eq!(history.expected_remaining(5_000, 0), 143);
    assert_eq!(history.expected_remaining(5_000, 140), 3);
    assert_ne!(
        history.expected_remaining(5_000, 200),
        1,
        "it is longer already"
    );
}

#[test]
fn old_items_are_dropped_from_the_history() {
    let mut history = LengthHistory::default();
    for _ in 0..1_000 {
        history.record_finished(100, 400);
    }
    for _ in 0..256 {
        history.record_finished(100, 50);
    }
    assert_eq!(history.expected_remaining(100, 0), 50);
}
