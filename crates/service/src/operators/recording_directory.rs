//! The directories as the node has read them: every entry passes here on its way to the node.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use havenstage_clock::Instant;
use havenstage_gateway::edge::{
    Directory, DirectoryEntry, DirectoryKind, DirectoryPage, ListingPage, LogError,
};
use havenstage_rollout::route::RoutingConfig;

/// Directories that note what they tell the node.
pub(crate) struct KnownDirectory {
    directory: Arc<dyn Directory>,
    told: Mutex<Told>,
}

#[derive(Default)]
struct Told {
    routing: Option<RoutingConfig>,
    operators_read_at: Option<Instant>,
    backends_read_at: Option<Instant>,
}

impl KnownDirectory {
    /// Notes what a directory tells.
    pub(crate) fn new(directory: Arc<dyn Directory>) -> Self {
        Self {
            directory,
            told: Mutex::default(),
        }
    }

    /// The configuration of routes that the node was told last.
    pub(crate) fn routing(&self) -> Option<RoutingConfig> {
        self.lock().routing.clone()
    }

    /// Time since a read of a directory was asked that left nothing unread; `None` before the first one.
    pub(crate) fn age(&self, kind: DirectoryKind) -> Option<Duration> {
        let told = self.lock();
        let read_at = match kind {
            DirectoryKind::Operators => told.operators_read_at,
            DirectoryKind::Backends => told.backends_read_at,
        };
        Some(read_at?.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_entries(&self, entries: &[DirectoryEntry]) {
        let newest = entries.iter().rev().find_map(|entry| match entry {
            DirectoryEntry::Routing(config) => Some(config),
            _ => None,
        });
        if let Some(config) = newest {
            self.lock().routing = Some(config.clone());
        }
    }

    fn note_read(&self, kind: DirectoryKind, asked_at: Instant) {
        let mut told = self.lock();
        match kind {
            DirectoryKind::Operators => told.operators_read_at = Some(asked_at),
            DirectoryKind::Backends => told.backends_read_at = Some(asked_at),
        }
    }
}

#[async_trait]
impl Directory for KnownDirectory {
    async fn list(
        &self,
        kind: DirectoryKind,
        after: Option<&str>,
    ) -> Result<ListingPage, LogError> {
        let asked_at = Instant::now();
        let page = self.directory.list(kind, after).await?;
        self.note_entries(&page.entries);
        if page.more.is_none() {
            self.note_read(kind, asked_at);
        }
        Ok(page)
    }

    async fn changes(
        &self,
        kind: DirectoryKind,
        from: u64,
        wait: Duration,
        most_bytes: u32,
    ) -> Result<DirectoryPage, LogError> {
        let asked_at = Instant::now();
        let page = self.directory.changes(kind, from, wait, most_bytes).await?;
        self.note_entries(&page.entries);
        if page.remaining == 0 {
            self.note_read(kind, asked_at);
        }
        Ok(page)
    }
}
