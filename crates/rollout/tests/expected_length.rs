//! How long items still are, where lengths have long tails and guesses are often far off.

mod support;

use havenstage_rollout::expected_length::LengthHistory;
use support::draws::Draws;

const TOKENS_PER_EVENT: u32 = 68;
const MOST_EVENTS: f64 = 147.0;
const SEEDS: [u64; 4] = [1, 2, 3, 4];

struct Drawn {
    guess: u32,
    length: u32,
}

fn draw(draws: &mut Draws) -> Drawn {
    let events = draws.length(13.0);
    let guess = events * draws.guess_factor() * f64::from(TOKENS_PER_EVENT);
    Drawn {
        guess: guess.max(1.0) as u32,
        length: events.min(MOST_EVENTS).ceil() as u32 * TOKENS_PER_EVENT,
    }
}

/// Mean error, in tokens, of what is expected of items that are still under way, each looked at after
/// 0, 10, 20 and 40 events.
fn mean_error(way: impl Fn(&LengthHistory, &Drawn, u32) -> u32) -> f64 {
    let (mut sum, mut count) = (0.0, 0.0);
    for seed in SEEDS {
        let mut draws = Draws::new(seed);
        let mut history = LengthHistory::default();
        for _ in 0..1_000 {
            let item = draw(&mut draws);
            for made in [0, 10, 20, 40].map(|events| events * TOKENS_PER_EVENT) {
                if made < item.length {
                    let expected = way(&history, &item, made);
                    sum += f64::from(expected.abs_diff(item.length - made));
                    count += 1.0;
                }
            }
            history.record_finished(item.guess, item.length);
        }
    }
    sum / count
}

fn guess_then_double(_: &LengthHistory, item: &Drawn, made: u32) -> u32 {
    LengthHistory::default().expected_remaining(item.guess, made)
}

fn guess_alone(_: &LengthHistory, item: &Drawn, made: u32) -> u32 {
    item.guess.saturating_sub(made).max(1)
}

fn as_built(history: &LengthHistory, item: &Drawn, made: u32) -> u32 {
    history.expected_remaining(item.guess, made)
}

#[test]
fn finished_items_tell_more_than_the_guess() {
    let (alone, doubled) = (mean_error(guess_alone), mean_error(guess_then_double));
    let built = mean_error(as_built);
    println!("guess alone {alone:.0}, guess then double {doubled:.0}, as built {built:.0} tokens");
    assert!(built < alone, "{built} {alone}");
    assert!(built < doubled, "{built} {doubled}");
}

#[test]
fn without_finished_items_the_guess_counts_and_then_what_was_made() {
    let history = LengthHistory::default();
    assert_eq!(history.expected_remaining(100, 0), 100);
    assert_eq!(history.expected_remaining(100, 99), 1);
    assert_eq!(history.expected_remaining(100, 100), 100);
    assert_eq!(history.expected_remaining(100, 300), 300);
    assert_eq!(history.expected_remaining(0, 0), 1);
}

#[test]
fn an_item_near_its_guess_is_expected_to_go_on_as_others_did() {
    let mut history = LengthHistory::default();
    for made in [50, 60, 80, 90, 120, 150, 200, 330] {
        history.record_finished(100, made);
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
        "in proportion to the guess"
    );
}

#[test]
fn nothing_is_expected_to_be_longer_than_all_that_ended() {
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
fn old_items_are_forgotten() {
    let mut history = LengthHistory::default();
    for _ in 0..1_000 {
        history.record_finished(100, 400);
    }
    for _ in 0..256 {
        history.record_finished(100, 50);
    }
    assert_eq!(history.expected_remaining(100, 0), 50);
}
