//! The shared log and the directories, watched for when they come back after they were away.
//!
//! A call that gets no answer is given up only after a second or more. When the log has been away and
//! another call shows that it is back, calls from before say nothing any more: they are given up at
//! once, so that their callers repeat them.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use havenstage_rollout::Millis;
use log::info;
use tokio::sync::Notify;

use crate::edge::{
    Appended, Directory, DirectoryKind, DirectoryPage, ListingPage, LogError, LogPage, SharedLog,
    SteadyClock, StreamPartition,
};

/// Time without an answer after which the log counts as having been away.
const AWAY_MS: Millis = 1_000;
/// Calls that must have failed meanwhile: without one it was only quiet.
const AWAY_FAILURES: u32 = 2;

/// When the log or a directory last answered this node.
pub struct Contact {
    clock: SteadyClock,
    last_answer: AtomicU64,
    failures: AtomicU32,
    regained: Notify,
}

impl Contact {
    /// No answer yet.
    pub fn new(clock: SteadyClock) -> Self {
        Self {
            clock,
            last_answer: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            regained: Notify::new(),
        }
    }

    /// Milliseconds since the last answer, or since the start.
    pub fn age(&self) -> Millis {
        let last = self.last_answer.load(Ordering::Relaxed);
        self.clock.now().saturating_sub(last)
    }

    /// Makes a call, and gives it up when another call shows that the log is back.
    async fn watch<T>(
        &self,
        call: impl Future<Output = Result<T, LogError>>,
    ) -> Result<T, LogError> {
        tokio::select! {
            result = call => {
                match &result {
                    Ok(_) | Err(LogError::HistoryDropped { .. }) => self.answered(),
                    Err(_) => {
                        self.failures.fetch_add(1, Ordering::Relaxed);
                    }
                }
                result
            }
            () = self.regained.notified() => Err(LogError::Unknown),
        }
    }

    fn answered(&self) {
        let away_ms = self.age();
        self.last_answer
            .fetch_max(self.clock.now(), Ordering::Relaxed);
        let failures = self.failures.swap(0, Ordering::Relaxed);
        if away_ms >= AWAY_MS && failures >= AWAY_FAILURES {
            info!(event = "log_regained", away_ms = away_ms, failures = failures; "");
            self.regained.notify_waiters();
        }
    }
}

/// The log and the directories, with their calls watched.
pub struct Watched<T: ?Sized> {
    inner: Arc<T>,
    contact: Arc<Contact>,
}

impl<T: ?Sized> Watched<T> {
    /// Watches the calls of `inner`.
    pub fn new(inner: Arc<T>, contact: Arc<Contact>) -> Self {
        Self { inner, contact }
    }
}

#[async_trait]
impl SharedLog for Watched<dyn SharedLog> {
    async fn append(
        &self,
        partition: StreamPartition,
        records: Vec<Bytes>,
    ) -> Result<Appended, LogError> {
        let call = self.inner.append(partition, records);
        self.contact.watch(call).await
    }

    async fn read(
        &self,
        partition: StreamPartition,
        from: u64,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let call = self.inner.read(partition, from, wait);
        self.contact.watch(call).await
    }
}

#[async_trait]
impl Directory for Watched<dyn Directory> {
    async fn list(
        &self,
        kind: DirectoryKind,
        after: Option<&str>,
    ) -> Result<ListingPage, LogError> {
        self.contact.watch(self.inner.list(kind, after)).await
    }

    async fn changes(
        &self,
        kind: DirectoryKind,
        from: u64,
        wait: Duration,
    ) -> Result<DirectoryPage, LogError> {
        let call = self.inner.changes(kind, from, wait);
        self.contact.watch(call).await
    }
}
