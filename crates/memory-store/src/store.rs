//! The in-memory store, which implements the gateway's store traits.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_gateway::edge::{
    Appended, CheckpointStore, Directory, DirectoryEntry, DirectoryKind, DirectoryPage,
    ListingPage, LogError, LogPage, SharedLog, StreamPartition,
};
use tokio::sync::Notify;

use crate::entry_log::EntryLog;
use crate::records::Records;
use crate::settings::{InvalidStoreSetting, MemoryStoreSettings};

/// Shared log, checkpoints and directories in memory, shared by all gateways of the process.
#[derive(Debug)]
pub struct MemoryStore {
    settings: MemoryStoreSettings,
    state: Mutex<State>,
    /// Wakes waiting reads after each append and each written directory entry.
    changed: Notify,
}

#[derive(Debug)]
struct State {
    records: Records,
    checkpoints: HashMap<String, Bytes>,
    operators: EntryLog,
    backends: EntryLog,
}

impl State {
    fn directory(&self, kind: DirectoryKind) -> &EntryLog {
        match kind {
            DirectoryKind::Operators => &self.operators,
            DirectoryKind::Backends => &self.backends,
        }
    }

    fn directory_mut(&mut self, kind: DirectoryKind) -> &mut EntryLog {
        match kind {
            DirectoryKind::Operators => &mut self.operators,
            DirectoryKind::Backends => &mut self.backends,
        }
    }
}

impl MemoryStore {
    /// Creates an empty store. Returns an error if a setting is out of range.
    pub fn new(settings: MemoryStoreSettings) -> Result<Self, InvalidStoreSetting> {
        settings.validate()?;
        let state = State {
            records: Records::new(&settings),
            checkpoints: HashMap::new(),
            operators: EntryLog::default(),
            backends: EntryLog::default(),
        };
        Ok(Self {
            settings,
            state: Mutex::new(state),
            changed: Notify::new(),
        })
    }

    /// Writes a directory entry, which replaces an older one of the same name, and returns its offset in the directory.
    pub fn write_entry(&self, kind: DirectoryKind, entry: DirectoryEntry) -> u64 {
        let now = Instant::now();
        let mut state = self.lock();
        let directory = state.directory_mut(kind);
        directory.discard_old_removals(self.settings.retention, now);
        let offset = directory.write(entry, now);
        drop(state);
        self.changed.notify_waiters();
        offset
    }

    /// Appends records to a partition atomically. Returns [`LogError::Refused`] with status 507 if the log would exceed
    /// its size limit.
    pub fn append_now(
        &self,
        partition: StreamPartition,
        records: Vec<Bytes>,
    ) -> Result<Appended, LogError> {
        let appended = self
            .lock()
            .records
            .append(partition, records, Instant::now())?;
        self.changed.notify_waiters();
        Ok(appended)
    }

    /// Drops the records of a partition before an offset, as if they had expired.
    pub fn drop_before(&self, partition: StreamPartition, offset: u64) {
        self.lock().records.drop_before(partition, offset);
    }

    /// Returns the value of a checkpoint; `None` if it was never saved.
    pub fn checkpoint(&self, name: &str) -> Option<Bytes> {
        self.lock().checkpoints.get(name).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the state until `is_new` accepts the result or `wait` is over, and returns the last result.
    async fn read_until_new<T>(
        &self,
        wait: Duration,
        read_state: impl Fn(&State) -> Result<T, LogError>,
        is_new: impl Fn(&T) -> bool,
    ) -> Result<T, LogError> {
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registers for changes before the read, so that no change between read and wait is missed.
            changed.as_mut().enable();
            let found = read_state(&self.lock())?;
            if is_new(&found) {
                return Ok(found);
            }
            if havenstage_clock::timeout_at(deadline, changed)
                .await
                .is_err()
            {
                return read_state(&self.lock());
            }
        }
    }
}

#[async_trait]
impl SharedLog for MemoryStore {
    async fn append(
        &self,
        partition: StreamPartition,
        records: Vec<Bytes>,
    ) -> Result<Appended, LogError> {
        self.append_now(partition, records)
    }

    async fn read(
        &self,
        partition: StreamPartition,
        from: u64,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let read_state = |state: &State| state.records.read(partition, from);
        self.read_until_new(wait, read_state, |page| !page.records.is_empty())
            .await
    }
}

#[async_trait]
impl CheckpointStore for MemoryStore {
    async fn save(&self, name: &str, value: Bytes) -> Result<(), LogError> {
        self.lock().checkpoints.insert(name.to_owned(), value);
        Ok(())
    }

    async fn load(&self, name: &str) -> Result<Option<Bytes>, LogError> {
        Ok(self.checkpoint(name))
    }
}

#[async_trait]
impl Directory for MemoryStore {
    async fn list(
        &self,
        kind: DirectoryKind,
        after: Option<&str>,
    ) -> Result<ListingPage, LogError> {
        let max_entries = self.settings.listing_page_entries;
        Ok(self.lock().directory(kind).list(after, max_entries))
    }

    async fn changes(
        &self,
        kind: DirectoryKind,
        from: u64,
        wait: Duration,
        max_bytes: u32,
    ) -> Result<DirectoryPage, LogError> {
        let read_state = |state: &State| state.directory(kind).changes(from, max_bytes);
        self.read_until_new(wait, read_state, |page| !page.entries.is_empty())
            .await
    }
}
