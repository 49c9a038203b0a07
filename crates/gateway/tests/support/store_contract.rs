//! Contract tests: what the gateway requires of every store behind its traits. They run against each driver.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use havenstage_gateway::edge::{
    CheckpointStore, Directory, DirectoryEntry, DirectoryKind, LogError, LogStream, SharedLog,
    StreamPartition,
};
use havenstage_rollout::ids::BackendName;

/// Maximum wait of a read in these tests.
const WAIT: Duration = Duration::from_millis(200);
/// More bytes of changes than any of these tests writes.
const ALL_CHANGES: u32 = 256 * 1024;
/// Number of reads within which everything written must have been returned.
const MAX_READS: usize = 50;

const BATCHES: StreamPartition = partition(LogStream::Batches(7), 3);

const fn partition(stream: LogStream, partition: u32) -> StreamPartition {
    StreamPartition { stream, partition }
}

/// A driver with its own store, whose listings have one entry per page.
pub struct StoreUnderTest {
    pub log: Arc<dyn SharedLog>,
    pub checkpoints: Arc<dyn CheckpointStore>,
    pub directory: Arc<dyn Directory>,
    pub controls: Box<dyn StoreControls>,
}

/// Changes that other writers make to the store.
pub trait StoreControls: Send + Sync {
    /// A back end writes its entry.
    fn write_backend(&self, name: &str, is_draining: bool);

    /// A back end's entry is removed.
    fn remove_backend(&self, name: &str);

    /// Drops the records before an offset, as if they were past their retention.
    fn drop_before(&self, partition: StreamPartition, offset: u64);
}

fn records(texts: &[&'static str]) -> Vec<Bytes> {
    texts
        .iter()
        .map(|text| Bytes::from_static(text.as_bytes()))
        .collect()
}

impl StoreUnderTest {
    async fn append(&self, at: StreamPartition, texts: &[&'static str]) -> (u64, u64) {
        let appended = self.log.append(at, records(texts)).await.unwrap();
        (appended.offset, appended.end)
    }

    async fn read(&self, at: StreamPartition, from: u64) -> (u64, Vec<Bytes>) {
        let page = self.log.read(at, from, Duration::ZERO).await.unwrap();
        assert_eq!(page.from, from);
        (page.end, page.records)
    }

    /// The newest state of each name in the changes from an offset on, and the offset after them.
    async fn changes(&self, mut from: u64, max_bytes: u32) -> (BTreeMap<String, Listed>, u64) {
        let mut changed = BTreeMap::new();
        for _ in 0..MAX_READS {
            let page = self
                .directory
                .changes(DirectoryKind::Backends, from, Duration::ZERO, max_bytes)
                .await
                .unwrap();
            changed.extend(page.entries.iter().map(backend));
            from = page.next;
            if page.remaining == 0 {
                return (changed, from);
            }
            assert!(!page.entries.is_empty(), "a page brings at least one entry");
        }
        panic!("the changes did not end after {MAX_READS} reads");
    }

    /// All pages of a listing, and the end that the first one names.
    async fn listing(&self) -> (BTreeMap<String, Listed>, u64) {
        let mut listed = BTreeMap::new();
        let (mut after, mut first_end) = (None, None);
        for _ in 0..MAX_READS {
            let page = self
                .directory
                .list(DirectoryKind::Backends, after.as_deref())
                .await
                .unwrap();
            let end = *first_end.get_or_insert(page.end);
            listed.extend(page.entries.iter().map(backend));
            after = page.more;
            if after.is_none() {
                listed.retain(|_, state| *state != Listed::Removed);
                return (listed, end);
            }
        }
        panic!("the listing did not end after {MAX_READS} pages");
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listed {
    Ready,
    Draining,
    Removed,
}

fn backend(entry: &DirectoryEntry) -> (String, Listed) {
    let DirectoryEntry::Backend(change) = entry else {
        panic!("not a back end: {entry:?}");
    };
    let state = match &change.record {
        Some(record) if record.draining => Listed::Draining,
        Some(_) => Listed::Ready,
        None => Listed::Removed,
    };
    (name(&change.name), state)
}

fn name(name: &BackendName) -> String {
    name.as_str().to_owned()
}

pub async fn records_are_read_back_in_order(store: StoreUnderTest) {
    assert_eq!(store.append(BATCHES, &["a", "bc"]).await, (0, 2));
    assert_eq!(store.append(BATCHES, &["d"]).await, (2, 3));
    assert_eq!(
        store.read(BATCHES, 0).await,
        (3, records(&["a", "bc", "d"]))
    );
    assert_eq!(store.read(BATCHES, 1).await, (3, records(&["bc", "d"])));
    assert_eq!(store.read(BATCHES, 3).await, (3, Vec::new()));
}

pub async fn a_repeated_append_is_stored_twice(store: StoreUnderTest) {
    store.append(BATCHES, &["a"]).await;
    assert_eq!(store.append(BATCHES, &["a"]).await, (1, 2));
    assert_eq!(store.read(BATCHES, 0).await, (2, records(&["a", "a"])));
}

pub async fn each_partition_has_its_own_offsets(store: StoreUnderTest) {
    let others = [
        partition(LogStream::Batches(7), 2),
        partition(LogStream::Batches(8), 3),
        partition(LogStream::Control, 0),
        partition(LogStream::Occupancy, 0),
        partition(LogStream::Usage, 3),
        partition(LogStream::BackendDigest, 0),
    ];
    store.append(BATCHES, &["a", "b"]).await;
    for other in others {
        assert_eq!(store.read(other, 0).await, (0, Vec::new()), "{other}");
        assert_eq!(store.append(other, &["c"]).await, (0, 1), "{other}");
    }
    assert_eq!(store.read(BATCHES, 0).await, (2, records(&["a", "b"])));
}

pub async fn a_waiting_reader_receives_new_records(store: StoreUnderTest) {
    store.append(BATCHES, &["a"]).await;
    let log = store.log.clone();
    let reader = tokio::spawn(async move {
        for _ in 0..MAX_READS {
            let page = log.read(BATCHES, 1, WAIT).await.unwrap();
            if !page.records.is_empty() {
                return page.records;
            }
        }
        Vec::new()
    });
    store.append(BATCHES, &["b"]).await;
    assert_eq!(reader.await.unwrap(), records(&["b"]));
}

pub async fn dropped_records_are_reported(store: StoreUnderTest) {
    store.append(BATCHES, &["a", "b", "c"]).await;
    store.controls.drop_before(BATCHES, 2);
    let error = store.log.read(BATCHES, 0, Duration::ZERO).await;
    assert_eq!(
        error.unwrap_err(),
        LogError::HistoryDropped { first: 2 },
        "a reader must not take the remaining records for the whole history"
    );
}

pub async fn the_newest_checkpoint_of_a_name_is_kept(store: StoreUnderTest) {
    let checkpoints = &store.checkpoints;
    assert_eq!(checkpoints.load("control").await, Ok(None));
    for (name, value) in [("control", "1"), ("other", "x"), ("control", "2")] {
        let value = Bytes::from_static(value.as_bytes());
        checkpoints.save(name, value).await.unwrap();
    }
    let load = |name: &'static str| async move { checkpoints.load(name).await.unwrap().unwrap() };
    assert_eq!(load("control").await, "2");
    assert_eq!(load("other").await, "x");
}

pub async fn the_newest_entry_of_each_name_is_listed(store: StoreUnderTest) {
    for name in ["i-1", "i-2", "i-3"] {
        store.controls.write_backend(name, false);
    }
    store.controls.write_backend("i-1", true);
    store.controls.remove_backend("i-2");
    let (listed, _) = store.listing().await;
    let expected = [("i-1", Listed::Draining), ("i-3", Listed::Ready)];
    assert_eq!(listed, expected.map(|(n, s)| (n.to_owned(), s)).into());
}

/// The pages of a listing are no snapshot: what changes between two of them is in the changes after the first page.
pub async fn listing_and_changes_together_miss_nothing(store: StoreUnderTest) {
    for name in ["i-1", "i-2", "i-3"] {
        store.controls.write_backend(name, false);
    }
    let first = store
        .directory
        .list(DirectoryKind::Backends, None)
        .await
        .unwrap();
    assert_eq!(first.entries.len(), 1, "one entry a page");
    assert!(first.more.is_some());
    store.controls.remove_backend("i-1");
    store.controls.write_backend("i-4", false);
    store.controls.write_backend("i-3", true);
    let (changes, _) = store.changes(first.end, ALL_CHANGES).await;
    let expected = [
        ("i-1", Listed::Removed),
        ("i-3", Listed::Draining),
        ("i-4", Listed::Ready),
    ];
    assert_eq!(changes, expected.map(|(n, s)| (n.to_owned(), s)).into());
}

pub async fn changes_are_returned_in_pages(store: StoreUnderTest) {
    let names: BTreeSet<String> = (0..9).map(|at| format!("i-{at}")).collect();
    for name in &names {
        store.controls.write_backend(name, false);
    }
    let (changed, next) = store.changes(0, 1).await;
    assert_eq!(changed.into_keys().collect::<BTreeSet<_>>(), names);
    store.controls.write_backend("i-0", true);
    let (changed, _) = store.changes(next, 1).await;
    assert_eq!(changed, [("i-0".to_owned(), Listed::Draining)].into());
}

/// Generates a test for each part of the contract; the expression starts the store under test.
#[macro_export]
macro_rules! store_contract_tests {
    ($start:expr) => {
        $crate::store_contract_tests!(
            $start,
            records_are_read_back_in_order,
            a_repeated_append_is_stored_twice,
            each_partition_has_its_own_offsets,
            a_waiting_reader_receives_new_records,
            dropped_records_are_reported,
            the_newest_checkpoint_of_a_name_is_kept,
            the_newest_entry_of_each_name_is_listed,
            listing_and_changes_together_miss_nothing,
            changes_are_returned_in_pages,
        );
    };
    ($start:expr, $($name:ident,)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                store_contract::$name($start.await).await;
            }
        )+
    };
}
