//! Simulates a fleet whose machines all start at once: how many announcements it appends, and how exact the estimates of
//! its size are.

use std::time::Duration;

use havenstage_rollout::fleet_size::{FleetSize, SKETCH_MACHINES, announce_delay};
use havenstage_rollout::ids::MachineName;

/// Time that the log takes for one append to a partition.
const APPEND_TIME: Duration = Duration::from_millis(4);
/// Age of a node's view of the stream when it decides, while its reads are paced.
const READ_LAG: Duration = Duration::from_millis(400);
/// A number of machines larger than the sketch. Earlier versions of the program announced each machine, one after the
/// other.
const MAX_LEGACY_ANNOUNCEMENTS: usize = 100;

fn machines(count: usize) -> Vec<MachineName> {
    (0..count)
        .map(|at| MachineName::from(format!("front-zone-{}-{at}", at % 5)))
        .collect()
}

/// An announcement in the log, and the time since the start of the fleet at which it was appended.
struct Announced {
    at: Duration,
    machine: MachineName,
}

/// Starts all machines at once, each of which reads the log with a lag. Returns the announcements in the log.
fn simulate_start(fleet: &[MachineName]) -> Vec<Announced> {
    let mut order: Vec<&MachineName> = fleet.iter().collect();
    order.sort_by_key(|machine| announce_delay(machine));
    let mut log: Vec<Announced> = Vec::new();
    for machine in order {
        let now = announce_delay(machine);
        let mut known = FleetSize::default();
        let read = log.iter().filter(|record| record.at + READ_LAG <= now);
        read.for_each(|record| known.record_announcement(record.machine.clone()));
        if known.is_wanted(machine) {
            let last_append_at = log.last().map_or(Duration::ZERO, |last| last.at);
            log.push(Announced {
                at: now.max(last_append_at) + APPEND_TIME,
                machine: machine.clone(),
            });
        }
    }
    log
}

fn known(log: &[Announced], at: Duration) -> FleetSize {
    let mut known = FleetSize::default();
    let read = log.iter().filter(|record| record.at <= at);
    read.for_each(|record| known.record_announcement(record.machine.clone()));
    known
}

#[test]
fn the_number_of_announcements_does_not_grow_with_the_fleet() {
    for count in [60, 300, 1_000, 2_000, 4_000] {
        let log = simulate_start(&machines(count));
        let delays = log
            .iter()
            .map(|record| record.at - announce_delay(&record.machine));
        let longest = delays.max().unwrap();
        let most = SKETCH_MACHINES + (count as f64 * READ_LAG.as_secs_f64() / 16.0 * 1.5) as usize;
        assert!(log.len() <= most, "{} of {count}", log.len());
        assert!(
            longest < Duration::from_millis(200),
            "{longest:?} of {count}"
        );
    }
}

#[test]
fn the_estimate_is_soon_within_a_third_of_the_size() {
    for count in [60, 300, 1_000, 2_000] {
        let log = simulate_start(&machines(count));
        for at in [2, 5, 20].map(Duration::from_secs) {
            let estimate = known(&log, at).estimate(at);
            let ratio = estimate as f64 / count as f64;
            assert!(
                (0.66..1.5).contains(&ratio),
                "{estimate} of {count} at {at:?}"
            );
        }
    }
}

/// Reads of small fleets are not paced, as 40 machines may read at the same time. So an estimate above that would slow
/// a small fleet down.
#[test]
fn a_small_fleet_is_estimated_as_small_within_a_second() {
    for count in [1, 2, 3, 12] {
        let log = simulate_start(&machines(count));
        assert_eq!(log.len(), count);
        for at in [1, 3, 8].map(Duration::from_secs) {
            let estimate = known(&log, at).estimate(at);
            assert!(estimate <= 40, "{estimate} of {count} at {at:?}");
        }
        let at = Duration::from_secs(20);
        let estimate = known(&log, at).estimate(at);
        assert!(estimate <= count + count / 2, "{estimate} of {count}");
    }
}

/// A node that joins a small fleet which has run for long knows the size from its first read of the announcements.
#[test]
fn a_fleet_that_has_announced_itself_completely_is_estimated_at_once() {
    let log = simulate_start(&machines(12));
    let estimate = known(&log, Duration::from_secs(100)).estimate(Duration::ZERO);
    assert!((12..=20).contains(&estimate), "{estimate}");
}

/// Before any announcement is read, the estimate must be high enough to slow the reads of a large fleet down.
#[test]
fn a_fleet_without_announcements_is_assumed_to_be_large() {
    assert!(FleetSize::default().estimate(Duration::ZERO) >= MAX_LEGACY_ANNOUNCEMENTS);
}

/// Earlier versions of the program announced every machine, so a checkpoint may list more machines than the sketch
/// holds. All of them count.
#[test]
fn all_announced_machines_are_counted() {
    let fleet = machines(MAX_LEGACY_ANNOUNCEMENTS);
    let mut known = FleetSize::default();
    fleet
        .iter()
        .cloned()
        .for_each(|machine| known.record_announcement(machine));
    assert_eq!(known.machines().len(), MAX_LEGACY_ANNOUNCEMENTS);
    assert!(known.estimate(Duration::ZERO) >= MAX_LEGACY_ANNOUNCEMENTS);
    assert!(!known.is_wanted(&fleet[7]), "the machine is already known");
}
