//! The concurrency limit converges to what a pool accepts, and adapts when that changes.

use havenstage_rollout::concurrency_limit::{CallEnd, ConcurrencyLimit};

/// Simulates rounds in which as many calls as the limit allows arrive together at a pool with `slots` slots. Returns
/// the number of rejected calls of each round.
fn run_rounds(limit: &mut ConcurrencyLimit, slots: u32, rounds: std::ops::Range<u64>) -> Vec<u32> {
    let round = |at: u64| {
        let started = (0..1_000).take_while(|_| limit.try_start()).count() as u32;
        for call in 0..started {
            let end = match call < slots {
                true => CallEnd::Accepted,
                false => CallEnd::Rejected,
            };
            limit.record_end(end, 1, at * 150);
        }
        started.saturating_sub(slots)
    };
    rounds.map(round).collect()
}

#[test]
fn it_converges_to_the_slots_of_a_pool_with_few_rejections() {
    let mut limit = ConcurrencyLimit::default();
    run_rounds(&mut limit, 18, 0..20);
    let rejected: u32 = run_rounds(&mut limit, 18, 20..120).iter().sum();
    assert!((12..=20).contains(&limit.limit()), "{}", limit.limit());
    assert!(rejected < 100, "{rejected} in 100 rounds of some 16");
}

#[test]
fn it_adapts_to_a_pool_that_slows_down_and_recovers() {
    let mut limit = ConcurrencyLimit::default();
    run_rounds(&mut limit, 100, 0..40);
    let before = limit.limit();
    run_rounds(&mut limit, 3, 40..80);
    assert!(limit.limit() <= 4, "{}", limit.limit());
    run_rounds(&mut limit, 100, 80..200);
    assert!(limit.limit() > before / 2, "{} of {before}", limit.limit());
}

#[test]
fn one_call_may_always_be_in_flight() {
    let mut limit = ConcurrencyLimit::default();
    run_rounds(&mut limit, 0, 0..50);
    assert_eq!(limit.limit(), 1);
    assert!(limit.try_start());
    assert!(!limit.try_start());
    limit.record_end(CallEnd::Unknown, 1, 9_000);
    assert!(limit.try_start());
}

/// Simulates rounds in which the pool accepts all calls into its queues: it works on `slots` of them at once, and the
/// others wait.
fn run_rounds_with_queue(limit: &mut ConcurrencyLimit, slots: u32, share: u32) {
    for at in 0..100 {
        let started = (0..1_000).take_while(|_| limit.try_start()).count() as u32;
        for call in 0..started {
            let end = match call < slots {
                true => CallEnd::Accepted,
                false => CallEnd::AcceptedLate,
            };
            limit.record_end(end, share, at * 150);
        }
    }
}

/// A queue that accepts everything rejects nothing, but later calls of others wait behind all that is queued.
#[test]
fn it_does_not_fill_the_queues_of_a_pool() {
    let mut limit = ConcurrencyLimit::default();
    run_rounds_with_queue(&mut limit, 18, 6);
    assert!(limit.limit() <= 20, "{}", limit.limit());
    assert!(limit.limit() >= 6, "{}", limit.limit());
}

/// All calls take long because the pool is slow. Its slots are still used.
#[test]
fn a_slow_pool_keeps_its_share_of_calls() {
    let mut limit = ConcurrencyLimit::default();
    run_rounds_with_queue(&mut limit, 0, 6);
    assert!((6..=7).contains(&limit.limit()), "{}", limit.limit());
}
