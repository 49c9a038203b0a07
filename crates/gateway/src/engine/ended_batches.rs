//! Batches that ended while this node ran items of them.
//!
//! The end of a batch is acknowledged by the node that was asked for it. Only these lines say when the
//! node that runs its items learned of the end, and how old its knowledge was.

use std::collections::BTreeMap;

use havenstage_rollout::ids::BatchId;
use log::info;

use super::Engine;
use super::run::ItemKey;

/// Why an item is dropped whose batch ended.
pub(super) const BATCH_ENDED: &str = "batch_ended";

impl Engine {
    /// Tells of each batch that ended among the items that are about to be dropped. There is one line for a
    /// batch, since no item of an ended batch is started again.
    pub(super) fn log_ended_batches(&self, dropped: &[(ItemKey, &'static str)]) {
        let mut items_of: BTreeMap<&BatchId, usize> = BTreeMap::new();
        for (key, reason) in dropped {
            if *reason == BATCH_ENDED {
                *items_of.entry(&key.batch).or_default() += 1;
            }
        }
        for (batch, items) in items_of {
            let partition = self.context.partition_of(batch);
            info!(event = "end_seen", batch = batch.as_str(), items = items,
                known_age_ms = self.context.known_age_ms(partition); "");
        }
    }
}
