//! Tests how the occupied slots of back ends follow from the reports of the nodes.

mod support;

use std::collections::BTreeMap;

use havenstage_rollout::ids::BackendId;
use havenstage_rollout::ids::NodeId;
use havenstage_rollout::occupancy::{BackendDetail, Occupancy, OccupancyRecord};
use havenstage_rollout::stored::Stored;
use serde::{Deserialize, Serialize};
use support::{backend, node};

fn record_of(node: NodeId, running: &[(&str, u32)]) -> OccupancyRecord {
    let running = running.iter().map(|(id, count)| (backend(id), *count));
    OccupancyRecord {
        node,
        running: running.collect(),
        details: BTreeMap::new(),
    }
}

#[test]
fn running_items_of_all_nodes_add_up() {
    let mut occupancy = Occupancy::default();
    occupancy.apply(record_of(node("a", 1), &[("x", 2), ("y", 1)]), 10);
    occupancy.apply(record_of(node("b", 1), &[("x", 3)]), 20);
    let all = BTreeMap::from([(backend("x"), 5), (backend("y"), 1)]);
    assert_eq!(occupancy.running(0, |_| true), all);
    let of_others = occupancy.running(0, |reporter| *reporter != node("a", 1));
    assert_eq!(of_others, BTreeMap::from([(backend("x"), 3)]));
}

#[test]
fn a_report_replaces_the_earlier_one_of_its_node() {
    let mut occupancy = Occupancy::default();
    occupancy.apply(record_of(node("a", 1), &[("x", 2)]), 10);
    occupancy.apply(record_of(node("a", 1), &[("y", 1)]), 20);
    let newest = BTreeMap::from([(backend("y"), 1)]);
    assert_eq!(occupancy.running(0, |_| true), newest);
}

/// A node that died occupies no slots.
#[test]
fn items_of_a_silent_node_do_not_count() {
    let mut occupancy = Occupancy::default();
    occupancy.apply(record_of(node("a", 1), &[("x", 2)]), 10);
    assert!(occupancy.running(11, |_| true).is_empty());
}

#[test]
fn a_record_round_trips() {
    let record = record_of(node("a", 1), &[("x", 2)]);
    assert_eq!(OccupancyRecord::decode(&record.encode()), Ok(record));
    assert!(OccupancyRecord::decode(b"\xff").is_err());
}

/// The record as builds without `details` write and read it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct PlainRecord {
    node: NodeId,
    running: BTreeMap<BackendId, u32>,
}

#[test]
fn builds_with_and_without_details_read_each_others_records() {
    let plain = PlainRecord {
        node: node("a", 1),
        running: BTreeMap::from([(backend("x"), 2)]),
    };
    let bytes = postcard::to_stdvec(&plain).expect("plain data");
    let read = OccupancyRecord::decode(&bytes).expect("a record without details");
    assert_eq!(read, record_of(node("a", 1), &[("x", 2)]));

    let mut detailed = record_of(node("a", 1), &[("x", 2)]);
    let detail = BackendDetail {
        expected_tokens: 9_000,
        event_gap_us: Some(46_400),
    };
    detailed.details.insert(backend("x"), detail);
    let bytes = detailed.encode();
    assert_eq!(postcard::from_bytes(&bytes), Ok(plain));
    assert_eq!(OccupancyRecord::decode(&bytes), Ok(detailed));
}

#[test]
fn details_come_only_from_nodes_that_reported_recently() {
    let mut occupancy = Occupancy::default();
    for (name, at, tokens) in [("old", 10, 1), ("new", 50, 2)] {
        let mut record = record_of(node(name, 1), &[]);
        let detail = BackendDetail {
            expected_tokens: tokens,
            event_gap_us: None,
        };
        record.details.insert(backend("x"), detail);
        occupancy.apply(record, at);
    }
    let recent: Vec<u32> = occupancy
        .details(20, |_| true)
        .map(|(_, detail)| detail.expected_tokens)
        .collect();
    assert_eq!(recent, [2]);
}
