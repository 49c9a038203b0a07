//! Retention, size limits and pages of the in-memory store.

use std::time::Duration;

use bytes::Bytes;
use havenstage_gateway::edge::{
    Directory, DirectoryEntry, DirectoryKind, LogError, LogStream, SharedLog, StreamPartition,
};
use havenstage_memory_store::{InvalidStoreSetting, MemoryStore, MemoryStoreSettings};
use havenstage_rollout::backend::BackendChange;
use havenstage_rollout::ids::{BackendName, ZoneName};

const RETENTION: Duration = Duration::from_secs(10);
const CHANGES_MAX_BYTES: u32 = 256 * 1024;

const fn batches(partition: u32) -> StreamPartition {
    StreamPartition {
        stream: LogStream::Batches(0),
        partition,
    }
}

fn store(change: impl FnOnce(&mut MemoryStoreSettings)) -> MemoryStore {
    let mut settings = MemoryStoreSettings {
        retention: RETENTION,
        ..MemoryStoreSettings::default()
    };
    change(&mut settings);
    MemoryStore::new(settings).unwrap()
}

fn bytes(length: usize) -> Bytes {
    Bytes::from(vec![0; length])
}

#[tokio::test(start_paused = true)]
async fn expired_records_are_dropped_in_all_partitions() {
    let store = store(|_| {});
    store
        .append_now(batches(0), vec![bytes(1), bytes(1)])
        .unwrap();
    tokio::time::advance(RETENTION / 2).await;
    store.append_now(batches(0), vec![bytes(1)]).unwrap();
    tokio::time::advance(RETENTION / 2 + Duration::from_millis(1)).await;
    store.append_now(batches(1), vec![bytes(1)]).unwrap();
    let error = store.read(batches(0), 0, Duration::ZERO).await.unwrap_err();
    assert_eq!(error, LogError::HistoryDropped { first: 2 });
    let kept = store.read(batches(0), 2, Duration::ZERO).await.unwrap();
    assert_eq!((kept.records.len(), kept.end), (1, 3));
}

#[tokio::test(start_paused = true)]
async fn a_full_store_rejects_whole_appends_until_expired_records_are_dropped() {
    let store = store(|settings| settings.most_bytes = 10);
    store.append_now(batches(0), vec![bytes(8)]).unwrap();
    let rejected = store.append_now(batches(1), vec![bytes(1), bytes(2)]);
    let error = rejected.unwrap_err();
    assert!(
        error.is_not_done() && error == LogError::Refused(507),
        "{error}"
    );
    let page = store.read(batches(1), 0, Duration::ZERO).await.unwrap();
    assert_eq!(page.end, 0, "none of the records was appended");
    tokio::time::advance(RETENTION + Duration::from_millis(1)).await;
    store
        .append_now(batches(1), vec![bytes(1), bytes(2)])
        .unwrap();
}

#[tokio::test]
async fn a_read_returns_a_bounded_page_with_at_least_one_record() {
    let store = store(|settings| settings.read_page_bytes = 10);
    let records = vec![bytes(20), bytes(4), bytes(6), bytes(1)];
    store.append_now(batches(0), records).unwrap();
    let read = async |from| {
        let page = store.read(batches(0), from, Duration::ZERO).await.unwrap();
        page.records.len()
    };
    assert_eq!([read(0).await, read(1).await, read(3).await], [1, 2, 1]);
}

fn removal(name: &str) -> DirectoryEntry {
    DirectoryEntry::Backend(BackendChange {
        name: BackendName::from(name),
        record: None,
    })
}

/// A reader that has read nothing for longer than the retention must list the directory again: it may have missed a
/// removal and would keep the removed back end.
#[tokio::test(start_paused = true)]
async fn a_discarded_removal_is_reported_as_dropped_history() {
    let store = store(|_| {});
    store.write_entry(DirectoryKind::Backends, removal("a"));
    tokio::time::advance(RETENTION + Duration::from_millis(1)).await;
    store.write_entry(DirectoryKind::Backends, removal("b"));
    let changes = async |from| {
        let kind = DirectoryKind::Backends;
        let page = store.changes(kind, from, Duration::ZERO, CHANGES_MAX_BYTES);
        page.await.map(|page| (page.entries.len(), page.next))
    };
    let dropped = LogError::HistoryDropped { first: 1 };
    assert_eq!(changes(0).await, Err(dropped));
    assert_eq!(changes(1).await, Ok((1, 2)));
}

#[tokio::test]
async fn changes_of_the_operators_directory_contain_the_newest_entry_of_each_name() {
    let store = store(|_| {});
    let evacuation = |zone: &str, is_requested| DirectoryEntry::Evacuation {
        zone: ZoneName::from(zone),
        is_requested,
    };
    let entries = [
        evacuation("a", true),
        evacuation("b", true),
        evacuation("a", false),
    ];
    let offsets = entries.map(|entry| store.write_entry(DirectoryKind::Operators, entry));
    assert_eq!(offsets, [0, 1, 2]);
    let kind = DirectoryKind::Operators;
    let page = store.changes(kind, 0, Duration::ZERO, CHANGES_MAX_BYTES);
    let page = page.await.unwrap();
    assert_eq!((page.next, page.remaining), (3, 0));
    let evacuations: Vec<(&str, bool)> = page
        .entries
        .iter()
        .filter_map(|entry| match entry {
            DirectoryEntry::Evacuation { zone, is_requested } => {
                Some((zone.as_str(), *is_requested))
            }
            _ => None,
        })
        .collect();
    assert_eq!(evacuations, [("b", true), ("a", false)]);
}

#[test]
fn zero_settings_are_rejected_by_name() {
    let rejected = |settings: MemoryStoreSettings| {
        let InvalidStoreSetting { key, .. } = MemoryStore::new(settings).unwrap_err();
        key
    };
    let default = MemoryStoreSettings::default;
    let cases = [
        MemoryStoreSettings {
            retention: Duration::ZERO,
            ..default()
        },
        MemoryStoreSettings {
            read_page_bytes: 0,
            ..default()
        },
        MemoryStoreSettings {
            listing_page_entries: 0,
            ..default()
        },
        MemoryStoreSettings {
            most_bytes: 0,
            ..default()
        },
    ];
    let keys = [
        "retention",
        "read_page_bytes",
        "listing_page_entries",
        "most_bytes",
    ];
    assert_eq!(cases.map(rejected), keys);
}
