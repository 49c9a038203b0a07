//! Items that a batch shares with an earlier one of the same trainer, and the output they have there.

use std::collections::HashSet;

use havenstage_rollout::batch_state::BatchState;
use havenstage_rollout::ids::{BatchId, ItemId, TenantName, Version};
use havenstage_rollout::record::OutputEvent;
use havenstage_rollout::schedule::WaitingItem;
use log::info;

use super::Engine;
use super::run::ItemKey;
use crate::context::Context;

/// Items of a batch that an earlier batch holds too.
#[derive(Debug)]
pub(super) struct Carried {
    pub(super) items: HashSet<ItemId>,
    /// Whether all earlier batches were known.
    is_final: bool,
}

impl Engine {
    /// Notes which items of this node's new batches in a partition are in an earlier batch too.
    pub(super) fn note_carried(&mut self, partition: usize) {
        let inner = self.context.partitions.at(partition).lock();
        let new: Vec<NewBatch> = inner
            .state
            .batches()
            .filter(|batch| self.is_own(batch) && !self.knows_carried(&batch.id))
            .map(NewBatch::of)
            .collect();
        drop(inner);
        let is_final = self
            .context
            .partitions
            .are_needed_current(self.context.now());
        for batch in new {
            let items = carried_items(&self.context, &batch);
            self.carried.insert(batch.id, Carried { items, is_final });
        }
    }

    /// Whether all earlier batches were looked through for this one's items.
    fn knows_carried(&self, batch: &BatchId) -> bool {
        self.carried
            .get(batch)
            .is_some_and(|carried| carried.is_final)
    }

    /// Takes over what an earlier batch has of the item; true if that is its whole output.
    pub(super) fn take_from_earlier_batch(&mut self, key: &ItemKey, waiting: &WaitingItem) -> bool {
        if self.items.get(key).is_none_or(|item| item.events > 0) {
            return false;
        }
        let is_carried = self
            .carried
            .get(&key.batch)
            .is_some_and(|carried| carried.items.contains(&key.item));
        if !is_carried {
            return false;
        }
        let inner = self.context.partition_of(&key.batch).lock();
        let Some(batch) = inner.state.batch(&key.batch) else {
            return false;
        };
        let rule = KeptRule {
            tenant: batch.tenant.clone(),
            minimum: waiting.minimum_version,
            is_single: self.is_single_version(batch),
        };
        drop(inner);
        let Some(kept) = kept_output(&self.context, key, &rule) else {
            return false;
        };
        info!(event = "output_kept", request = key.item.as_str(), batch = key.batch.as_str(),
            events = kept.events.len(), is_whole = kept.is_whole; "");
        self.take_kept_output(key, kept.events);
        if kept.is_whole {
            self.text_is_whole(key);
        }
        kept.is_whole
    }
}

/// A batch whose items are to be looked for in earlier ones.
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
fn carried_items(context: &Context, batch: &NewBatch) -> HashSet<ItemId> {
    let mut carried = HashSet::new();
    for index in context.partitions.needed() {
        let inner = context.partitions.at(index).lock();
        let others = inner.state.batches();
        for other in others.filter(|other| other.id != batch.id && other.tenant == batch.tenant) {
            let items = batch.items.iter();
            carried.extend(items.filter(|item| other.item(item).is_some()).cloned());
        }
    }
    carried
}

struct KeptOutput {
    events: Vec<OutputEvent>,
    is_whole: bool,
}

/// Which kept output a batch may use.
struct KeptRule {
    /// The tenant that both batches belong to: one must not get at another's output by naming its items.
    tenant: Option<TenantName>,
    /// The oldest version that may have made an event.
    minimum: Version,
    /// Whether all events must come from one version.
    is_single: bool,
}

/// The longest output that another batch of the tenant has of the item, if all its versions are allowed.
fn kept_output(context: &Context, key: &ItemKey, rule: &KeptRule) -> Option<KeptOutput> {
    let mut best: Option<KeptOutput> = None;
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
                best = Some(KeptOutput {
                    events: events.clone(),
                    is_whole,
                });
            }
        }
    }
    best
}
