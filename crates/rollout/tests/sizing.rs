//! Tests when a pool grows, and in which zones.

use havenstage_rollout::ids::ZoneName;
use havenstage_rollout::sizing::{PoolLoad, PoolScaling, PoolSizer, ZoneSizes};

fn sizes(sizes: &[(&str, u32)]) -> ZoneSizes {
    let size = |(zone, size): &(&str, u32)| (ZoneName::from(*zone), *size);
    sizes.iter().map(size).collect()
}

fn scaling() -> PoolScaling {
    let prices = [("cheap", 0.85), ("dear", 1.2), ("usual", 1.0)];
    PoolScaling {
        min_backends: 1,
        max_backends: 14,
        boot_ms: 4_000,
        zone_prices: prices
            .map(|(zone, price)| (ZoneName::from(zone), price))
            .into(),
    }
}

fn load(running_items: u32, is_behind: bool) -> PoolLoad {
    PoolLoad {
        ready: sizes(&[("cheap", 12), ("dear", 12), ("usual", 11)]),
        slots: 210,
        running_items,
        is_behind,
    }
}

/// The planned sizes after each of these loads, given with their times in milliseconds.
fn plans(loads: &[(u64, PoolLoad)]) -> Vec<Option<ZoneSizes>> {
    let mut sizer = PoolSizer::default();
    sizer.observe_ready(&load(0, false).ready);
    let plan = |(now, load): &(u64, PoolLoad)| sizer.plan(&scaling(), &sizes(&[]), load, *now);
    loads.iter().map(plan).collect()
}

#[test]
fn a_pool_that_is_full_and_behind_for_a_while_grows_in_the_cheapest_zones() {
    let full = load(205, true);
    let planned = plans(&[(1_000, full.clone()), (1_500, full.clone()), (1_700, full)]);
    let grown = sizes(&[("cheap", 14), ("dear", 12 + 4), ("usual", 14)]);
    let expected = sizes(&[("cheap", 14), ("dear", 14), ("usual", 14)]);
    assert_eq!(planned[..2], [None, None]);
    assert_ne!(planned[2], Some(grown), "no zone grows beyond its maximum");
    assert_eq!(planned[2], Some(expected));
}

/// The burst with which each step begins occupies all slots, and is over before new back ends serve.
#[test]
fn a_full_pool_whose_batches_are_on_time_does_not_grow() {
    let full = load(210, false);
    assert_eq!(plans(&[(1_000, full.clone()), (9_000, full)]), [None, None]);
}

#[test]
fn a_pool_with_free_slots_does_not_grow_however_late_its_batches_are() {
    let free = load(150, true);
    assert_eq!(plans(&[(1_000, free.clone()), (9_000, free)]), [None, None]);
}

#[test]
fn a_pool_grows_again_only_after_the_boot_time() {
    let full = load(210, true);
    let at = |now| (now, full.clone());
    let planned = plans(&[at(0), at(700), at(800), at(4_600), at(4_800), at(5_500)]);
    let grows: Vec<bool> = planned.iter().map(Option::is_some).collect();
    assert_eq!(grows, [false, true, false, false, true, false]);
}

#[test]
fn a_pool_without_listed_back_ends_does_not_grow() {
    let unknown = PoolLoad {
        ready: sizes(&[]),
        slots: 0,
        running_items: 0,
        is_behind: true,
    };
    assert_eq!(
        plans(&[(0, unknown.clone()), (5_000, unknown)]),
        [None, None]
    );
}

/// Guards against removing back ends when a pool grows while many back ends of a zone are down: the order must not be
/// based on those that are left.
#[test]
fn back_ends_that_are_temporarily_missing_are_not_removed() {
    let mut sizer = PoolSizer::default();
    sizer.observe_ready(&load(0, false).ready);
    let few = PoolLoad {
        ready: sizes(&[("cheap", 2), ("dear", 1), ("usual", 0)]),
        slots: 18,
        running_items: 18,
        is_behind: true,
    };
    sizer.observe_ready(&few.ready);
    let ordered = sizes(&[("dear", 13)]);
    assert_eq!(sizer.plan(&scaling(), &ordered, &few, 0), None);
    let planned = sizer.plan(&scaling(), &ordered, &few, 700).unwrap();
    for (zone, size) in sizes(&[("cheap", 12), ("dear", 13), ("usual", 11)]) {
        assert!(planned[&zone] >= size, "{zone}: {planned:?}");
    }
}
