//! The state of the control stream: how long a new holder of the order lease must wait after orders of others,
//! which orders are pending, which node heartbeat which route, and checkpoints of all this.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use havenstage_rollout::batch_index::BatchNotice;
use havenstage_rollout::checkpoint::{BatchCheckpoint, ControlCheckpoint, OrderTime};
use havenstage_rollout::control::ControlState;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::ids::{BackendId, BatchId, MachineName, ModelName, NodeId};
use havenstage_rollout::stored::Stored;
use support::{backend, item, node, submission};

fn model(name: &str) -> ModelName {
    ModelName::from(name)
}

fn lease_heartbeat(machine: &str, term: u64, after_ms: u64) -> ControlRecord {
    ControlRecord::LeaseKept {
        term,
        holder: node(machine, 1),
        after_ms,
    }
}

fn ordered(machine: &str, back_end: &str) -> ControlRecord {
    ControlRecord::Ordered {
        holder: node(machine, 1),
        backend: backend(back_end),
        model: model("m"),
        version: 2,
    }
}

#[test]
fn only_orders_of_other_machines_make_a_holder_wait() {
    let mut state = ControlState::new(MachineName::from("a"));
    state.apply(ordered("a", "x"), 10);
    assert_eq!(
        state.ms_since_order_by_other_machine(&backend("x"), 50),
        None
    );
    state.apply(ordered("b", "x"), 20);
    assert_eq!(
        state.ms_since_order_by_other_machine(&backend("x"), 50),
        Some(30)
    );
    assert_eq!(
        state.ms_since_order_by_other_machine(&backend("y"), 50),
        None,
        "another back end is not concerned"
    );
}

/// A node that has just started reads all records at once. The first heartbeat after an order says nothing about
/// the order's age, since part of the time that it covers passed before the order.
#[test]
fn heartbeats_after_an_order_show_its_age() {
    let mut state = ControlState::new(MachineName::from("a"));
    state.apply(
        ControlRecord::LeaseClaimed {
            term: 1,
            holder: node("b", 1),
        },
        1_000,
    );
    state.apply(lease_heartbeat("b", 1, 0), 1_000);
    state.apply(ordered("b", "x"), 1_000);
    for _ in 0..10 {
        state.apply(lease_heartbeat("b", 1, 300), 1_000);
    }
    state.apply(lease_heartbeat("a", 0, 9_000), 1_000);
    assert_eq!(
        state.ms_since_order_by_other_machine(&backend("x"), 1_000),
        Some(2_700)
    );
}

/// Guards against two orders too close to each other: a holder that was stopping gave an order 250 ms after one
/// heartbeat and 50 ms before the next. Its successor gave the same engine an order 2.968 s later, although 3.0 s
/// must pass, because it counted the whole 300 ms between the two heartbeats as time since the first order.
#[test]
fn time_since_an_order_begins_at_the_first_heartbeat_after_it() {
    let mut state = ControlState::new(MachineName::from("a"));
    let claimed = ControlRecord::LeaseClaimed {
        term: 1,
        holder: node("b", 1),
    };
    for record in [claimed, lease_heartbeat("b", 1, 0), ordered("b", "x")] {
        state.apply(record, 1_000);
    }
    assert_eq!(
        state.ms_since_order_by_other_machine(&backend("x"), 1_000),
        Some(0)
    );
    state.apply(lease_heartbeat("b", 1, 300), 1_000);
    assert_eq!(
        state.ms_since_order_by_other_machine(&backend("x"), 1_000),
        Some(0)
    );
    state.apply(lease_heartbeat("b", 1, 300), 1_000);
    assert_eq!(
        state.ms_since_order_by_other_machine(&backend("x"), 1_000),
        Some(300)
    );
}

#[test]
fn an_order_is_pending_until_its_back_end_is_observed() {
    let mut state = ControlState::new(MachineName::from("a"));
    state.apply(ordered("b", "x"), 10);
    state.apply(ordered("b", "y"), 10);
    assert_eq!(state.pending(&backend("x")).unwrap().version, 2);
    let observed = ControlRecord::Observed {
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
        ControlRecord::Withdrawn {
            backend: backend("y"),
        },
        30,
    );
    assert!(state.pending(&backend("x")).is_none());
}

#[test]
fn a_route_is_served_by_the_node_with_its_newest_heartbeat() {
    let mut state = ControlState::new(MachineName::from("a"));
    let heartbeat = |machine: &str, routes: &[&str]| ControlRecord::Heartbeat {
        node: node(machine, 1),
        routes: routes.iter().map(|route| (*route).to_owned()).collect(),
        batches: Vec::new(),
    };
    state.apply(heartbeat("b", &["r", "s"]), 100);
    state.apply(heartbeat("c", &["r"]), 200);
    assert_eq!(state.serving("r", 150), Some(&node("c", 1)));
    assert_eq!(state.serving("s", 100), Some(&node("b", 1)));
    assert_eq!(state.serving("s", 101), None, "its heartbeat is too old");
    assert_eq!(state.serving("t", 0), None);
}

/// A machine whose node restarts repeatedly is still one machine.
#[test]
fn a_machine_that_joins_repeatedly_is_counted_once() {
    let mut state = ControlState::new(MachineName::from("a"));
    for machine in ["a", "b", "a", "c", "a"] {
        let machine = MachineName::from(machine);
        state.apply(ControlRecord::Joined { machine }, 10);
    }
    assert_eq!(state.machine_count(), 3);
}

fn listens(machine: &str, incarnation: u32) -> ControlRecord {
    ControlRecord::PeerListens {
        node: node(machine, incarnation),
        address: address_of(incarnation),
    }
}

fn address_of(incarnation: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], incarnation as u16))
}

/// Records of a period in which a node and its successor gave orders and ran batches.
fn history() -> Vec<ControlRecord> {
    let notice = |batch: &str| {
        let submission = submission(batch, vec![item("one", "g", 10)]);
        ControlRecord::BatchAccepted(BatchNotice::of(&submission, Some(node("b", 1))))
    };
    let claimed = |term, machine: &str| ControlRecord::LeaseClaimed {
        term,
        holder: node(machine, 1),
    };
    let heartbeat = |machine: &str, batch: &str| ControlRecord::Heartbeat {
        node: node(machine, 1),
        routes: Vec::new(),
        batches: vec![BatchId::from(batch)],
    };
    vec![
        ControlRecord::Joined {
            machine: MachineName::from("b"),
        },
        claimed(1, "b"),
        lease_heartbeat("b", 1, 300),
        notice("first"),
        ordered("b", "x"),
        ordered("b", "y"),
        lease_heartbeat("b", 1, 300),
        ControlRecord::Observed {
            backend: backend("x"),
            model: model("m"),
            version: 2,
        },
        claimed(2, "c"),
        notice("second"),
        heartbeat("c", "first"),
        ordered("c", "x"),
        lease_heartbeat("c", 2, 400),
        ControlRecord::BatchClosed {
            batch: BatchId::from("first"),
        },
        ordered("b", "z"),
        listens("c", 1),
        lease_heartbeat("c", 2, 300),
    ]
}

/// At whichever offset a checkpoint is taken, a reader that starts from it and reads the later records has the
/// same state as a reader of all records, on any machine.
#[test]
fn a_checkpoint_and_the_later_records_give_the_state_of_all_records() {
    let records = history();
    for own in ["a", "b", "c"] {
        let own = MachineName::from(own);
        let mut full = ControlState::new(own.clone());
        for record in &records {
            full.apply(record.clone(), 1_000);
        }
        for at in 0..=records.len() {
            let mut before = ControlState::new(MachineName::from("writer"));
            for record in &records[..at] {
                before.apply(record.clone(), 7);
            }
            let written = before.checkpoint(at as u64).encode();
            let read = ControlCheckpoint::decode(&written).unwrap();
            let mut state = ControlState::restored(own.clone(), read, 1_000);
            for record in &records[at..] {
                state.apply(record.clone(), 1_000);
            }
            assert_eq!(state.checkpoint(0), full.checkpoint(0), "taken at {at}");
            for backend in ["x", "y", "z"].map(backend) {
                let quiet_ms = state.ms_since_order_by_other_machine(&backend, 1_000);
                assert_eq!(
                    quiet_ms,
                    full.ms_since_order_by_other_machine(&backend, 1_000),
                    "taken at {at}"
                );
            }
        }
    }
}

#[test]
fn a_truncated_checkpoint_is_rejected() {
    let written = ControlState::new(MachineName::from("a"))
        .checkpoint(9)
        .encode();
    assert!(ControlCheckpoint::decode(&written[..written.len() - 1]).is_err());
}

/// The fields of checkpoint format 1, as an older node writes and reads them.
type UnversionedCheckpoint = (
    u64,
    BTreeSet<MachineName>,
    Vec<BatchCheckpoint>,
    u64,
    Option<NodeId>,
    BTreeMap<BackendId, (ModelName, u64)>,
    Vec<OrderTime>,
    u64,
);

fn checkpoint_of_history() -> ControlCheckpoint {
    let mut state = ControlState::new(MachineName::from("writer"));
    for record in history() {
        state.apply(record, 7);
    }
    state.checkpoint(16)
}

/// During a rolling upgrade, the lease holder may run the older release and the node that starts the newer one.
/// A checkpoint of format 1 stores for each order the time of the last heartbeat before it, which is too early.
#[test]
fn orders_of_a_format_1_checkpoint_count_from_the_first_heartbeat_that_is_read() {
    let new = checkpoint_of_history();
    let old: UnversionedCheckpoint = (
        new.next,
        new.machines,
        new.batches,
        new.term,
        new.holder,
        new.pending,
        new.last_orders,
        new.log_time,
    );
    let written = postcard::to_stdvec(&old).unwrap();
    let read = ControlCheckpoint::decode(&written).unwrap();
    assert_eq!((read.next, &read.batches), (16, &old.2));
    let mut state = ControlState::restored(MachineName::from("a"), read, 1_000);
    state.apply(lease_heartbeat("c", 2, 300), 1_000);
    assert_eq!(
        state.ms_since_order_by_other_machine(&backend("x"), 1_000),
        Some(0)
    );
    state.apply(lease_heartbeat("c", 2, 300), 1_000);
    assert_eq!(
        state.ms_since_order_by_other_machine(&backend("x"), 1_000),
        Some(300)
    );
    assert!(ControlCheckpoint::decode(&written[..written.len() - 1]).is_err());
}

#[test]
fn an_older_node_reads_the_fields_it_knows_of_a_newer_checkpoint() {
    let new = checkpoint_of_history();
    let old: UnversionedCheckpoint = postcard::from_bytes(&new.encode()).unwrap();
    assert_eq!(
        (old.0, old.2, old.6),
        (new.next, new.batches, new.last_orders)
    );
}

/// A checkpoint of a release that had fewer fields ends before the missing ones, and must still be read.
#[test]
fn a_checkpoint_of_an_older_release_is_read_without_addresses() {
    let mut old = checkpoint_of_history();
    old.form = 5;
    old.peers = Vec::new();
    let mut written = old.encode();
    written.pop();
    let read = ControlCheckpoint::decode(&written).unwrap();
    assert_eq!(read, old);
}

#[test]
fn the_address_of_a_nodes_newest_incarnation_counts_until_its_heartbeats_are_too_old() {
    let mut state = ControlState::new(MachineName::from("a"));
    let heartbeat = |incarnation| ControlRecord::Heartbeat {
        node: node("b", incarnation),
        routes: Vec::new(),
        batches: Vec::new(),
    };
    state.apply(heartbeat(1), 1_000);
    assert_eq!(state.peers().of(&node("b", 1)), None);
    state.apply(listens("b", 1), 1_000);
    state.apply(heartbeat(1), 2_000);
    let address = state.peers().of(&node("b", 1));
    assert_eq!(address, Some((address_of(1), 2_000)));
    state.apply(listens("b", 2), 3_000);
    state.apply(heartbeat(1), 4_000);
    assert_eq!(state.peers().of(&node("b", 1)), None);
    let address = state.peers().of(&node("b", 2));
    assert_eq!(address, Some((address_of(2), 3_000)));
    state.forget_batches_before(3_001);
    assert_eq!(state.peers().of(&node("b", 2)), None);
}

/// Guards against orders of two lease holders to one back end at the same time: the machine of the second holder was
/// suspended, its clock included the suspension, and so the first holder's order seemed to be long past.
#[test]
fn suspended_time_does_not_add_to_the_age_of_an_order() {
    let mut state = ControlState::new(MachineName::from("a"));
    state.apply(ordered("b", "x"), 20);
    assert_eq!(
        state.ms_since_order_by_other_machine(&backend("x"), 50),
        Some(30)
    );
    state.exclude_suspended_time(4_000);
    assert_eq!(
        state.ms_since_order_by_other_machine(&backend("x"), 4_060),
        Some(40)
    );
    state.apply(ordered("b", "y"), 4_070);
    assert_eq!(
        state.ms_since_order_by_other_machine(&backend("y"), 4_100),
        Some(30)
    );
}
