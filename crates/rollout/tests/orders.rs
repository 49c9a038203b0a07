//! What the stream of orders tells: when a new holder may order, and who serves which route.

mod support;

use havenstage_rollout::ids::{MachineName, ModelName};
use havenstage_rollout::orders::{OrderRecord, OrderState};
use support::{backend, node};

fn model(name: &str) -> ModelName {
    ModelName::from(name)
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

#[test]
fn a_route_is_served_by_the_node_that_last_said_so() {
    let mut state = OrderState::new(MachineName::from("a"));
    let serves = |machine: &str, routes: &[&str]| OrderRecord::Serves {
        node: node(machine, 1),
        routes: routes.iter().map(|route| (*route).to_owned()).collect(),
        batches: Vec::new(),
    };
    state.apply(serves("b", &["r", "s"]), 100);
    state.apply(serves("c", &["r"]), 200);
    assert_eq!(state.serving("r", 150), Some(&node("c", 1)));
    assert_eq!(state.serving("s", 100), Some(&node("b", 1)));
    assert_eq!(state.serving("s", 101), None, "it said so too long ago");
    assert_eq!(state.serving("t", 0), None);
}
