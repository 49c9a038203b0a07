//! Tests that staggered swaps respect the weight store's rate limit and finish in time.

use std::collections::BTreeSet;
use std::time::Duration;

use havenstage_placement::rollout_waves::{WaveSettings, swap_delay};
use havenstage_types::ids::{EngineName, FencingToken};

fn engines(count: usize) -> Vec<EngineName> {
    (0..count)
        .map(|index| EngineName(format!("engine-{index}")))
        .collect()
}

fn sorted_delays(count: usize, token: u64, settings: &WaveSettings) -> Vec<Duration> {
    let engines = engines(count);
    let mut delays: Vec<Duration> = engines
        .iter()
        .map(|engine| swap_delay(engine, FencingToken(token), &engines, settings))
        .collect();
    delays.sort();
    delays
}

#[test]
fn all_engines_start_in_time_for_a_swap_of_two_seconds_to_end_within_eight() {
    let delays = sorted_delays(680, 11, &WaveSettings::default());
    assert!(*delays.last().unwrap() + Duration::from_secs(2) <= Duration::from_secs(8));
}

/// Maximum number of delays within any time span of length `span`.
fn max_within(delays: &[Duration], span: Duration) -> usize {
    let within =
        |index: usize| delays[index..].partition_point(|delay| *delay < delays[index] + span);
    (0..delays.len()).map(within).max().unwrap()
}

#[test]
fn no_second_contains_more_starts_than_the_store_allows() {
    for fetches_per_second in [20.0, 120.0, 1_000.0] {
        let settings = WaveSettings {
            fetches_per_second,
            ..WaveSettings::default()
        };
        let delays = sorted_delays(680, 3, &settings);
        let starts = max_within(&delays, Duration::from_secs(1));
        assert!(
            starts <= fetches_per_second as usize + 1,
            "{starts} starts in a second"
        );
    }
}

#[test]
fn at_most_a_quarter_of_the_engines_swap_at_once() {
    let delays = sorted_delays(680, 3, &WaveSettings::default());
    let swapping = max_within(&delays, Duration::from_millis(1_500));
    assert!(swapping <= 680 / 4 + 1, "{swapping} engines swap at once");
}

#[test]
fn the_swap_sequence_is_the_same_at_every_home_node_and_differs_between_tokens() {
    let settings = WaveSettings::default();
    let engines = engines(12);
    let mut reversed = engines.clone();
    reversed.reverse();
    let mut first = BTreeSet::new();
    for token in 0..40 {
        let token = FencingToken(token);
        for engine in &engines {
            let delay = swap_delay(engine, token, &engines, &settings);
            assert_eq!(delay, swap_delay(engine, token, &reversed, &settings));
            if delay.is_zero() {
                first.insert(engine.clone());
            }
        }
    }
    assert!(
        first.len() > 6,
        "the first engine to swap must differ between fencing tokens"
    );
}
