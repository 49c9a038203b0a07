//! A shared log and directories in memory, with faults for each node that uses them.

use std::collections::{BTreeMap, HashMap};
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
use havenstage_rollout::checkpoint::ControlCheckpoint;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::framing::Joiner;
use havenstage_rollout::stored::Stored;
use tokio::sync::Notify;

pub use super::log_faults::LogFaults;

/// What all nodes share.
#[derive(Default)]
pub struct MemoryLog {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Default)]
struct State {
    partitions: HashMap<StreamPartition, Vec<Bytes>>,
    /// When each record of a partition came to stand there.
    times: HashMap<StreamPartition, Vec<Instant>>,
    /// Offset of the oldest record kept; 0 where none is named.
    first_kept: HashMap<StreamPartition, u64>,
    history: Vec<(StreamPartition, Bytes)>,
    checkpoints: HashMap<String, Bytes>,
    operators: Vec<DirectoryEntry>,
    backends: Vec<DirectoryEntry>,
}

/// Whether an append writes an order down.
fn is_order(partition: StreamPartition, records: &[Bytes]) -> bool {
    holds(partition, records, |record| {
        matches!(record, ControlRecord::Ordered { .. })
    })
}

/// Whether an append tells of the end of a back end.
fn is_end(partition: StreamPartition, records: &[Bytes]) -> bool {
    holds(partition, records, |record| {
        matches!(record, ControlRecord::BackendEnded { .. })
    })
}

/// Whether an append writes such a record to the control stream.
fn holds(
    partition: StreamPartition,
    records: &[Bytes],
    is_such: impl Fn(&ControlRecord) -> bool,
) -> bool {
    let mut joiner = Joiner::default();
    let values = records.iter().filter_map(|r| joiner.push(r.clone()));
    let mut values = values.filter_map(|value| ControlRecord::decode(&value).ok());
    partition.stream == LogStream::Control && values.any(|record| is_such(&record))
}

/// One node's way to the log.
pub struct NodeLog {
    shared: Arc<MemoryLog>,
    faults: Mutex<LogFaults>,
    listings: AtomicU64,
    reads: AtomicU64,
    reads_let_in: AtomicU64,
    reads_of_changes: AtomicU64,
    bytes_read: AtomicU64,
}

/// What an entry of a directory counts for in bytes.
const ENTRY_BYTES: u32 = 400;
/// How long a call takes that is answered at once.
const AT_ONCE: Duration = Duration::from_millis(1);

/// How long a slow append takes.
const SLOW_APPEND: Duration = Duration::from_millis(120);

/// How long a call that gets no answer takes.
const NO_ANSWER: Duration = Duration::from_millis(300);
/// How long a call on a silent connection takes, as with the users' store.
const SILENCE: Duration = Duration::from_millis(1_000);

impl MemoryLog {
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    pub fn write_operators(&self, entry: DirectoryEntry) {
        self.state.lock().unwrap().operators.push(entry);
        self.changed.notify_waiters();
    }

    pub fn write_backends(&self, entry: DirectoryEntry) {
        self.state.lock().unwrap().backends.push(entry);
        self.changed.notify_waiters();
    }

    pub fn records(&self, partition: StreamPartition) -> Vec<Bytes> {
        self.state
            .lock()
            .unwrap()
            .partitions
            .get(&partition)
            .cloned()
            .unwrap_or_default()
    }

    /// When each record of a partition came to stand there.
    pub fn times(&self, partition: StreamPartition) -> Vec<Instant> {
        let state = self.state.lock().unwrap();
        state.times.get(&partition).cloned().unwrap_or_default()
    }

    /// Bytes of all records of all partitions.
    pub fn bytes(&self) -> u64 {
        let state = self.state.lock().unwrap();
        let records = state.partitions.values().flatten();
        records.map(|record| record.len() as u64).sum()
    }

    /// Bytes of all records of a partition.
    pub fn bytes_of(&self, partition: StreamPartition) -> u64 {
        let records = self.records(partition);
        records.iter().map(|record| record.len() as u64).sum()
    }

    /// Offset up to which the newest checkpoint of the control stream goes.
    pub fn checkpointed(&self) -> u64 {
        let state = self.state.lock().unwrap();
        let checkpoint = state.checkpoints.get("control");
        checkpoint.map_or(0, |value| ControlCheckpoint::decode(value).unwrap().next)
    }

    /// Whether a checkpoint of that name is kept.
    pub fn has_checkpoint(&self, name: &str) -> bool {
        self.state.lock().unwrap().checkpoints.contains_key(name)
    }

    /// Drops all records of a partition so far.
    pub fn drop_history(&self, partition: StreamPartition) {
        let mut state = self.state.lock().unwrap();
        let end = state.partitions.get(&partition).map_or(0, Vec::len) as u64;
        state.first_kept.insert(partition, end);
    }

    /// All records in the order of their appends.
    pub fn history(&self) -> Vec<(StreamPartition, Bytes)> {
        self.state.lock().unwrap().history.clone()
    }

    fn append_now(&self, partition: StreamPartition, records: Vec<Bytes>) -> Appended {
        let mut state = self.state.lock().unwrap();
        let in_order = records.iter().map(|record| (partition, record.clone()));
        state.history.extend(in_order);
        let kept = state.partitions.entry(partition).or_default();
        let offset = kept.len() as u64;
        kept.extend(records);
        let end = kept.len() as u64;
        let times = state.times.entry(partition).or_default();
        times.resize(end as usize, Instant::now());
        drop(state);
        self.changed.notify_waiters();
        Appended { offset, end }
    }

    fn check_kept(&self, partition: StreamPartition, from: u64) -> Result<(), LogError> {
        let state = self.state.lock().unwrap();
        let first = state.first_kept.get(&partition).copied().unwrap_or(0);
        if from < first {
            return Err(LogError::HistoryDropped { first });
        }
        Ok(())
    }

    async fn wait_for<T>(&self, wait: Duration, look: impl Fn(&State) -> Option<T>) -> Option<T> {
        let until = havenstage_clock::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(found) = look(&self.state.lock().unwrap()) {
                return Some(found);
            }
            if havenstage_clock::timeout_at(until, changed).await.is_err() {
                return None;
            }
        }
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
            reads: AtomicU64::new(0),
            reads_let_in: AtomicU64::new(0),
            reads_of_changes: AtomicU64::new(0),
            bytes_read: AtomicU64::new(0),
        })
    }

    fn refuses_next_listing(&self) -> bool {
        self.faults().throttles_listings
            && self
                .listings
                .fetch_add(1, Ordering::Relaxed)
                .is_multiple_of(2)
    }

    /// Reading calls that the node has made of partitions.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Reading calls that the node has made of changes of directories.
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
            tokio::time::sleep(NO_ANSWER).await;
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

    /// Refuses its share of the reads, spread evenly, and leaves the first ones without an answer.
    async fn let_read_in(&self) -> Result<(), LogError> {
        let number = self.reads_let_in.fetch_add(1, Ordering::Relaxed);
        if number < self.faults().silent_reads {
            tokio::time::sleep(SILENCE).await;
            return Err(LogError::Unknown);
        }
        // 3 has no common factor with 10, so ten calls in a row meet each remainder once.
        if number * 3 % 10 < self.faults().throttled_reads_of_ten {
            return Err(LogError::Refused(429));
        }
        Ok(())
    }
}

/// The first records, up to so many bytes and one at least; 0 stands for all.
fn first_records(records: Vec<Bytes>, most_bytes: usize) -> Vec<Bytes> {
    if most_bytes == 0 {
        return records;
    }
    let mut bytes = 0;
    let fits = |record: &Bytes| {
        let is_first = bytes == 0;
        bytes += record.len();
        is_first || bytes <= most_bytes
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
            tokio::time::sleep(SLOW_APPEND).await;
        }
        let answer_delay = match is_order(partition, &records) {
            true => self.faults().late_answers_to_orders,
            false => Duration::ZERO,
        };
        let appended = self.shared.append_now(partition, records);
        tokio::time::sleep(answer_delay).await;
        if self.faults().loses_answers {
            tokio::time::sleep(NO_ANSWER).await;
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
        self.let_read_in().await?;
        if self.faults().drops_what_it_keeps {
            tokio::time::sleep(AT_ONCE).await;
            return Err(LogError::HistoryDropped { first: from });
        }
        self.shared.check_kept(partition, from)?;
        let page = |state: &State| {
            let records = state
                .partitions
                .get(&partition)
                .cloned()
                .unwrap_or_default();
            let end = records.len() as u64;
            LogPage {
                from,
                end,
                records: records.into_iter().skip(from as usize).collect(),
            }
        };
        let found = self.shared.wait_for(wait, |state| {
            let page = page(state);
            (!page.records.is_empty()).then_some(page)
        });
        let found = found.await;
        // A fault that began while the call waited takes its answer too.
        self.check_readable().await?;
        let mut page = found.unwrap_or_else(|| page(&self.shared.state.lock().unwrap()));
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
        let mut state = self.shared.state.lock().unwrap();
        state.checkpoints.insert(name.to_owned(), value);
        Ok(())
    }

    async fn load(&self, name: &str) -> Result<Option<Bytes>, LogError> {
        self.check_readable().await?;
        self.let_read_in().await?;
        Ok(self
            .shared
            .state
            .lock()
            .unwrap()
            .checkpoints
            .get(name)
            .cloned())
    }
}

fn entries(state: &State, kind: DirectoryKind) -> &Vec<DirectoryEntry> {
    match kind {
        DirectoryKind::Operators => &state.operators,
        DirectoryKind::Backends => &state.backends,
    }
}

#[async_trait]
impl Directory for NodeLog {
    /// One entry a page, so that listings of several pages are read.
    async fn list(
        &self,
        kind: DirectoryKind,
        after: Option<&str>,
    ) -> Result<ListingPage, LogError> {
        self.check_reachable().await?;
        let is_refused = kind == DirectoryKind::Backends && self.faults().refuses_backends;
        if is_refused || self.faults().refuses_listings || self.refuses_next_listing() {
            return Err(LogError::Refused(429));
        }
        let state = self.shared.state.lock().unwrap();
        let entries = entries(&state, kind);
        let from: usize = after.map_or(0, |after| after.parse().unwrap());
        let page: Vec<DirectoryEntry> = entries.iter().skip(from).take(1).cloned().collect();
        let more = (from + 1 < entries.len()).then(|| (from + 1).to_string());
        Ok(ListingPage {
            entries: page,
            end: entries.len() as u64,
            more,
        })
    }

    async fn changes(
        &self,
        kind: DirectoryKind,
        from: u64,
        wait: Duration,
        most_bytes: u32,
    ) -> Result<DirectoryPage, LogError> {
        self.reads_of_changes.fetch_add(1, Ordering::Relaxed);
        self.check_reachable().await?;
        if kind == DirectoryKind::Backends && self.faults().refuses_backends {
            tokio::time::sleep(AT_ONCE).await;
            return Err(LogError::Refused(429));
        }
        if self.faults().drops_changes {
            tokio::time::sleep(AT_ONCE).await;
            return Err(LogError::HistoryDropped { first: from });
        }
        let found = self.shared.wait_for(wait, |state| {
            let new: Vec<_> = entries(state, kind)
                .iter()
                .skip(from as usize)
                .cloned()
                .collect();
            (!new.is_empty()).then_some(new)
        });
        let mut entries = found.await.unwrap_or_default();
        self.check_reachable().await?;
        let there = entries.len();
        entries.truncate((most_bytes / ENTRY_BYTES).max(1) as usize);
        let next = from + entries.len() as u64;
        let behind = (there - entries.len()) as u64;
        Ok(DirectoryPage {
            entries,
            next,
            behind,
        })
    }
}

/// Versions of models, as back ends state them.
pub type Versions = BTreeMap<havenstage_rollout::ids::ModelName, u64>;
