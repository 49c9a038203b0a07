//! What a fleet that starts at once appends to tell its size, and how well that is known.

use std::time::Duration;

use havenstage_rollout::fleet_size::{FleetSize, SKETCH_MACHINES, announce_delay};
use havenstage_rollout::ids::MachineName;

/// Time that the users' store takes for an append to a partition.
const APPEND: Duration = Duration::from_millis(4);
/// Age of what a node knows of the stream when it decides, while it is paced.
const READ_LAG: Duration = Duration::from_millis(400);
/// Machines that an earlier version of the program announced, one after the other.
const MOST_ANNOUNCED: usize = 100;

fn machines(count: usize) -> Vec<MachineName> {
    (0..count)
        .map(|at| MachineName::from(format!("front-zone-{}-{at}", at % 5)))
        .collect()
}

/// An announcement that stands in the log from a time on.
struct Announced {
    at: Duration,
    machine: MachineName,
}

/// All machines start at once, and read the log with a lag. Answers what stands in it.
fn start(fleet: &[MachineName]) -> Vec<Announced> {
    let mut order: Vec<&MachineName> = fleet.iter().collect();
    order.sort_by_key(|machine| announce_delay(machine));
    let mut log: Vec<Announced> = Vec::new();
    for machine in order {
        let now = announce_delay(machine);
        let mut known = FleetSize::default();
        let read = log.iter().filter(|record| record.at + READ_LAG <= now);
        read.for_each(|record| known.record_announcement(record.machine.clone()));
        if known.is_wanted(machine) {
            let free = log.last().map_or(Duration::ZERO, |last| last.at);
            log.push(Announced {
                at: now.max(free) + APPEND,
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
fn announcements_do_not_grow_with_the_fleet() {
    for count in [60, 300, 1_000, 2_000, 4_000] {
        let log = start(&machines(count));
        let waited = log
            .iter()
            .map(|record| record.at - announce_delay(&record.machine));
        let longest = waited.max().unwrap();
        let most = SKETCH_MACHINES + (count as f64 * READ_LAG.as_secs_f64() / 16.0 * 1.5) as usize;
        assert!(log.len() <= most, "{} of {count}", log.len());
        assert!(
            longest < Duration::from_millis(200),
            "{longest:?} of {count}"
        );
    }
}

#[test]
fn the_size_is_known_soon_and_within_a_third() {
    for count in [60, 300, 1_000, 2_000] {
        let log = start(&machines(count));
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

/// Small fleets are not paced: 40 machines may read at once.
#[test]
fn a_small_fleet_is_known_to_be_small_within_a_second() {
    for count in [1, 2, 3, 12] {
        let log = start(&machines(count));
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

/// A node that starts in a small fleet that has run for long knows it at once.
#[test]
fn a_fleet_that_is_complete_is_known_at_once() {
    let log = start(&machines(12));
    let estimate = known(&log, Duration::from_secs(100)).estimate(Duration::ZERO);
    assert!((12..=20).contains(&estimate), "{estimate}");
}

/// Nothing is known: as if there were many.
#[test]
fn an_unknown_fleet_is_taken_for_a_large_one() {
    assert!(FleetSize::default().estimate(Duration::ZERO) >= MOST_ANNOUNCED);
}

/// Earlier versions of the program announced every machine, and count what a checkpoint lists.
#[test]
fn machines_that_all_announced_themselves_are_counted() {
    let fleet = machines(MOST_ANNOUNCED);
    let mut known = FleetSize::default();
    fleet
        .iter()
        .cloned()
        .for_each(|machine| known.record_announcement(machine));
    assert_eq!(known.machines().len(), MOST_ANNOUNCED);
    assert!(known.estimate(Duration::ZERO) >= MOST_ANNOUNCED);
    assert!(!known.is_wanted(&fleet[7]), "it is known");
}
