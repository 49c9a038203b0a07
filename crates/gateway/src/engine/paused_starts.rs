//! Pauses the start of items in partitions whose state was last confirmed too long ago: the log may hold the end
//! of a batch that this node has not read.

use havenstage_rollout::Millis;
use log::{info, warn};

use super::Engine;

/// Time for which starts must be paused before it is logged. It is longer than the time between two responses of
/// the log while nothing is written.
const LOG_DELAY_MS: Millis = 1_500;

/// A pause of the starts in a partition.
#[derive(Debug, Clone, Copy)]
pub(super) struct PausedStarts {
    since: Millis,
    is_logged: bool,
}

impl Engine {
    /// Whether no item of a partition may be started. Logs a pause that lasts, if this node holds open batches
    /// in the partition, and its end.
    pub(super) fn are_starts_paused(&mut self, partition: usize, now: Millis) -> bool {
        let view = self.context.partitions.at(partition);
        if self.context.can_start_work(view) {
            self.resume_starts(partition, now);
            return false;
        }
        let paused = self.paused_starts.entry(partition).or_insert(PausedStarts {
            since: now,
            is_logged: false,
        });
        if paused.is_logged || now.saturating_sub(paused.since) < LOG_DELAY_MS {
            return true;
        }
        let inner = view.lock();
        let open_batches = inner.state.batches().filter(|b| !b.is_closed());
        let own = open_batches.filter(|b| b.lease.is_held_by(&self.context.node));
        let batches = own.count();
        drop(inner);
        if batches > 0 {
            paused.is_logged = true;
            warn!(event = "starts_held_back", partition = view.id.to_string().as_str(),
                batches = batches, known_age_ms = self.context.known_age_ms(view),
                is_read = view.is_current(now); "");
        }
        true
    }

    fn resume_starts(&mut self, partition: usize, now: Millis) {
        let Some(paused) = self.paused_starts.remove(&partition) else {
            return;
        };
        if paused.is_logged {
            let view = self.context.partitions.at(partition);
            info!(event = "starts_go_on", partition = view.id.to_string().as_str(),
                held_back_ms = now.saturating_sub(paused.since); "");
        }
    }
}
