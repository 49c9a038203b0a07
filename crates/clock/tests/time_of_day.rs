//! Temporary jumps of the system time do not change the time of day.

use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_clock::time_of_day::{TimeOfDay, WallClockOffset};

#[test]
fn corrections_are_adopted_at_once_and_jumps_only_when_they_persist() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut offset = WallClockOffset::new(1_000);
    assert_eq!(offset.update(1_200, at(1)), 1_200);
    assert_eq!(offset.update(3_200, at(2)), 1_200, "a jump forward");
    assert_eq!(offset.update(3_200, at(20)), 1_200);
    assert_eq!(offset.update(1_210, at(21)), 1_210, "the jump was undone");
    assert_eq!(offset.update(-800, at(40)), 1_210, "a jump backwards");
    assert_eq!(offset.update(-800, at(71)), -800, "the jump has persisted");
    assert_eq!(offset.update(-900, at(72)), -900);
}

#[test]
fn time_of_day_starts_at_the_system_time() {
    let system = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    let now = TimeOfDay::start().now();
    assert!(now.abs_diff(system.as_millis() as u64) < 10_000);
}
