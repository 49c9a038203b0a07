//! The list of back ends, whose processes may start again under the name that they had.

use std::collections::BTreeMap;

use havenstage_rollout::backend::{BackendChange, BackendList, BackendRecord};
use havenstage_rollout::ids::{BackendId, BackendName, PoolName, ZoneName};

fn record(started_at: Option<u64>) -> BackendRecord {
    BackendRecord {
        pool: PoolName::from("pool"),
        address: "127.0.0.1:8000".parse().unwrap(),
        zone: "zone".to_owned(),
        slots: 4,
        draining: false,
        cold_left_ms: 0,
        models: BTreeMap::new(),
        started_at,
    }
}

fn entry(name: &str, record: Option<BackendRecord>) -> BackendChange {
    BackendChange {
        name: BackendName::from(name),
        record,
    }
}

fn id(text: &str) -> BackendId {
    BackendId::from(text)
}

fn listed(list: &BackendList) -> Vec<String> {
    let pool = PoolName::from("pool");
    let ready = list.ready_in(&pool);
    ready.map(|(id, _)| id.to_string()).collect()
}

#[test]
fn a_life_has_the_back_ends_name_and_its_own_start() {
    let life = BackendId::from_name_and_start(&BackendName::from("b1"), Some(170));
    assert_eq!((life.name(), life.started_at()), ("b1", Some(170)));
    let unknown = BackendId::from_name_and_start(&BackendName::from("b1"), None);
    assert_eq!((unknown.name(), unknown.started_at()), ("b1", None));
    let marked = id("b@1@x");
    assert_eq!((marked.name(), marked.started_at()), ("b@1@x", None));
}

#[test]
fn the_next_life_takes_the_place_of_the_one_before() {
    let mut list = BackendList::default();
    assert!(!list.apply(entry("b1", Some(record(Some(100))))));
    assert!(list.apply(entry("b1", Some(record(Some(200))))));
    assert_eq!(listed(&list), ["b1@200"]);
    assert!(list.has_crashed(&id("b1@100")));
    assert!(!list.has_crashed(&id("b1@200")));
    assert!(list.apply(entry("b1", None)));
    assert!(list.is_empty());
}

#[test]
fn a_life_that_said_it_leaves_has_not_crashed() {
    let mut list = BackendList::default();
    let leaving = BackendRecord {
        draining: true,
        ..record(Some(100))
    };
    list.apply(entry("b1", Some(leaving)));
    list.apply(entry("b1", Some(record(Some(200)))));
    assert!(!list.has_crashed(&id("b1@100")));
}

/// The last write of a process that has ended may be done after the first one of the next.
#[test]
fn a_late_entry_of_an_earlier_life_changes_nothing() {
    let mut list = BackendList::default();
    list.apply(entry("b1", Some(record(Some(200)))));
    assert!(!list.apply(entry("b1", Some(record(Some(100))))));
    assert_eq!(listed(&list), ["b1@200"]);
}

#[test]
fn entries_without_a_start_are_one_life() {
    let mut list = BackendList::default();
    list.apply(entry("b1", Some(record(None))));
    assert!(!list.apply(entry("b1", Some(record(None)))));
    assert_eq!(listed(&list), ["b1"]);
}

#[test]
fn a_new_listing_replaces_all() {
    let mut list = BackendList::default();
    for name in ["b1", "b2"] {
        list.apply(entry(name, Some(record(Some(100)))));
    }
    let listing = [("b2", 300), ("b3", 100)];
    let listing = listing.map(|(name, at)| (BackendName::from(name), record(Some(at))));
    list.replace(listing.into());
    assert_eq!(listed(&list), ["b2@300", "b3@100"]);
    assert!(list.has_crashed(&id("b2@100")));
    assert!(!list.has_crashed(&id("b1@100")));
}

#[test]
fn back_ends_of_an_evacuated_zone_get_nothing_until_it_is_taken_back() {
    let mut list = BackendList::default();
    list.apply(entry("b1", Some(record(None))));
    let other = BackendRecord {
        zone: "other".to_owned(),
        ..record(None)
    };
    list.apply(entry("b2", Some(other)));
    let zone = ZoneName::from("zone");
    assert!(list.set_evacuated(&zone, true));
    assert!(!list.set_evacuated(&zone, true), "known already");
    assert_eq!(listed(&list), ["b2"]);
    assert!(!list.can_accept_requests(&id("b1")) && list.can_accept_requests(&id("b2")));
    list.apply(entry("b3", Some(record(None))));
    assert_eq!(listed(&list), ["b2"], "one that starts there meanwhile");
    assert_eq!(list.serving_in(&PoolName::from("pool")).count(), 3);
    assert!(list.set_evacuated(&zone, false));
    assert_eq!(listed(&list), ["b1", "b2", "b3"]);
}
