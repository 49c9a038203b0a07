//! Logs batches that were ended while this node ran items of them.
//!
//! A client's request to end a batch is acknowledged by the node that receives it. Only these log lines show when
//! the node that runs the items learned of the end, and how old its knowledge of the batch was.

use std::collections::BTreeMap;

use havenstage_rollout::ids::BatchId;
use log::info;

use super::Engine;
use super::run::ItemKey;

/// Reason to drop an item: its batch was ended.
pub(super) const BATCH_ENDED: &str = "batch_ended";

impl Engine {
    /// Logs each ended batch that has items among those about to be dropped. There is one line per batch,
    /// since no item of an ended batch is started again.
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
