//! Tests which back end is ordered to load which version.

mod support;

use std::collections::BTreeMap;

use havenstage_rollout::ids::{BackendId, ModelName};
use havenstage_rollout::order_plan::{OrderTarget, VersionDemand, assign_models, plan_orders};
use support::backend;

fn model(name: &str) -> ModelName {
    ModelName::from(name)
}

fn target(id: &str, version: u64, running: u32) -> OrderTarget {
    OrderTarget {
        backend: backend(id),
        models: BTreeMap::from([(model("m"), version)]),
        running,
        slots: 2,
        is_loading: false,
        is_avoided: false,
    }
}

/// More items than all back ends of a test have slots for.
const MANY_ITEMS: u32 = 1_000;

fn plan(
    targets: &[OrderTarget],
    named: u64,
    max_versions_behind: u64,
    max_concurrent: usize,
) -> Vec<String> {
    let demand = VersionDemand {
        named,
        max_versions_behind,
        items: MANY_ITEMS,
    };
    plan_for(targets, demand, max_concurrent)
}

fn plan_for(targets: &[OrderTarget], demand: VersionDemand, max_concurrent: usize) -> Vec<String> {
    let assigned_models: BTreeMap<BackendId, ModelName> = targets
        .iter()
        .map(|target| (target.backend.clone(), model("m")))
        .collect();
    let named = demand.named;
    let demand = BTreeMap::from([(model("m"), demand)]);
    let orders = plan_orders(targets, &demand, &assigned_models, max_concurrent);
    assert!(orders.iter().all(|order| order.version == named));
    orders
        .iter()
        .map(|order| order.backend.to_string())
        .collect()
}

#[test]
fn concurrent_loads_are_limited() {
    let mut targets = vec![target("a", 1, 0), target("b", 1, 0), target("c", 1, 0)];
    assert_eq!(plan(&targets, 2, 0, 2), ["a", "b"]);
    targets[0].is_loading = true;
    assert_eq!(plan(&targets, 2, 0, 2), ["b"]);
    targets[1].is_loading = true;
    assert!(plan(&targets, 2, 0, 2).is_empty());
}

#[test]
fn idle_back_ends_load_before_busy_ones() {
    let targets = [target("a", 1, 5), target("b", 1, 0), target("c", 1, 3)];
    assert_eq!(plan(&targets, 2, 0, 3), ["b", "c", "a"]);
}

#[test]
fn half_of_the_back_ends_keep_serving_if_work_may_be_one_version_behind() {
    let targets = [
        target("a", 4, 0),
        target("b", 4, 0),
        target("c", 3, 0),
        target("d", 3, 0),
    ];
    assert_eq!(
        plan(&targets, 5, 1, 4),
        ["c", "d"],
        "back ends at version 4 still serve step 5"
    );
}

#[test]
fn all_back_ends_that_are_too_old_load_even_if_half_are_up_to_date() {
    let targets = [
        target("a", 5, 0),
        target("b", 5, 0),
        target("c", 3, 0),
        target("d", 4, 0),
    ];
    assert_eq!(plan(&targets, 5, 1, 4), ["c"]);
}

#[test]
fn enough_back_ends_load_for_the_next_version() {
    let targets = [
        target("a", 4, 2),
        target("b", 4, 0),
        target("c", 4, 1),
        target("d", 4, 3),
    ];
    assert_eq!(plan(&targets, 5, 1, 4), ["b", "c"]);
}

#[test]
fn an_avoided_back_end_gets_no_order() {
    let mut targets = vec![target("a", 1, 0)];
    targets[0].is_avoided = true;
    assert!(plan(&targets, 2, 0, 2).is_empty());
}

#[test]
fn back_ends_are_split_between_models_by_weight() {
    let models = |version| BTreeMap::from([(model("m"), version), (model("n"), 1)]);
    let targets: Vec<OrderTarget> = ["a", "b", "c", "d", "e", "f"]
        .into_iter()
        .map(|id| OrderTarget {
            models: models(1),
            ..target(id, 1, 0)
        })
        .collect();
    let weights = BTreeMap::from([(model("m"), 200.0), (model("n"), 100.0)]);
    let named = BTreeMap::from([(model("m"), 2), (model("n"), 2)]);
    let assigned_models = assign_models(&targets, &weights, &named);
    let count = |name: &str| {
        assigned_models
            .values()
            .filter(|assigned| **assigned == model(name))
            .count()
    };
    assert_eq!((count("m"), count("n")), (4, 2));
}

#[test]
fn a_back_end_stays_with_the_model_whose_newest_version_it_has() {
    let with = |id: &str, m, n| OrderTarget {
        models: BTreeMap::from([(model("m"), m), (model("n"), n)]),
        ..target(id, 1, 0)
    };
    let targets = [with("a", 1, 7), with("b", 7, 1)];
    let weights = BTreeMap::from([(model("m"), 1.0), (model("n"), 1.0)]);
    let named = BTreeMap::from([(model("m"), 8), (model("n"), 8)]);
    let assigned_models = assign_models(&targets, &weights, &named);
    assert_eq!(assigned_models[&backend("a")], model("n"));
    assert_eq!(assigned_models[&backend("b")], model("m"));
}

/// A batch of four items keeps two back ends of two slots up to date, however many back ends there are. The same two
/// are chosen for each version, as they have the newest one.
#[test]
fn no_more_back_ends_load_than_the_newest_batch_needs() {
    let of_four_items = |named, max_versions_behind| VersionDemand {
        named,
        max_versions_behind,
        items: 4,
    };
    let fresh = ["a", "b", "c", "d", "e"].map(|id| target(id, 1, 0));
    assert_eq!(plan_for(&fresh, of_four_items(2, 0), 9), ["a", "b"]);
    let later = [
        target("a", 1, 0),
        target("b", 1, 0),
        target("c", 1, 0),
        target("d", 2, 0),
        target("e", 2, 0),
    ];
    assert_eq!(plan_for(&later, of_four_items(3, 0), 9), ["d", "e"]);
    assert_eq!(plan_for(&later, of_four_items(3, 1), 9), ["d"]);
}

/// A back end that currently gets no orders is replaced by another.
#[test]
fn another_back_end_loads_instead_of_an_avoided_one() {
    let mut targets = ["a", "b", "c"].map(|id| target(id, 1, 0));
    targets[0].is_avoided = true;
    let demand = VersionDemand {
        named: 2,
        max_versions_behind: 0,
        items: 4,
    };
    assert_eq!(plan_for(&targets, demand, 9), ["b", "c"]);
}
