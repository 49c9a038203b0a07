//! Where requests may be served: regions of routes and tenants both bind.

use havenstage_rollout::ids::{RegionName, ZoneName};
use havenstage_rollout::residency::{RegionMap, Residency};

const REGIONS: [&str; 3] = ["north", "south", "west"];

fn region(name: &str) -> RegionName {
    RegionName::from(name)
}

/// Every subset of the regions.
fn subsets() -> impl Iterator<Item = Vec<&'static str>> {
    (0..1 << REGIONS.len()).map(|bits: usize| {
        let is_in = |at: &usize| bits >> at & 1 == 1;
        (0..REGIONS.len())
            .filter(is_in)
            .map(|at| REGIONS[at])
            .collect()
    })
}

fn of(regions: &[&str]) -> Residency {
    Residency::of(regions.iter().map(|name| region(name)))
}

#[test]
fn for_all_pairs_a_region_is_allowed_by_both_or_not_at_all() {
    for left in subsets() {
        for right in subsets() {
            let both = of(&left).and(&of(&right));
            for name in REGIONS {
                let by = |regions: &[&str]| regions.is_empty() || regions.contains(&name);
                let expected = by(&left) && by(&right);
                let allows = both.allows(Some(&region(name)));
                assert_eq!(allows, expected, "{left:?} and {right:?} in {name}");
            }
        }
    }
}

#[test]
fn an_unknown_region_is_allowed_only_where_nothing_is_restricted() {
    assert!(Residency::anywhere().allows(None));
    assert!(!of(&["north"]).allows(None));
    let nowhere = of(&["north"]).and(&of(&["south"]));
    assert!(nowhere.is_restricted());
    assert!(!nowhere.allows(Some(&region("north"))));
}

#[test]
fn zones_lie_in_the_regions_that_are_configured() {
    let map: RegionMap = [(ZoneName::from("a"), region("north"))]
        .into_iter()
        .collect();
    assert_eq!(map.region_of("a"), Some(&region("north")));
    assert_eq!(map.region_of("b"), None);
}
