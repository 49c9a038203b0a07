//! Tests the pauses between attempts at work that keeps failing.

use havenstage_rollout::backoff::{Backoff, MAX_PAUSE_MS};

#[test]
fn pauses_grow_up_to_a_limit_and_end_with_progress() {
    let mut backoff = Backoff::default();
    let mut pauses = vec![backoff.pause_ms()];
    for _ in 0..100 {
        backoff.record_failure();
        pauses.push(backoff.pause_ms());
    }
    assert_eq!(pauses[..5], [0, 0, 0, 1_000, 2_000]);
    assert!(pauses[5..].iter().all(|pause| *pause == MAX_PAUSE_MS));
    backoff.record_progress();
    assert_eq!((backoff.failures(), backoff.pause_ms()), (0, 0));
}
