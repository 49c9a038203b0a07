//! The log partitions that hold batches, and which of them this node follows.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};

use havenstage_rollout::Millis;
use havenstage_rollout::fold::PartitionState;
use havenstage_rollout::ids::{BatchId, partition_of};
use tokio::sync::{Notify, mpsc};

use crate::edge::{LogStream, StreamPartition};
use crate::settings::LogSettings;
use crate::stream_view::StreamView;

/// The state of one batch partition, as far as this node has read it.
pub type BatchView = StreamView<PartitionState>;

/// All batch partitions, by index.
pub struct BatchPartitions {
    views: Vec<BatchView>,
    /// Indices of the partitions that this node's own work needs.
    needed: Mutex<BTreeSet<usize>>,
    follow_requests: mpsc::UnboundedSender<usize>,
    new_follow_requests: Mutex<Option<mpsc::UnboundedReceiver<usize>>>,
}

impl BatchPartitions {
    /// Creates all partitions, with nothing read yet; each change of a partition notifies `wakes`.
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

    /// All partitions, in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = &BatchView> {
        self.views.iter()
    }

    /// The partition with an index; panics if there is none.
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

    /// Sets which partitions this node's own work needs: these are followed all the time, the others only while callers
    /// ask about their batches.
    pub fn set_needed(&self, needed: BTreeSet<usize>) {
        let mut previous = self.needed.lock().unwrap_or_else(PoisonError::into_inner);
        for index in previous.difference(&needed) {
            self.views[*index].set_needed(false);
        }
        for index in needed.difference(&previous) {
            self.views[*index].set_needed(true);
            self.request_follower(*index);
        }
        *previous = needed;
    }

    /// Indices of the partitions that this node's own work needs.
    pub fn needed(&self) -> Vec<usize> {
        let needed = self.needed.lock().unwrap_or_else(PoisonError::into_inner);
        needed.iter().copied().collect()
    }

    /// Whether all partitions that this node's own work needs have been read up to `now`, milliseconds of the node's
    /// clock.
    pub fn are_needed_current(&self, now: Millis) -> bool {
        let needed = self.needed();
        needed
            .iter()
            .all(|index| !self.views[*index].is_behind(now))
    }

    /// Follows a batch's partition for a while, since a caller waits for changes of the batch.
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

    /// Forgets state that was first seen before `before`: closed batches of partitions that a task follows, and the
    /// whole state of partitions that no task follows.
    pub fn forget_before(&self, before: Millis, now: Millis) {
        for (index, view) in self.views.iter().enumerate() {
            if !view.begin_following() {
                view.lock().state.forget_before(before);
                continue;
            }
            view.forget_if_older_than(before);
            // `begin_following` above marked the partition as followed; a caller that asked for a follower in the
            // meantime started none because of that, so one is started now.
            if !view.end_following(now) {
                self.send_follow_request(index);
            }
        }
    }

    /// The channel that delivers indices of partitions that need a task to follow them; `None` after the first call.
    pub fn take_follow_requests(&self) -> Option<mpsc::UnboundedReceiver<usize>> {
        let mut requests = self
            .new_follow_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        requests.take()
    }
}

/// All partitions of all batch streams.
fn partitions(log: &LogSettings) -> impl Iterator<Item = StreamPartition> {
    let partitions = log.partitions;
    (0..log.batch_streams).flat_map(move |number| {
        (0..partitions).map(move |partition| StreamPartition {
            stream: LogStream::Batches(number),
            partition,
        })
    })
}
