//! An in-memory shared log and directories, with faults that are set for each node.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_gateway::edge::{
    Appended, CheckpointStore, Directory, DirectoryEntry, DirectoryKind, DirectoryPage,
    ListingPage, LogError, LogPage, LogStream, SharedLog, StreamPartition,
};
use havenstage_memory_store::{MemoryStore, MemoryStoreSettings};
use havenstage_rollout::checkpoint::ControlCheckpoint;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::framing::Joiner;
use havenstage_rollout::stored::Stored;

pub use super::log_faults::LogFaults;

/// The part that all nodes share: a store in memory, and all records that were ever appended to it.
pub struct MemoryLog {
    store: MemoryStore,
    history: Mutex<Vec<AppendedRecord>>,
}

/// A record, its partition, and when it was appended.
struct AppendedRecord {
    partition: StreamPartition,
    record: Bytes,
    at: Instant,
}

/// Longer than any test runs: records are dropped only on a test's request.
const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// One entry per page, so that listings span several pages; reads return a whole partition in one answer.
fn store_settings() -> MemoryStoreSettings {
    MemoryStoreSettings {
        retention: RETENTION,
        read_page_bytes: usize::MAX,
        listing_page_entries: 1,
        most_bytes: usize::MAX,
    }
}

/// Whether an append contains an order.
fn is_order(partition: StreamPartition, records: &[Bytes]) -> bool {
    contains_control_record(partition, records, |record| {
        matches!(record, ControlRecord::Ordered { .. })
    })
}

/// Whether an append reports the end of a back end.
fn is_end(partition: StreamPartition, records: &[Bytes]) -> bool {
    contains_control_record(partition, records, |record| {
        matches!(record, ControlRecord::BackendEnded { .. })
    })
}

/// Whether an append writes a record that matches a predicate to the control stream.
fn contains_control_record(
    partition: StreamPartition,
    records: &[Bytes],
    predicate: impl Fn(&ControlRecord) -> bool,
) -> bool {
    let mut joiner = Joiner::default();
    let values = records.iter().filter_map(|r| joiner.push(r.clone()));
    let mut values = values.filter_map(|value| ControlRecord::decode(&value).ok());
    partition.stream == LogStream::Control && values.any(|record| predicate(&record))
}

/// One node's access to the log, with its faults and counts.
pub struct NodeLog {
    shared: Arc<MemoryLog>,
    faults: Mutex<LogFaults>,
    listings: AtomicU64,
    backend_listings: AtomicU64,
    reads: AtomicU64,
    admission_checks: AtomicU64,
    reads_of_changes: AtomicU64,
    bytes_read: AtomicU64,
}

/// Time that a call takes that is answered immediately.
const IMMEDIATE_DELAY: Duration = Duration::from_millis(1);

/// Time that a slow append takes.
const SLOW_APPEND_DELAY: Duration = Duration::from_millis(120);

/// Time after which a call without an answer fails.
const NO_ANSWER_DELAY: Duration = Duration::from_millis(300);
/// Time after which a call on a silent connection fails, as with the users' store.
const SILENT_CONNECTION_DELAY: Duration = Duration::from_millis(1_000);

impl MemoryLog {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            store: MemoryStore::new(store_settings()).unwrap(),
            history: Mutex::default(),
        })
    }

    pub fn write_operators(&self, entry: DirectoryEntry) {
        self.store.write_entry(DirectoryKind::Operators, entry);
    }

    pub fn write_backends(&self, entry: DirectoryEntry) {
        self.store.write_entry(DirectoryKind::Backends, entry);
    }

    /// Maps each record ever appended to a partition, in the order of offsets.
    fn map_partition<T>(
        &self,
        partition: StreamPartition,
        project: impl Fn(&AppendedRecord) -> T,
    ) -> Vec<T> {
        let history = self.history.lock().unwrap();
        let records = history
            .iter()
            .filter(|appended| appended.partition == partition);
        records.map(project).collect()
    }

    pub fn records(&self, partition: StreamPartition) -> Vec<Bytes> {
        self.map_partition(partition, |appended| appended.record.clone())
    }

    /// When each record of a partition was appended.
    pub fn times(&self, partition: StreamPartition) -> Vec<Instant> {
        self.map_partition(partition, |appended| appended.at)
    }

    /// Bytes of all records ever appended to any partition.
    pub fn bytes(&self) -> u64 {
        let history = self.history.lock().unwrap();
        history
            .iter()
            .map(|appended| appended.record.len() as u64)
            .sum()
    }

    /// Bytes of all records ever appended to a partition.
    pub fn bytes_of(&self, partition: StreamPartition) -> u64 {
        let lengths = self.map_partition(partition, |appended| appended.record.len() as u64);
        lengths.into_iter().sum()
    }

    /// Offset up to which the newest checkpoint covers the control stream; 0 if there is none.
    pub fn checkpoint_offset(&self) -> u64 {
        let checkpoint = self.store.checkpoint("control");
        checkpoint.map_or(0, |value| ControlCheckpoint::decode(&value).unwrap().next)
    }

    /// Whether the store holds a checkpoint of that name.
    pub fn has_checkpoint(&self, name: &str) -> bool {
        self.store.checkpoint(name).is_some()
    }

    /// Drops all records that a partition holds now.
    pub fn drop_history(&self, partition: StreamPartition) {
        let end = self.records(partition).len() as u64;
        self.store.drop_before(partition, end);
    }

    /// All records ever appended, in the order of their appends.
    pub fn history(&self) -> Vec<(StreamPartition, Bytes)> {
        let history = self.history.lock().unwrap();
        let records = history.iter();
        records
            .map(|appended| (appended.partition, appended.record.clone()))
            .collect()
    }

    fn append_now(
        &self,
        partition: StreamPartition,
        records: Vec<Bytes>,
    ) -> Result<Appended, LogError> {
        // Locked during the append, so that the history has the order of the store.
        let mut history = self.history.lock().unwrap();
        let appended = self.store.append_now(partition, records.clone())?;
        let at = Instant::now();
        history.extend(records.into_iter().map(|record| AppendedRecord {
            partition,
            record,
            at,
        }));
        Ok(appended)
    }
}

impl NodeLog {
    pub fn new(shared: &Arc<MemoryLog>) -> Arc<Self> {
        Self::with_faults(shared, LogFaults::default())
    }

    pub fn with_faults(shared: &Arc<MemoryLog>, faults: LogFaults) -> Arc<Self> {
        Arc::new(Self {
            shared: shared.clone(),
            faults: Mutex::new(faults),
            listings: AtomicU64::new(0),
            backend_listings: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            admission_checks: AtomicU64::new(0),
            reads_of_changes: AtomicU64::new(0),
            bytes_read: AtomicU64::new(0),
        })
    }

    fn throttles_next_listing(&self) -> bool {
        self.faults().throttles_listings
            && self
                .listings
                .fetch_add(1, Ordering::Relaxed)
                .is_multiple_of(2)
    }

    /// Number of calls by which the node has listed pages of the back ends.
    pub fn backend_listings(&self) -> u64 {
        self.backend_listings.load(Ordering::Relaxed)
    }

    /// Number of calls by which the node has read partitions.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Number of calls by which the node has read changes of directories.
    pub fn reads_of_changes(&self) -> u64 {
        self.reads_of_changes.load(Ordering::Relaxed)
    }

    /// Bytes of records that the node has read from partitions.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read.load(Ordering::Relaxed)
    }

    pub fn set_faults(&self, faults: LogFaults) {
        *self.faults.lock().unwrap() = faults;
    }

    fn faults(&self) -> LogFaults {
        *self.faults.lock().unwrap()
    }

    async fn check_reachable(&self) -> Result<(), LogError> {
        if self.faults().is_cut {
            tokio::time::sleep(Duration::from_millis(20)).await;
            return Err(LogError::Unreachable);
        }
        Ok(())
    }

    async fn check_readable(&self) -> Result<(), LogError> {
        self.check_reachable().await?;
        if self.faults().reads_hang {
            tokio::time::sleep(NO_ANSWER_DELAY).await;
            return Err(LogError::Unknown);
        }
        if self.faults().refuses_reads {
            return Err(LogError::Refused(503));
        }
        if self.faults().throttles_reads {
            return Err(LogError::Refused(429));
        }
        Ok(())
    }

    /// Throttles the configured share of reads, spread evenly, and leaves the first ones without an answer.
    async fn admit_read(&self) -> Result<(), LogError> {
        let number = self.admission_checks.fetch_add(1, Ordering::Relaxed);
        if number < self.faults().silent_reads {
            tokio::time::sleep(SILENT_CONNECTION_DELAY).await;
            return Err(LogError::Unknown);
        }
        // 3 has no common factor with 10, so ten consecutive calls yield each remainder once.
        if number * 3 % 10 < self.faults().throttled_reads_of_ten {
            return Err(LogError::Refused(429));
        }
        Ok(())
    }
}

/// The first records, up to `max_bytes` but at least one; all records if `max_bytes` is 0.
fn first_records(records: Vec<Bytes>, max_bytes: usize) -> Vec<Bytes> {
    if max_bytes == 0 {
        return records;
    }
    let mut bytes = 0;
    let fits = |record: &Bytes| {
        let is_first = bytes == 0;
        bytes += record.len();
        is_first || bytes <= max_bytes
    };
    records.into_iter().take_while(fits).collect()
}

#[async_trait]
impl SharedLog for NodeLog {
    async fn append(
        &self,
        partition: StreamPartition,
        records: Vec<Bytes>,
    ) -> Result<Appended, LogError> {
        self.check_reachable().await?;
        let refuses_end = self.faults().refuses_ends && is_end(partition, &records);
        if self.faults().refuses_appends || refuses_end {
            return Err(LogError::Refused(503));
        }
        let is_batch = matches!(partition.stream, LogStream::Batches(_));
        if self.faults().slow_appends || (is_batch && self.faults().slow_batch_appends) {
            tokio::time::sleep(SLOW_APPEND_DELAY).await;
        }
        let answer_delay = match is_order(partition, &records) {
            true => self.faults().order_answer_delay,
            false => Duration::ZERO,
        };
        let appended = self.shared.append_now(partition, records)?;
        tokio::time::sleep(answer_delay).await;
        if self.faults().loses_answers {
            tokio::time::sleep(NO_ANSWER_DELAY).await;
            return Err(LogError::Unknown);
        }
        Ok(appended)
    }

    async fn read(
        &self,
        partition: StreamPartition,
        from: u64,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.check_readable().await?;
        self.admit_read().await?;
        if self.faults().reports_kept_as_dropped {
            tokio::time::sleep(IMMEDIATE_DELAY).await;
            return Err(LogError::HistoryDropped { first: from });
        }
        let read = self.shared.store.read(partition, from, wait).await;
        // A fault that was set while the call waited applies to its answer too.
        self.check_readable().await?;
        let mut page = read?;
        page.records = first_records(page.records, self.faults().page_bytes);
        tokio::time::sleep(self.faults().read_delay).await;
        let bytes: usize = page.records.iter().map(Bytes::len).sum();
        self.bytes_read.fetch_add(bytes as u64, Ordering::Relaxed);
        Ok(page)
    }
}

#[async_trait]
impl CheckpointStore for NodeLog {
    async fn save(&self, name: &str, value: Bytes) -> Result<(), LogError> {
        self.check_reachable().await?;
        self.shared.store.save(name, value).await
    }

    async fn load(&self, name: &str) -> Result<Option<Bytes>, LogError> {
        self.check_readable().await?;
        self.admit_read().await?;
        self.shared.store.load(name).await
    }
}

#[async_trait]
impl Directory for NodeLog {
    async fn list(
        &self,
        kind: DirectoryKind,
        after: Option<&str>,
    ) -> Result<ListingPage, LogError> {
        if kind == DirectoryKind::Backends {
            self.backend_listings.fetch_add(1, Ordering::Relaxed);
        }
        self.check_reachable().await?;
        let is_refused = kind == DirectoryKind::Backends && self.faults().refuses_backends;
        if is_refused || self.faults().refuses_listings || self.throttles_next_listing() {
            return Err(LogError::Refused(429));
        }
        self.shared.store.list(kind, after).await
    }

    async fn changes(
        &self,
        kind: DirectoryKind,
        from: u64,
        wait: Duration,
        max_bytes: u32,
    ) -> Result<DirectoryPage, LogError> {
        self.reads_of_changes.fetch_add(1, Ordering::Relaxed);
        self.check_reachable().await?;
        if kind == DirectoryKind::Backends && self.faults().refuses_backends {
            tokio::time::sleep(IMMEDIATE_DELAY).await;
            return Err(LogError::Refused(429));
        }
        if self.faults().drops_changes {
            tokio::time::sleep(IMMEDIATE_DELAY).await;
            return Err(LogError::HistoryDropped { first: from });
        }
        let changes = self.shared.store.changes(kind, from, wait, max_bytes).await;
        self.check_reachable().await?;
        changes
    }
}

/// Weight version of each model, as a back end reports them.
pub type Versions = BTreeMap<havenstage_rollout::ids::ModelName, u64>;
