//! Lengths of items: statistics of the finished items of each pool, and the tokens that this node's running items
//! are expected to take on each back end.

use std::collections::BTreeMap;

use havenstage_rollout::batch_state::ItemState;
use havenstage_rollout::expected_length::LengthHistory;
use havenstage_rollout::ids::{BackendId, PoolName};
use havenstage_rollout::schedule::{ItemTokens, RunningItem};
use xxhash_rust::xxh3::xxh3_64;

use super::Engine;
use super::plan::tokens_per_event;
use super::run::ItemKey;

/// Lengths of finished items, and the memory that running items are expected to take.
#[derive(Debug, Default)]
pub(super) struct ItemLengths {
    by_pool: BTreeMap<PoolName, LengthHistory>,
    /// This node's items on each back end, as of the last round of planning.
    on_backends: BTreeMap<BackendId, Vec<ItemTokens>>,
}

impl ItemLengths {
    /// Number of tokens that an item is still expected to produce after `produced_tokens`.
    pub(super) fn expected_remaining(
        &self,
        pool: &PoolName,
        item: &ItemState,
        produced_tokens: u32,
    ) -> u32 {
        match self.by_pool.get(pool) {
            Some(history) => history.expected_remaining(item.expected_tokens, produced_tokens),
            None => {
                LengthHistory::default().expected_remaining(item.expected_tokens, produced_tokens)
            }
        }
    }

    /// Tokens of each of this node's items on a back end, as of the last round of planning.
    pub(super) fn items_on(&self, backend: &BackendId) -> Vec<ItemTokens> {
        self.on_backends.get(backend).cloned().unwrap_or_default()
    }

    /// Tokens that this node's items are expected to hold on each back end when they end.
    pub(super) fn expected_tokens(&self) -> impl Iterator<Item = (&BackendId, u32)> {
        self.on_backends.iter().map(|(backend, items)| {
            let at_end = items.iter().map(|item| item.tokens_at_end());
            (backend, at_end.fold(0, u32::saturating_add))
        })
    }

    /// Forgets the items on all back ends, before a round of planning lists them again.
    pub(super) fn clear_backends(&mut self) {
        self.on_backends.clear();
    }

    /// Adds the running items of a pool to their back ends.
    pub(super) fn add_running(&mut self, running: &[RunningItem]) {
        for running in running {
            self.add_item(&running.backend, running.item.tokens());
        }
    }

    /// Counts an item's tokens on a back end.
    pub(super) fn add_item(&mut self, backend: &BackendId, tokens: ItemTokens) {
        let items = self.on_backends.entry(backend.clone()).or_default();
        items.push(tokens);
    }
}

impl Engine {
    /// Adds the length of an item whose output is whole to the statistics of its pool.
    pub(super) fn record_length(&mut self, key: &ItemKey) {
        let Some(item) = self.items.get(key) else {
            return;
        };
        let (events, estimated_tokens) = (item.events, item.spec.expected_tokens);
        let Some((pool, tokens_per_event)) = self.pool_of(key) else {
            return;
        };
        let history = self.item_lengths.by_pool.entry(pool).or_default();
        history.record_finished(estimated_tokens, events.saturating_mul(tokens_per_event));
    }

    /// The pool that runs an item, and the number of tokens in one of its events.
    fn pool_of(&self, key: &ItemKey) -> Option<(PoolName, u32)> {
        let table = self.context.routes()?;
        let inner = self.context.partition_of(&key.batch).lock();
        let batch = inner.state.batch(&key.batch)?;
        let route = table.batch_route(&batch.host, &batch.path)?;
        let pool = route.pool_for(xxh3_64(key.item.as_str().as_bytes()))?;
        Some((pool.clone(), tokens_per_event(&table, pool)))
    }
}
