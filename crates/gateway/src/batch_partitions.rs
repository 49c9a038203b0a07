//! The partitions of batches, and which of them this node follows.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};

use havenstage_rollout::Millis;
use havenstage_rollout::fold::PartitionState;
use havenstage_rollout::ids::{BatchId, partition_of};
use tokio::sync::{Notify, mpsc};

use crate::edge::{LogStream, StreamPartition};
use crate::settings::LogSettings;
use crate::stream_view::StreamView;

/// A partition of batches as this node knows it.
pub type BatchView = StreamView<PartitionState>;

/// All partitions of batches, by index.
pub struct BatchPartitions {
    views: Vec<BatchView>,
    /// Those that this node's own work needs.
    needed: Mutex<BTreeSet<usize>>,
    follow_requests: mpsc::UnboundedSender<usize>,
    new_follow_requests: Mutex<Option<mpsc::UnboundedReceiver<usize>>>,
}

impl BatchPartitions {
    /// Partitions of which nothing was read yet; changes wake `wakes`.
    pub fn new(log: &LogSettings, wakes: &Arc<Notify>) -> Self {
        let (follow_requests, new_follow_requests) = mpsc::unbounded_channel();
        let views =
            partitions(log).map(|id| StreamView::new(id, PartitionState::default(), wakes.clone()));
        Self {
            views: views.collect(),
            needed: Mutex::default(),
            follow_requests,
            new_follow_requests: Mutex::new(Some(new_follow_requests)),
        }
    }

    /// All partitions.
    pub fn iter(&self) -> impl Iterator<Item = &BatchView> {
        self.views.iter()
    }

    /// The partition with an index.
    pub fn at(&self, index: usize) -> &BatchView {
        &self.views[index]
    }

    /// Index of the partition that holds a batch.
    pub fn index_of(&self, batch: &BatchId) -> usize {
        partition_of(batch, self.views.len() as u32) as usize
    }

    /// The partition that holds a batch.
    pub fn of(&self, batch: &BatchId) -> &BatchView {
        self.at(self.index_of(batch))
    }

    /// Says which partitions this node's own work needs: they are followed, and the others only while
    /// somebody asks about them.
    pub fn set_needed(&self, needed: BTreeSet<usize>) {
        let mut before = self.needed.lock().unwrap_or_else(PoisonError::into_inner);
        for index in before.difference(&needed) {
            self.views[*index].set_needed(false);
        }
        for index in needed.difference(&before) {
            self.views[*index].set_needed(true);
            self.request_follower(*index);
        }
        *before = needed;
    }

    /// Indices of the partitions that this node's own work needs.
    pub fn needed(&self) -> Vec<usize> {
        let needed = self.needed.lock().unwrap_or_else(PoisonError::into_inner);
        needed.iter().copied().collect()
    }

    /// Whether the partitions that this node's own work needs have been read up to this time.
    pub fn are_needed_current(&self, now: Millis) -> bool {
        let needed = self.needed();
        needed
            .iter()
            .all(|index| !self.views[*index].is_behind(now))
    }

    /// Somebody waits for news of a batch: its partition is followed for a while.
    pub fn want(&self, batch: &BatchId, now: Millis) {
        let index = self.index_of(batch);
        self.views[index].want(now);
        self.request_follower(index);
    }

    fn request_follower(&self, index: usize) {
        if self.views[index].begin_following() {
            self.send_follow_request(index);
        }
    }

    fn send_follow_request(&self, index: usize) {
        // The receiver is gone only when the process ends.
        let _ = self.follow_requests.send(index);
    }

    /// Forgets what was first seen before `before`: closed batches where a task follows a partition, and
    /// whole partitions that nobody follows.
    pub fn forget_before(&self, before: Millis, now: Millis) {
        for (index, view) in self.views.iter().enumerate() {
            if !view.begin_following() {
                view.lock().state.forget_before(before);
                continue;
            }
            view.forget_if_older_than(before);
            // Somebody may have asked for a task meanwhile, and found this one in its place.
            if !view.end_following(now) {
                self.send_follow_request(index);
            }
        }
    }

    /// Indices of partitions that need a task to follow them; `None` for all but the first caller.
    pub fn take_follow_requests(&self) -> Option<mpsc::UnboundedReceiver<usize>> {
        let mut requests = self
            .new_follow_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        requests.take()
    }
}

/// The partitions over which batches are spread.
fn partitions(log: &LogSettings) -> impl Iterator<Item = StreamPartition> {
    let partitions = log.partitions;
    (0..log.batch_streams).flat_map(move |number| {
        (0..partitions).map(move |partition| StreamPartition {
            stream: LogStream::Batches(number),
            partition,
        })
    })
}
