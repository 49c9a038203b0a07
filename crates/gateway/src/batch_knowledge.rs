//! Limits on how old a node's knowledge of a batch may be when the node starts work for it: items, resumed runs,
//! reward calls, and each retry of these.
//!
//! Another node may have acknowledged the end of the batch in the meantime, which this node learns only from the log.
//! A failed read says nothing about whether the log serves other nodes: it may reject only this node, or this node's
//! connections may have gone silent. So knowledge ages in the same way whether reads fail or not.

use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::Millis;
use havenstage_rollout::ids::BatchId;

use crate::batch_partitions::BatchView;
use crate::context::Context;

/// Maximum age of the knowledge on which work is started, as a share of `bounds.end_in_force_ms`, the time after which
/// an acknowledged end must be in force. The rest is for a request's way to its back end.
const START_SHARE: f64 = 2.0 / 3.0;
/// Maximum age of the knowledge on which a request may still be written, as a share of `bounds.end_in_force_ms`; the
/// rest is for the request's way to the back end. It exceeds the share for starting work, since work that was started
/// may wait for a connection or for the processor.
const WRITE_SHARE: f64 = 0.85;
/// Pause between checks whether the task that follows a partition has been able to read it again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Context {
    /// Whether this node's knowledge of a partition is recent enough to start work for its open batches.
    pub fn can_start_work(&self, partition: &BatchView) -> bool {
        partition.is_usable(self.now(), self.end_share_ms(START_SHARE))
    }

    /// Time until which a request made for a batch may be written; `None` if it may not be written at all: the batch
    /// is unknown here, known to have ended, or what is known of it is too old.
    pub fn write_deadline(&self, batch: &BatchId) -> Option<Instant> {
        // Both clocks are read together, before anything else, so that time that passes below does not extend the
        // deadline.
        let (began, now) = (Instant::now(), self.now());
        let inner = self.partition_of(batch).lock();
        inner.state.batch(batch).filter(|state| !state.ended)?;
        let until = inner.usable_until(self.end_share_ms(WRITE_SHARE))?;
        let remaining_ms = until.checked_sub(now)?;
        Some(began + Duration::from_millis(remaining_ms))
    }

    /// Milliseconds since a partition was last confirmed to be read to its end; `None` if it never was.
    pub fn known_age_ms(&self, partition: &BatchView) -> Option<Millis> {
        let confirmed = partition.lock().confirmed_at()?;
        Some(self.now().saturating_sub(confirmed))
    }

    /// Waits until work may be started for a batch. While its partition can be read, this reads it at once, since the
    /// follower's long poll may take another second to return. While it cannot be read, the task that follows the
    /// partition retries, with pauses, on behalf of all waiters.
    pub async fn wait_until_work_may_start(&self, batch: &BatchId) {
        let partition = self.partition_of(batch);
        let max_age = Duration::from_millis(self.end_share_ms(START_SHARE));
        while !self.can_start_work(partition) {
            if !partition.is_current(self.now()) {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            let log = self.log.as_ref();
            if partition.confirm(log, self.clock, max_age).await.is_err() {
                partition.read_failed();
            }
        }
    }

    fn end_share_ms(&self, share: f64) -> Millis {
        (self.settings.bounds.end_in_force_ms as f64 * share) as Millis
    }
}
