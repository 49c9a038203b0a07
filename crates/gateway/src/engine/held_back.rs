//! Partitions whose items are not started, since what is known of them is too old.

use havenstage_rollout::Millis;
use log::{info, warn};

use super::Engine;

/// Time for which starts must be held back until it is told: longer than between two answers of the log
/// where nothing is written.
const TOLD_AFTER_MS: Millis = 1_500;

/// Since when starts are held back in a partition.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldBack {
    since: Millis,
    is_told: bool,
}

impl Engine {
    /// Whether nothing of a partition may be started. Tells once when this lasts, and once when it is
    /// over.
    pub(super) fn is_held_back(&mut self, partition: usize, now: Millis) -> bool {
        let view = self.context.partitions.at(partition);
        if self.context.can_start_work(view) {
            self.go_on(partition, now);
            return false;
        }
        let held = self.held_back.entry(partition).or_insert(HeldBack {
            since: now,
            is_told: false,
        });
        if held.is_told || now.saturating_sub(held.since) < TOLD_AFTER_MS {
            return true;
        }
        let inner = view.lock();
        let open_batches = inner.state.batches().filter(|b| !b.is_closed());
        let own = open_batches.filter(|b| b.lease.is_held_by(&self.context.node));
        let batches = own.count();
        drop(inner);
        if batches > 0 {
            held.is_told = true;
            warn!(event = "starts_held_back", partition = view.id.to_string().as_str(),
                batches = batches, known_age_ms = self.context.known_age_ms(view),
                is_read = view.is_current(now); "");
        }
        true
    }

    fn go_on(&mut self, partition: usize, now: Millis) {
        let Some(held) = self.held_back.remove(&partition) else {
            return;
        };
        if held.is_told {
            let view = self.context.partitions.at(partition);
            info!(event = "starts_go_on", partition = view.id.to_string().as_str(),
                held_back_ms = now.saturating_sub(held.since); "");
        }
    }
}
