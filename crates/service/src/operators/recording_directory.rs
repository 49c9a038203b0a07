//! A wrapper around the node's directories that records what the node has read from them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use havenstage_clock::Instant;
use havenstage_gateway::edge::{
    Directory, DirectoryEntry, DirectoryKind, DirectoryPage, ListingPage, LogError,
};
use havenstage_rollout::route::RoutingConfig;

/// Passes reads on to the directories, and records the newest configuration and the time of the last
/// complete reads for the operators' interface.
pub(crate) struct RecordingDirectory {
    directory: Arc<dyn Directory>,
    last_read: Mutex<LastRead>,
}

#[derive(Default)]
struct LastRead {
    routing: Option<RoutingConfig>,
    operators_read_at: Option<Instant>,
    backends_read_at: Option<Instant>,
}

impl RecordingDirectory {
    /// Wraps `directory`, through which the node must make all its reads.
    pub(crate) fn new(directory: Arc<dyn Directory>) -> Self {
        Self {
            directory,
            last_read: Mutex::default(),
        }
    }

    /// Returns the configuration of pools and routes that the node read last.
    pub(crate) fn routing(&self) -> Option<RoutingConfig> {
        self.lock().routing.clone()
    }

    /// Returns the time since the start of the last read that left nothing unread in a directory; `None`
    /// before the first such read.
    pub(crate) fn age(&self, kind: DirectoryKind) -> Option<Duration> {
        let last_read = self.lock();
        let read_at = match kind {
            DirectoryKind::Operators => last_read.operators_read_at,
            DirectoryKind::Backends => last_read.backends_read_at,
        };
        Some(read_at?.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, LastRead> {
        let last_read = self.last_read.lock();
        last_read.unwrap_or_else(PoisonError::into_inner)
    }

    fn record_entries(&self, entries: &[DirectoryEntry]) {
        let newest = entries.iter().rev().find_map(|entry| match entry {
            DirectoryEntry::Routing(config) => Some(config),
            _ => None,
        });
        if let Some(config) = newest {
            self.lock().routing = Some(config.clone());
        }
    }

    fn record_complete_read(&self, kind: DirectoryKind, started_at: Instant) {
        let mut last_read = self.lock();
        match kind {
            DirectoryKind::Operators => last_read.operators_read_at = Some(started_at),
            DirectoryKind::Backends => last_read.backends_read_at = Some(started_at),
        }
    }
}

#[async_trait]
impl Directory for RecordingDirectory {
    async fn list(
        &self,
        kind: DirectoryKind,
        after: Option<&str>,
    ) -> Result<ListingPage, LogError> {
        let started_at = Instant::now();
        let page = self.directory.list(kind, after).await?;
        self.record_entries(&page.entries);
        if page.more.is_none() {
            self.record_complete_read(kind, started_at);
        }
        Ok(page)
    }

    async fn changes(
        &self,
        kind: DirectoryKind,
        from: u64,
        wait: Duration,
        max_bytes: u32,
    ) -> Result<DirectoryPage, LogError> {
        let started_at = Instant::now();
        let page = self.directory.changes(kind, from, wait, max_bytes).await?;
        self.record_entries(&page.entries);
        if page.remaining == 0 {
            self.record_complete_read(kind, started_at);
        }
        Ok(page)
    }
}
