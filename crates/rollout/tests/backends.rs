//! Tests of the list of back ends: incarnations (process starts) that replace each other under one name, crashes and
//! evacuated zones.

use std::collections::BTreeMap;

use havenstage_rollout::address_claims::REPLACED_MS;
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

/// The entry of a back end at an address of its own, which follows from the number at the end of its name.
fn change(name: &str, record: Option<BackendRecord>) -> BackendChange {
    BackendChange {
        name: BackendName::from(name),
        record: record.map(|record| at_own_address(name, record)),
    }
}

fn at_own_address(name: &str, mut record: BackendRecord) -> BackendRecord {
    let number = name.trim_start_matches(|c: char| !c.is_ascii_digit());
    let number: u16 = number.parse().expect("names end with a number");
    record.address.set_port(8_000 + number);
    record
}

/// The entry of a back end at the address of all of them.
fn change_at_one_address(name: &str) -> BackendChange {
    BackendChange {
        name: BackendName::from(name),
        record: Some(record(None)),
    }
}

fn id(text: &str) -> BackendId {
    BackendId::from(text)
}

fn ready_ids(list: &BackendList) -> Vec<String> {
    let pool = PoolName::from("pool");
    let ready = list.ready_in(&pool);
    ready.map(|(id, _)| id.to_string()).collect()
}

#[test]
fn an_id_holds_the_name_and_the_start_time() {
    let incarnation = BackendId::from_name_and_start(&BackendName::from("b1"), Some(170));
    assert_eq!(
        (incarnation.name(), incarnation.started_at()),
        ("b1", Some(170))
    );
    let unknown = BackendId::from_name_and_start(&BackendName::from("b1"), None);
    assert_eq!((unknown.name(), unknown.started_at()), ("b1", None));
    let marked = id("b@1@x");
    assert_eq!((marked.name(), marked.started_at()), ("b@1@x", None));
}

#[test]
fn a_new_incarnation_replaces_the_former_one() {
    let mut list = BackendList::default();
    assert!(!list.apply(change("b1", Some(record(Some(100))))));
    assert!(list.apply(change("b1", Some(record(Some(200))))));
    assert_eq!(ready_ids(&list), ["b1@200"]);
    assert!(list.has_crashed(&id("b1@100")));
    assert!(!list.has_crashed(&id("b1@200")));
    assert!(list.apply(change("b1", None)));
    assert!(list.is_empty());
}

#[test]
fn an_incarnation_that_was_draining_has_not_crashed() {
    let mut list = BackendList::default();
    let leaving = BackendRecord {
        draining: true,
        ..record(Some(100))
    };
    list.apply(change("b1", Some(leaving)));
    list.apply(change("b1", Some(record(Some(200)))));
    assert!(!list.has_crashed(&id("b1@100")));
}

/// The last write of a process that has exited may take effect after the first write of its successor. The list
/// must ignore it.
#[test]
fn a_delayed_entry_of_an_earlier_incarnation_is_ignored() {
    let mut list = BackendList::default();
    list.apply(change("b1", Some(record(Some(200)))));
    assert!(!list.apply(change("b1", Some(record(Some(100))))));
    assert_eq!(ready_ids(&list), ["b1@200"]);
}

#[test]
fn entries_without_a_start_time_are_one_incarnation() {
    let mut list = BackendList::default();
    list.apply(change("b1", Some(record(None))));
    assert!(!list.apply(change("b1", Some(record(None)))));
    assert_eq!(ready_ids(&list), ["b1"]);
}

#[test]
fn a_full_listing_replaces_the_list() {
    let mut list = BackendList::default();
    for name in ["b1", "b2"] {
        list.apply(change(name, Some(record(Some(100)))));
    }
    let listing = [("b2", 300), ("b3", 100)];
    let listing = listing.map(|(name, at)| {
        let record = at_own_address(name, record(Some(at)));
        (BackendName::from(name), record)
    });
    list.replace(listing.into());
    assert_eq!(ready_ids(&list), ["b2@300", "b3@100"]);
    assert!(list.has_crashed(&id("b2@100")));
    assert!(!list.has_crashed(&id("b1@100")));
}

#[test]
fn back_ends_of_an_evacuated_zone_get_no_work_until_the_evacuation_ends() {
    let mut list = BackendList::default();
    list.apply(change("b1", Some(record(None))));
    let other = BackendRecord {
        zone: "other".to_owned(),
        ..record(None)
    };
    list.apply(change("b2", Some(other)));
    let zone = ZoneName::from("zone");
    assert!(list.set_evacuated(&zone, true));
    assert!(
        !list.set_evacuated(&zone, true),
        "the zone is already evacuated"
    );
    assert_eq!(ready_ids(&list), ["b2"]);
    assert!(!list.can_accept_requests(&id("b1")) && list.can_accept_requests(&id("b2")));
    list.apply(change("b3", Some(record(None))));
    assert_eq!(
        ready_ids(&list),
        ["b2"],
        "a back end that starts in the zone during its evacuation"
    );
    assert_eq!(list.serving_in(&PoolName::from("pool")).count(), 3);
    assert!(list.set_evacuated(&zone, false));
    assert_eq!(ready_ids(&list), ["b1", "b2", "b3"]);
}

/// Guards against work for back ends that crashed: their entries stay listed while the next ones listen at their addresses.
#[test]
fn of_the_back_ends_at_one_address_only_the_one_listed_last_gets_work() {
    let mut list = BackendList::default();
    for name in ["b1", "b2", "b3"] {
        list.apply(change_at_one_address(name));
    }
    assert_eq!(ready_ids(&list), ["b3"]);
    assert!(!list.can_accept_requests(&id("b1")));
    // A late entry of one that is listed already changes nothing.
    list.apply(change_at_one_address("b1"));
    assert_eq!(ready_ids(&list), ["b3"]);
    list.apply(BackendChange {
        name: BackendName::from("b3"),
        record: None,
    });
    assert_eq!(ready_ids(&list), ["b2"]);
}

/// The one that was listed last may be the wrong one: an entry of an earlier one that is written late, after it expired.
#[test]
fn a_back_end_whose_requests_another_one_turns_away_gets_no_work_for_a_while() {
    let mut list = BackendList::default();
    for name in ["b1", "b2"] {
        list.apply(change_at_one_address(name));
    }
    assert!(list.record_replaced(&id("b2"), 1_000));
    assert!(!list.record_replaced(&id("b2"), 1_500), "it is no news");
    assert_eq!(ready_ids(&list), ["b1"]);
    list.expire_replaced(1_500 + REPLACED_MS - 1);
    assert_eq!(ready_ids(&list), ["b1"]);
    list.expire_replaced(1_500 + REPLACED_MS);
    assert_eq!(ready_ids(&list), ["b2"]);
    assert!(!list.record_replaced(&id("b9"), 9_000), "it is not listed");
}
