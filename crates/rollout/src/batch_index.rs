//! Which batches there are and which node runs each, in records that are small enough for every
//! node to read.
//!
//! What a batch holds lies in the batch's own partition (`crate::fold`), which only its owner and
//! those who are asked about it read. The index is a hint: it tells whom to hand the next batch, whose
//! silence to watch, and which weights are needed. Who holds a batch's lease is decided in its own
//! partition.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::batch::Submission;
use crate::checkpoint::BatchCheckpoint;
use crate::ids::{BatchId, ModelName, NodeId, Version};
use crate::lease::LeaseState;

/// Time without a sign of its owner after which a batch whose items are not in its partition is taken for
/// one that was never accepted: its caller was told so long before, or went elsewhere with it.
pub const MISSING_ITEMS_TIMEOUT_MS: Millis = 15_000;

/// What all nodes learn of a batch that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchNotice {
    /// Its id.
    pub batch: BatchId,
    /// Host that selects its route.
    pub host: String,
    /// Path that selects its route.
    pub path: String,
    /// Training step, if any.
    pub step: Option<u64>,
    /// Model, if any.
    pub model: Option<ModelName>,
    /// Oldest version that may make its tokens.
    pub minimum_version: Version,
    /// How many items it has.
    pub items: u32,
    /// Tokens that all its items together are expected to have.
    pub expected_tokens: u64,
    /// The node that runs it from the start; `None` if any may.
    pub owner: Option<NodeId>,
}

impl BatchNotice {
    /// The notice of a batch that is handed in.
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

/// A batch as the index knows it.
#[derive(Debug, Clone)]
pub struct IndexedBatch {
    /// What was told when it was accepted.
    pub notice: BatchNotice,
    /// Number of the notice in the order of the log.
    pub arrival: u64,
    /// When this node first heard of it, or of its being open again: a batch has a while from then on to
    /// come, and nodes read its partition and the index at different times.
    pub first_seen: Millis,
    /// When this node heard that nothing is left to be done.
    pub closed_at: Option<Millis>,
    /// The node that last said that it runs the batch, and when.
    pub owner: LeaseState,
    /// Whether a node has said so since the notice: it had found the batch in its partition.
    pub was_found: bool,
}

impl IndexedBatch {
    /// Whether something is left to be done, as far as is known.
    pub fn is_open(&self) -> bool {
        self.closed_at.is_none()
    }

    /// The notice stands in the log once more. Claims of a batch that is open again are spread from then on.
    fn accepted_again(&mut self, now: Millis) {
        if self.is_open() || self.is_done_for_good(now) {
            return;
        }
        self.closed_at = None;
        self.first_seen = now;
        self.owner = LeaseState::new(self.owner.holder().cloned(), now);
    }

    /// Whether a closed batch was certainly done. Else its items were missing: nobody ever found them, or
    /// the log had dropped them, which takes longer than any copy of a notice is late.
    fn is_done_for_good(&self, now: Millis) -> bool {
        self.was_found && now.saturating_sub(self.first_seen) <= MISSING_ITEMS_TIMEOUT_MS
    }
}

/// The batches that are known.
#[derive(Debug, Default)]
pub struct BatchIndex {
    batches: BTreeMap<BatchId, IndexedBatch>,
    arrivals: u64,
}

impl BatchIndex {
    /// A batch was accepted. A batch that is handed in again is the same one; it is open again if it
    /// was taken for one that never came.
    pub fn accepted(&mut self, notice: BatchNotice, now: Millis) {
        if let Some(known) = self.batches.get_mut(&notice.batch) {
            known.accepted_again(now);
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

    /// A node says that it runs these batches.
    pub fn held(&mut self, node: &NodeId, batches: &[BatchId], now: Millis) {
        for batch in batches {
            if let Some(known) = self.batches.get_mut(batch) {
                known.owner.names_itself(node, now);
                known.was_found = true;
            }
        }
    }

    /// A node gives these batches up.
    pub fn released(&mut self, node: &NodeId, batches: &[BatchId], now: Millis) {
        for batch in batches {
            let known = self.batches.get_mut(batch);
            if let Some(known) = known.filter(|known| known.owner.is_held_by(node)) {
                known.owner = LeaseState::new(None, now);
            }
        }
    }

    /// Nothing is left to be done about a batch.
    pub fn closed(&mut self, batch: &BatchId, now: Millis) {
        if let Some(known) = self.batches.get_mut(batch) {
            known.closed_at.get_or_insert(now);
        }
    }

    /// A batch by id.
    pub fn batch(&self, id: &BatchId) -> Option<&IndexedBatch> {
        self.batches.get(id)
    }

    /// All batches, in the order of their ids.
    pub fn batches(&self) -> impl Iterator<Item = &IndexedBatch> {
        self.batches.values()
    }

    /// Batches of which something is left to be done.
    pub fn open(&self) -> impl Iterator<Item = &IndexedBatch> {
        self.batches.values().filter(|batch| batch.is_open())
    }

    /// The batch of a model's newest training step.
    pub fn newest_of_model(&self, model: &ModelName) -> Option<&BatchNotice> {
        let of_model = self
            .batches
            .values()
            .filter(|batch| batch.notice.model.as_ref() == Some(model));
        of_model
            .max_by_key(|batch| (batch.notice.step, batch.arrival))
            .map(|batch| &batch.notice)
    }

    /// The newest batches that were handed in like this one, itself among them: a later one may
    /// carry items of an earlier one.
    pub fn newest_of_same_trainer(&self, notice: &BatchNotice, most: usize) -> Vec<&BatchNotice> {
        let mut alike: Vec<&IndexedBatch> = self
            .batches
            .values()
            .filter(|batch| is_alike(&batch.notice, notice))
            .collect();
        alike.sort_by_key(|batch| std::cmp::Reverse(batch.arrival));
        alike.truncate(most);
        alike.into_iter().map(|batch| &batch.notice).collect()
    }

    /// All batches, in the order they were accepted.
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

    /// The batches that a node found in their partitions.
    pub fn found(&self) -> BTreeSet<BatchId> {
        let found = self.batches.iter().filter(|(_, batch)| batch.was_found);
        found.map(|(id, _)| id.clone()).collect()
    }

    /// The index that a checkpoint tells of, seen now.
    pub fn restored(batches: Vec<BatchCheckpoint>, found: &BTreeSet<BatchId>, now: Millis) -> Self {
        let mut index = Self::default();
        for batch in batches {
            let id = batch.notice.batch.clone();
            index.accepted(batch.notice, now);
            if let Some(known) = index.batches.get_mut(&id) {
                known.owner = LeaseState::new(batch.owner, now);
                known.closed_at = (!batch.is_open).then_some(now);
                known.was_found = found.contains(&id);
            }
        }
        index
    }

    /// Forgets closed batches first heard of before `before`, so that memory stays bounded.
    pub fn forget_before(&mut self, before: Millis) {
        self.batches
            .retain(|_, batch| batch.is_open() || batch.first_seen >= before);
    }
}

/// Whether two batches belong to the same trainer.
fn is_alike(left: &BatchNotice, right: &BatchNotice) -> bool {
    left.host == right.host && left.model == right.model
}
