//! Items that a batch shares with another batch of the same tenant, and the output that they have there. A trainer
//! carries unfinished items over into its next batch; their output is reused instead of produced again.

use std::collections::HashSet;

use havenstage_rollout::batch_state::BatchState;
use havenstage_rollout::ids::{BatchId, ItemId, TenantName, Version};
use havenstage_rollout::record::OutputEvent;
use havenstage_rollout::schedule::WaitingItem;
use log::info;

use super::Engine;
use super::run::ItemKey;
use crate::context::Context;

/// Items of a batch that another batch of the same tenant holds too.
#[derive(Debug)]
pub(super) struct CarriedOver {
    pub(super) items: HashSet<ItemId>,
    /// Whether the partitions were read far enough for all other batches to be known.
    is_final: bool,
}

impl Engine {
    /// Finds the carried over items of this node's batches in a partition. A batch is looked at again in each round
    /// of planning until all other batches are known.
    pub(super) fn find_carried_over(&mut self, partition: usize) {
        let inner = self.context.partitions.at(partition).lock();
        let new: Vec<NewBatch> = inner
            .state
            .batches()
            .filter(|batch| self.is_own(batch) && !self.has_final_carried_over(&batch.id))
            .map(NewBatch::of)
            .collect();
        drop(inner);
        let is_final = self
            .context
            .partitions
            .are_needed_current(self.context.now());
        for batch in new {
            let items = find_carried_over_items(&self.context, &batch);
            self.carried_over
                .insert(batch.id, CarriedOver { items, is_final });
        }
    }

    /// Whether the search for a batch's carried over items covered all other batches.
    fn has_final_carried_over(&self, batch: &BatchId) -> bool {
        self.carried_over
            .get(batch)
            .is_some_and(|carried_over| carried_over.is_final)
    }

    /// Reuses the output that another batch has of the item. Returns whether that is the whole output.
    pub(super) fn reuse_output(&mut self, key: &ItemKey, waiting: &WaitingItem) -> bool {
        if self.items.get(key).is_none_or(|item| item.events > 0) {
            return false;
        }
        let is_carried_over = self
            .carried_over
            .get(&key.batch)
            .is_some_and(|carried_over| carried_over.items.contains(&key.item));
        if !is_carried_over {
            return false;
        }
        let inner = self.context.partition_of(&key.batch).lock();
        let Some(batch) = inner.state.batch(&key.batch) else {
            return false;
        };
        let rule = ReuseRule {
            tenant: batch.tenant.clone(),
            minimum: waiting.minimum_version,
            is_single: self.is_single_version(batch),
        };
        drop(inner);
        let Some(reusable) = find_reusable_output(&self.context, key, &rule) else {
            return false;
        };
        info!(event = "output_kept", request = key.item.as_str(), batch = key.batch.as_str(),
            events = reusable.events.len(), is_whole = reusable.is_whole; "");
        self.adopt_output(key, reusable.events);
        if reusable.is_whole {
            self.score_or_finish(key);
        }
        reusable.is_whole
    }
}

/// A batch whose items are searched for in other batches.
struct NewBatch {
    id: BatchId,
    tenant: Option<TenantName>,
    items: Vec<ItemId>,
}

impl NewBatch {
    fn of(batch: &BatchState) -> Self {
        Self {
            id: batch.id.clone(),
            tenant: batch.tenant.clone(),
            items: batch.items.iter().map(|item| item.id.clone()).collect(),
        }
    }
}

/// Items of a batch that another batch of the same tenant holds too.
fn find_carried_over_items(context: &Context, batch: &NewBatch) -> HashSet<ItemId> {
    let mut carried_over = HashSet::new();
    for index in context.partitions.needed() {
        let inner = context.partitions.at(index).lock();
        let others = inner.state.batches();
        for other in others.filter(|other| other.id != batch.id && other.tenant == batch.tenant) {
            let items = batch.items.iter();
            carried_over.extend(items.filter(|item| other.item(item).is_some()).cloned());
        }
    }
    carried_over
}

struct ReusableOutput {
    events: Vec<OutputEvent>,
    is_whole: bool,
}

/// Which output of other batches a batch may reuse.
struct ReuseRule {
    /// The tenant that both batches must belong to. Otherwise a tenant could read another's output by submitting
    /// the ids of its items.
    tenant: Option<TenantName>,
    /// The oldest weight version that may have produced an event.
    minimum: Version,
    /// Whether all events must come from one version.
    is_single: bool,
}

/// The longest output that another batch of the tenant has of the item, if all its versions are allowed.
fn find_reusable_output(
    context: &Context,
    key: &ItemKey,
    rule: &ReuseRule,
) -> Option<ReusableOutput> {
    let mut best: Option<ReusableOutput> = None;
    for index in context.partitions.needed() {
        let inner = context.partitions.at(index).lock();
        let others = inner.state.batches();
        for other in others.filter(|other| other.id != key.batch && other.tenant == rule.tenant) {
            let Some(item) = other.item(&key.item) else {
                continue;
            };
            let (events, is_whole) = match &item.result {
                Some(result) => (&result.events, !result.events.is_empty()),
                None => (&item.events, false),
            };
            let first = events.first().map(|event| event.version);
            let is_allowed = events.iter().all(|event| {
                event.version >= rule.minimum && (!rule.is_single || Some(event.version) == first)
            });
            let is_better = best
                .as_ref()
                .is_none_or(|best| events.len() > best.events.len());
            if is_allowed && is_better && !events.is_empty() {
                best = Some(ReusableOutput {
                    events: events.clone(),
                    is_whole,
                });
            }
        }
    }
    best
}
