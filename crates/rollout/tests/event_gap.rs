//! The usual time between two events of a back end.

use havenstage_rollout::event_gap::RecentGaps;

#[test]
fn a_pause_for_a_prompt_does_not_make_a_back_end_slow() {
    let mut gaps = RecentGaps::default();
    for at in 0..20 {
        let gap_ms = if at % 5 == 0 { 400.0 } else { 40.0 };
        gaps.saw(gap_ms, 100 * at);
    }
    assert_eq!(gaps.median_ms(2_000), Some(40.0));
}

#[test]
fn a_back_end_that_turned_slow_is_seen_after_some_steps() {
    let mut gaps = RecentGaps::default();
    for at in 0..100 {
        gaps.saw(40.0, at);
    }
    for at in 0..33 {
        gaps.saw(120.0, 100 + at);
    }
    assert_eq!(gaps.median_ms(140), Some(120.0));
}

#[test]
fn old_gaps_say_nothing() {
    let mut gaps = RecentGaps::default();
    gaps.saw(120.0, 0);
    assert_eq!(gaps.median_ms(3_001), None);
    gaps.saw(40.0, 3_500);
    assert_eq!(gaps.median_ms(3_500), Some(40.0));
}
