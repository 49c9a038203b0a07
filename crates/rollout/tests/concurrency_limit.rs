//! The limit finds what a pool takes, and follows it.

use havenstage_rollout::concurrency_limit::{CallEnd, ConcurrencyLimit};

/// Plays rounds in which as many calls as the limit allows come together to a pool with so many places; answers the
/// calls that were turned away in each round.
fn play(limit: &mut ConcurrencyLimit, places: u32, rounds: std::ops::Range<u64>) -> Vec<u32> {
    let round = |at: u64| {
        let begun = (0..1_000).take_while(|_| limit.try_start()).count() as u32;
        for call in 0..begun {
            let end = match call < places {
                true => CallEnd::Accepted,
                false => CallEnd::Rejected,
            };
            limit.record_end(end, 1, at * 150);
        }
        begun.saturating_sub(places)
    };
    rounds.map(round).collect()
}

#[test]
fn it_finds_the_places_of_a_pool_and_turns_few_away() {
    let mut limit = ConcurrencyLimit::default();
    play(&mut limit, 18, 0..20);
    let turned_away: u32 = play(&mut limit, 18, 20..120).iter().sum();
    assert!((12..=20).contains(&limit.limit()), "{}", limit.limit());
    assert!(turned_away < 100, "{turned_away} in 100 rounds of some 16");
}

#[test]
fn it_follows_a_pool_that_slows_down_and_recovers() {
    let mut limit = ConcurrencyLimit::default();
    play(&mut limit, 100, 0..40);
    let before = limit.limit();
    play(&mut limit, 3, 40..80);
    assert!(limit.limit() <= 4, "{}", limit.limit());
    play(&mut limit, 100, 80..200);
    assert!(limit.limit() > before / 2, "{} of {before}", limit.limit());
}

#[test]
fn one_call_may_always_be_under_way() {
    let mut limit = ConcurrencyLimit::default();
    play(&mut limit, 0, 0..50);
    assert_eq!(limit.limit(), 1);
    assert!(limit.try_start());
    assert!(!limit.try_start());
    limit.record_end(CallEnd::Unknown, 1, 9_000);
    assert!(limit.try_start());
}

/// Rounds in which the pool takes all calls into its queues: it works on `places` of them at once, and the others wait.
fn play_queue(limit: &mut ConcurrencyLimit, places: u32, share: u32) {
    for at in 0..100 {
        let begun = (0..1_000).take_while(|_| limit.try_start()).count() as u32;
        for call in 0..begun {
            let end = match call < places {
                true => CallEnd::Accepted,
                false => CallEnd::AcceptedLate,
            };
            limit.record_end(end, share, at * 150);
        }
    }
}

/// A queue that takes everything turns nothing away, and whoever comes next waits behind it all.
#[test]
fn it_does_not_fill_the_queues_of_a_pool() {
    let mut limit = ConcurrencyLimit::default();
    play_queue(&mut limit, 18, 6);
    assert!(limit.limit() <= 20, "{}", limit.limit());
    assert!(limit.limit() >= 6, "{}", limit.limit());
}

/// All calls take long as the pool works slowly: its places are used all the same.
#[test]
fn a_slow_pool_keeps_its_share_of_calls() {
    let mut limit = ConcurrencyLimit::default();
    play_queue(&mut limit, 0, 6);
    assert!((6..=7).contains(&limit.limit()), "{}", limit.limit());
}
