//! An index of all batches and of the node that runs each, built from records of the control stream that are
//! small enough for every node to read.
//!
//! The items and output of a batch are in the batch's log partition (`crate::fold`). Only the node that runs
//! the batch (its owner) and nodes that get requests about it read that partition. The index is a hint: nodes
//! use it to choose the node for the next batch, to detect owners that send no heartbeats, and to find which
//! weights are needed. The batch's partition alone decides which node holds the lease of the batch.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::batch::Submission;
use crate::checkpoint::BatchCheckpoint;
use crate::ids::{BatchId, ModelName, NodeId, Version};
use crate::lease::LeaseState;

/// Time without a heartbeat of its owner after which a batch whose items are not in its partition counts as
/// never accepted. By then its client has received an error, or has submitted the batch to another node.
pub const MISSING_ITEMS_TIMEOUT_MS: Millis = 15_000;

/// The part of an accepted batch that all nodes read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchNotice {
    /// The batch that was accepted.
    pub batch: BatchId,
    /// Host that selects the batch's route.
    pub host: String,
    /// Path that selects the batch's route.
    pub path: String,
    /// Training step; `None` if no trainer submitted the batch.
    pub step: Option<u64>,
    /// Model whose weights generate the output; `None` if the client named none.
    pub model: Option<ModelName>,
    /// Oldest version of the weights that may generate any token of the output.
    pub minimum_version: Version,
    /// Number of items in the batch.
    pub items: u32,
    /// Sum of the expected output tokens of all items.
    pub expected_tokens: u64,
    /// The node that runs the batch from the start; `None` if any node may claim it.
    pub owner: Option<NodeId>,
}

impl BatchNotice {
    /// Builds the notice of a submitted batch.
    pub fn of(submission: &Submission, owner: Option<NodeId>) -> Self {
        let tokens = submission
            .items
            .iter()
            .map(|item| u64::from(item.expected_tokens));
        Self {
            batch: submission.id.clone(),
            host: submission.host.clone(),
            path: submission.path.clone(),
            step: submission.step,
            model: submission.model.clone(),
            minimum_version: submission.minimum_version,
            items: submission.items.len() as u32,
            expected_tokens: tokens.sum(),
            owner,
        }
    }
}

/// A batch in the index.
#[derive(Debug, Clone)]
pub struct IndexedBatch {
    /// The notice that was written when the batch was accepted.
    pub notice: BatchNotice,
    /// Position of the notice among all notices, in the order of the log.
    pub arrival: u64,
    /// When this node read the notice, or the notice that reopened the batch, on this node's clock. The items
    /// may reach the partition some time later, and nodes read the partition and the index at different times.
    pub first_seen: Millis,
    /// When this node read that no work is left for the batch; `None` while the batch is open.
    pub closed_at: Option<Millis>,
    /// The node that last reported that it runs the batch, and when. It is a hint, not the batch's lease.
    pub owner: LeaseState,
    /// Whether a node has reported since the notice that it runs the batch, which means that the node has found
    /// the items in the batch's partition.
    pub was_found: bool,
}

impl IndexedBatch {
    /// Whether work is left for the batch, as far as this node has read.
    pub fn is_open(&self) -> bool {
        self.closed_at.is_none()
    }

    /// Applies a second notice of the same batch. It reopens a batch that was closed because its items were
    /// missing. The delays of nodes before they claim the batch start anew at `now`, so that not all nodes claim
    /// it at once.
    fn reopen_unless_completed(&mut self, now: Millis) {
        if self.is_open() || self.is_certainly_completed(now) {
            return;
        }
        self.closed_at = None;
        self.first_seen = now;
        self.owner = LeaseState::new(self.owner.holder().cloned(), now);
    }

    /// Whether a closed batch was certainly completed or ended. Otherwise its items may have been missing: no
    /// node ever found them, or the log has dropped them since. The log keeps records for longer than any
    /// duplicate of a notice is delayed, so a second notice within [`MISSING_ITEMS_TIMEOUT_MS`] of the first is
    /// such a duplicate, and a later one is a new submission.
    fn is_certainly_completed(&self, now: Millis) -> bool {
        self.was_found && now.saturating_sub(self.first_seen) <= MISSING_ITEMS_TIMEOUT_MS
    }
}

/// All batches that this node has read notices of.
#[derive(Debug, Default)]
pub struct BatchIndex {
    batches: BTreeMap<BatchId, IndexedBatch>,
    /// Number of batches added so far.
    arrivals: u64,
}

impl BatchIndex {
    /// Adds an accepted batch. A batch that is submitted again is the same batch; it is reopened if it was
    /// closed because its items were missing.
    pub fn add(&mut self, notice: BatchNotice, now: Millis) {
        if let Some(known) = self.batches.get_mut(&notice.batch) {
            known.reopen_unless_completed(now);
            return;
        }
        self.arrivals += 1;
        let batch = IndexedBatch {
            arrival: self.arrivals,
            first_seen: now,
            closed_at: None,
            owner: LeaseState::new(notice.owner.clone(), now),
            was_found: false,
            notice,
        };
        self.batches.insert(batch.notice.batch.clone(), batch);
    }

    /// Records that a node reports that it runs these batches. Batches that are not in the index are skipped.
    pub fn record_heartbeat(&mut self, node: &NodeId, batches: &[BatchId], now: Millis) {
        for batch in batches {
            if let Some(known) = self.batches.get_mut(batch) {
                known.owner.set_reported_holder(node, now);
                known.was_found = true;
            }
        }
    }

    /// Removes a node as the owner of these batches. A batch that another node has taken over keeps its owner.
    pub fn release(&mut self, node: &NodeId, batches: &[BatchId], now: Millis) {
        for batch in batches {
            let known = self.batches.get_mut(batch);
            if let Some(known) = known.filter(|known| known.owner.is_held_by(node)) {
                known.owner = LeaseState::new(None, now);
            }
        }
    }

    /// Marks a batch as closed: no work is left for it. The first time counts.
    pub fn close(&mut self, batch: &BatchId, now: Millis) {
        if let Some(known) = self.batches.get_mut(batch) {
            known.closed_at.get_or_insert(now);
        }
    }

    /// Looks a batch up by its id.
    pub fn batch(&self, id: &BatchId) -> Option<&IndexedBatch> {
        self.batches.get(id)
    }

    /// Iterates over all batches, in the order of their ids.
    pub fn batches(&self) -> impl Iterator<Item = &IndexedBatch> {
        self.batches.values()
    }

    /// Iterates over the batches with work left.
    pub fn open(&self) -> impl Iterator<Item = &IndexedBatch> {
        self.batches.values().filter(|batch| batch.is_open())
    }

    /// Returns the batch of a model's newest training step; of several, the one accepted last.
    pub fn newest_of_model(&self, model: &ModelName) -> Option<&BatchNotice> {
        let of_model = self
            .batches
            .values()
            .filter(|batch| batch.notice.model.as_ref() == Some(model));
        of_model
            .max_by_key(|batch| (batch.notice.step, batch.arrival))
            .map(|batch| &batch.notice)
    }

    /// Returns the newest `limit` batches of the trainer that submitted `notice`, newest first, including the
    /// batch itself if it is among them. A later batch may contain items of an earlier one.
    pub fn newest_of_same_trainer(&self, notice: &BatchNotice, limit: usize) -> Vec<&BatchNotice> {
        let mut same_trainer: Vec<&IndexedBatch> = self
            .batches
            .values()
            .filter(|batch| is_of_same_trainer(&batch.notice, notice))
            .collect();
        same_trainer.sort_by_key(|batch| std::cmp::Reverse(batch.arrival));
        same_trainer.truncate(limit);
        same_trainer
            .into_iter()
            .map(|batch| &batch.notice)
            .collect()
    }

    /// Returns the checkpoint entries of all batches, in the order they were accepted.
    pub fn checkpoint(&self) -> Vec<BatchCheckpoint> {
        let mut batches: Vec<&IndexedBatch> = self.batches.values().collect();
        batches.sort_by_key(|batch| batch.arrival);
        let kept = batches.into_iter().map(|batch| BatchCheckpoint {
            notice: batch.notice.clone(),
            owner: batch.owner.holder().cloned(),
            is_open: batch.is_open(),
        });
        kept.collect()
    }

    /// Returns the batches whose items a node has found in their partitions.
    pub fn found(&self) -> BTreeSet<BatchId> {
        let found = self.batches.iter().filter(|(_, batch)| batch.was_found);
        found.map(|(id, _)| id.clone()).collect()
    }

    /// Restores the index from a checkpoint. All its times become `now`, since a checkpoint holds none.
    pub fn restored(batches: Vec<BatchCheckpoint>, found: &BTreeSet<BatchId>, now: Millis) -> Self {
        let mut index = Self::default();
        for batch in batches {
            let id = batch.notice.batch.clone();
            index.add(batch.notice, now);
            if let Some(known) = index.batches.get_mut(&id) {
                known.owner = LeaseState::new(batch.owner, now);
                known.closed_at = (!batch.is_open).then_some(now);
                known.was_found = found.contains(&id);
            }
        }
        index
    }

    /// Removes closed batches first seen before `before`, so that memory stays bounded.
    pub fn forget_before(&mut self, before: Millis) {
        self.batches
            .retain(|_, batch| batch.is_open() || batch.first_seen >= before);
    }
}

/// Whether two batches belong to the same trainer, which has one host and one model.
fn is_of_same_trainer(left: &BatchNotice, right: &BatchNotice) -> bool {
    left.host == right.host && left.model == right.model
}
