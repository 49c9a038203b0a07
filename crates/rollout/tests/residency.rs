//! Tests of data residency: a region must be allowed by both the route and the tenant.

use havenstage_rollout::ids::{RegionName, ZoneName};
use havenstage_rollout::residency::{RegionMap, Residency};

const REGIONS: [&str; 3] = ["north", "south", "west"];

fn region(name: &str) -> RegionName {
    RegionName::from(name)
}

/// Every subset of the test regions, including the empty one.
fn subsets() -> impl Iterator<Item = Vec<&'static str>> {
    (0..1 << REGIONS.len()).map(|bits: usize| {
        let is_in = |at: &usize| bits >> at & 1 == 1;
        (0..REGIONS.len())
            .filter(is_in)
            .map(|at| REGIONS[at])
            .collect()
    })
}

fn residency_of(regions: &[&str]) -> Residency {
    Residency::of(regions.iter().map(|name| region(name)))
}

#[test]
fn a_region_is_allowed_by_an_intersection_only_if_both_sides_allow_it() {
    for left in subsets() {
        for right in subsets() {
            let both = residency_of(&left).and(&residency_of(&right));
            for name in REGIONS {
                let is_allowed_by =
                    |regions: &[&str]| regions.is_empty() || regions.contains(&name);
                let expected = is_allowed_by(&left) && is_allowed_by(&right);
                let allows = both.allows(Some(&region(name)));
                assert_eq!(allows, expected, "{left:?} and {right:?} in {name}");
            }
        }
    }
}

#[test]
fn an_unknown_region_is_allowed_only_where_nothing_is_restricted() {
    assert!(Residency::anywhere().allows(None));
    assert!(!residency_of(&["north"]).allows(None));
    let nowhere = residency_of(&["north"]).and(&residency_of(&["south"]));
    assert!(nowhere.is_restricted());
    assert!(!nowhere.allows(Some(&region("north"))));
}

#[test]
fn zones_are_mapped_to_their_configured_regions() {
    let map: RegionMap = [(ZoneName::from("a"), region("north"))]
        .into_iter()
        .collect();
    assert_eq!(map.region_of("a"), Some(&region("north")));
    assert_eq!(map.region_of("b"), None);
}
