//! Follows one log stream into a fold and lets tasks wait until it has moved on.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use havenstage_edge::log_service::LogError;
use havenstage_types::ids::{LogOffset, StreamName};
use havenstage_types::peer::RawRecord;
use tokio::sync::watch;

use crate::context::NodeContext;
use crate::locks::lock;

/// Records asked of the log in one read.
const RECORDS_PER_READ: usize = 512;

/// A fold over the records of one stream.
pub(crate) trait StreamFold: Send + 'static {
    /// Offset of the first record not applied.
    fn next_offset(&self) -> LogOffset;

    /// Applies a record; one that cannot be decoded is skipped by every reader alike.
    fn apply(&mut self, record: &RawRecord);
}

/// How far a follower has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct FollowProgress {
    /// Offset of the first record not applied.
    pub(crate) next: LogOffset,
    /// Whether the stream's end, as of some moment since the start, has been reached.
    pub(crate) caught_up: bool,
}

/// A stream, its fold and the progress others can wait for.
pub(crate) struct StreamFollower<F> {
    stream: StreamName,
    fold: Mutex<F>,
    progress: watch::Sender<FollowProgress>,
}

impl<F: StreamFold> StreamFollower<F> {
    pub(crate) fn new(stream: StreamName, fold: F) -> Arc<Self> {
        Arc::new(Self {
            stream,
            fold: Mutex::new(fold),
            progress: watch::Sender::new(FollowProgress::default()),
        })
    }

    /// Stream that is followed.
    pub(crate) fn stream(&self) -> &StreamName {
        &self.stream
    }

    /// Looks at the fold.
    pub(crate) fn with<T>(&self, look: impl FnOnce(&F) -> T) -> T {
        look(&lock(&self.fold))
    }

    /// Changes whenever records were applied.
    pub(crate) fn subscribe(&self) -> watch::Receiver<FollowProgress> {
        self.progress.subscribe()
    }

    /// Whether the end has been reached once.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.progress.borrow().caught_up
    }

    /// Waits until the end has been reached once.
    pub(crate) async fn caught_up(&self) {
        let mut progress = self.progress.subscribe();
        // The sender lives as long as `self`.
        let _ = progress.wait_for(|progress| progress.caught_up).await;
    }

    /// Waits until everything below `offset` has been applied.
    pub(crate) async fn reached(&self, offset: LogOffset) {
        let mut progress = self.progress.subscribe();
        let _ = progress.wait_for(|progress| progress.next >= offset).await;
    }

    /// Follows the stream until aborted.
    pub(crate) async fn run(self: Arc<Self>, context: Arc<NodeContext>) {
        loop {
            if self.follow_once(&context).await.is_err() {
                tokio::time::sleep(context.settings.log_retry()).await;
            }
        }
    }

    async fn follow_once(&self, context: &NodeContext) -> Result<(), LogError> {
        let from = self.with(F::next_offset);
        // At an unknown distance from the end there is nothing to wait for.
        let wait = if self.is_caught_up() {
            context.settings.log_wait()
        } else {
            Duration::ZERO
        };
        let batch = context
            .environment
            .log
            .read(&self.stream, from, RECORDS_PER_READ, wait)
            .await?;
        let next = {
            let mut fold = lock(&self.fold);
            for record in &batch.records {
                fold.apply(record);
            }
            fold.next_offset()
        };
        let caught_up = next >= batch.end;
        self.progress.send_if_modified(|progress| {
            let updated = FollowProgress {
                next,
                caught_up: progress.caught_up || caught_up,
            };
            let changed = *progress != updated;
            *progress = updated;
            changed
        });
        Ok(())
    }
}
