//! Which back end is ordered to load which version, and when a new holder may order.

mod support;

use std::collections::BTreeMap;

use havenstage_rollout::ids::{BackendId, MachineName, ModelName};
use havenstage_rollout::orders::{
    OrderRecord, OrderState, OrderTarget, VersionDemand, assign_homes, plan_orders,
};
use support::{backend, node};

fn model(name: &str) -> ModelName {
    ModelName::from(name)
}

fn target(id: &str, version: u64, running: u32) -> OrderTarget {
    OrderTarget {
        backend: backend(id),
        models: BTreeMap::from([(model("m"), version)]),
        running,
        loading: false,
        avoided: false,
    }
}

fn plan(targets: &[OrderTarget], named: u64, allowed_age: u64, at_once: usize) -> Vec<String> {
    let homes: BTreeMap<BackendId, ModelName> = targets
        .iter()
        .map(|target| (target.backend.clone(), model("m")))
        .collect();
    let demand = BTreeMap::from([(model("m"), VersionDemand { named, allowed_age })]);
    let orders = plan_orders(targets, &demand, &homes, at_once);
    assert!(orders.iter().all(|order| order.version == named));
    orders
        .iter()
        .map(|order| order.backend.to_string())
        .collect()
}

#[test]
fn only_so_many_load_at_once() {
    let mut targets = vec![target("a", 1, 0), target("b", 1, 0), target("c", 1, 0)];
    assert_eq!(plan(&targets, 2, 0, 2), ["a", "b"]);
    targets[0].loading = true;
    assert_eq!(plan(&targets, 2, 0, 2), ["b"]);
    targets[1].loading = true;
    assert!(plan(&targets, 2, 0, 2).is_empty());
}

#[test]
fn the_idle_load_before_the_busy() {
    let targets = [target("a", 1, 5), target("b", 1, 0), target("c", 1, 3)];
    assert_eq!(plan(&targets, 2, 0, 3), ["b", "c", "a"]);
}

#[test]
fn where_work_may_be_one_version_old_half_go_on_serving() {
    let targets = [
        target("a", 4, 0),
        target("b", 4, 0),
        target("c", 3, 0),
        target("d", 3, 0),
    ];
    assert_eq!(
        plan(&targets, 5, 1, 4),
        ["c", "d"],
        "those at 4 still serve step 5"
    );
}

#[test]
fn all_that_are_too_old_load_even_if_half_are_new() {
    let targets = [
        target("a", 5, 0),
        target("b", 5, 0),
        target("c", 3, 0),
        target("d", 4, 0),
    ];
    assert_eq!(plan(&targets, 5, 1, 4), ["c"]);
}

#[test]
fn enough_are_made_new_for_the_next_version() {
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
    targets[0].avoided = true;
    assert!(plan(&targets, 2, 0, 2).is_empty());
}

#[test]
fn back_ends_are_shared_by_the_models_work() {
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
    let homes = assign_homes(&targets, &weights, &named);
    let count = |name: &str| homes.values().filter(|home| **home == model(name)).count();
    assert_eq!((count("m"), count("n")), (4, 2));
}

#[test]
fn a_back_end_stays_with_the_model_it_is_newest_for() {
    let with = |id: &str, m, n| OrderTarget {
        models: BTreeMap::from([(model("m"), m), (model("n"), n)]),
        ..target(id, 1, 0)
    };
    let targets = [with("a", 1, 7), with("b", 7, 1)];
    let weights = BTreeMap::from([(model("m"), 1.0), (model("n"), 1.0)]);
    let named = BTreeMap::from([(model("m"), 8), (model("n"), 8)]);
    let homes = assign_homes(&targets, &weights, &named);
    assert_eq!(homes[&backend("a")], model("n"));
    assert_eq!(homes[&backend("b")], model("m"));
}

fn kept(machine: &str, term: u64, after_ms: u64) -> OrderRecord {
    OrderRecord::Kept {
        term,
        holder: node(machine, 1),
        after_ms,
    }
}

fn ordered(machine: &str, back_end: &str) -> OrderRecord {
    OrderRecord::Ordered {
        holder: node(machine, 1),
        backend: backend(back_end),
        model: model("m"),
        version: 2,
    }
}

#[test]
fn only_orders_of_other_machines_make_a_holder_wait() {
    let mut state = OrderState::new(MachineName::from("a"));
    state.apply(ordered("a", "x"), 10);
    assert_eq!(state.quiet_ms(&backend("x"), 50), None);
    state.apply(ordered("b", "x"), 20);
    assert_eq!(state.quiet_ms(&backend("x"), 50), Some(30));
    assert_eq!(
        state.quiet_ms(&backend("y"), 50),
        None,
        "another back end is not concerned"
    );
}

/// A node that has just started reads all records at once.
#[test]
fn signs_of_life_behind_an_order_tell_its_age() {
    let mut state = OrderState::new(MachineName::from("a"));
    state.apply(
        OrderRecord::Claimed {
            term: 1,
            holder: node("b", 1),
        },
        1_000,
    );
    state.apply(kept("b", 1, 0), 1_000);
    state.apply(ordered("b", "x"), 1_000);
    for _ in 0..10 {
        state.apply(kept("b", 1, 300), 1_000);
    }
    state.apply(kept("a", 0, 9_000), 1_000);
    assert_eq!(state.quiet_ms(&backend("x"), 1_000), Some(3_000));
}

#[test]
fn an_order_is_pending_until_its_back_end_was_asked() {
    let mut state = OrderState::new(MachineName::from("a"));
    state.apply(ordered("b", "x"), 10);
    state.apply(ordered("b", "y"), 10);
    assert_eq!(state.pending(&backend("x")).unwrap().version, 2);
    let observed = OrderRecord::Observed {
        backend: backend("x"),
        model: model("m"),
        version: 1,
    };
    state.apply(observed, 20);
    assert!(state.pending(&backend("x")).is_none());
    let versions: Vec<u64> = state
        .take_observed()
        .iter()
        .map(|seen| seen.version)
        .collect();
    assert_eq!(versions, [1]);
    assert!(state.take_observed().is_empty());
    state.apply(
        OrderRecord::Withdrawn {
            backend: backend("y"),
        },
        30,
    );
    assert!(state.pending(&backend("x")).is_none());
}
