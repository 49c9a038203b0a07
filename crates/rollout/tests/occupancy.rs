//! Places taken on back ends, as the nodes tell each other.

mod support;

use std::collections::BTreeMap;

use havenstage_rollout::ids::NodeId;
use havenstage_rollout::occupancy::{Occupancy, OccupancyRecord};
use havenstage_rollout::stored::Stored;
use support::{backend, node};

fn told(node: NodeId, running: &[(&str, u32)]) -> OccupancyRecord {
    let running = running.iter().map(|(id, count)| (backend(id), *count));
    OccupancyRecord {
        node,
        running: running.collect(),
    }
}

#[test]
fn places_of_all_nodes_add_up() {
    let mut occupancy = Occupancy::default();
    occupancy.apply(told(node("a", 1), &[("x", 2), ("y", 1)]), 10);
    occupancy.apply(told(node("b", 1), &[("x", 3)]), 20);
    let all = BTreeMap::from([(backend("x"), 5), (backend("y"), 1)]);
    assert_eq!(occupancy.running(0, |_| true), all);
    let of_others = occupancy.running(0, |teller| *teller != node("a", 1));
    assert_eq!(of_others, BTreeMap::from([(backend("x"), 3)]));
}

#[test]
fn what_a_node_tells_replaces_what_it_told() {
    let mut occupancy = Occupancy::default();
    occupancy.apply(told(node("a", 1), &[("x", 2)]), 10);
    occupancy.apply(told(node("a", 1), &[("y", 1)]), 20);
    let newest = BTreeMap::from([(backend("y"), 1)]);
    assert_eq!(occupancy.running(0, |_| true), newest);
}

/// A node that died takes no places.
#[test]
fn places_of_a_silent_node_do_not_count() {
    let mut occupancy = Occupancy::default();
    occupancy.apply(told(node("a", 1), &[("x", 2)]), 10);
    assert!(occupancy.running(11, |_| true).is_empty());
}

#[test]
fn a_record_is_read_as_it_was_written() {
    let record = told(node("a", 1), &[("x", 2)]);
    assert_eq!(OccupancyRecord::decode(&record.encode()), Ok(record));
    assert!(OccupancyRecord::decode(b"\xff").is_err());
}
