//! Up to which age a node's knowledge of a batch allows work for it: items, runs that go on, reward
//! calls, and each send of them anew.
//!
//! Another node may have acknowledged the batch's end since, and only the log tells of it. A read that
//! fails here says nothing about what the log does for other nodes: it may refuse this one, or this
//! one's connections may have fallen silent. So knowledge grows old alike whether reads fail or not.

use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::Millis;
use havenstage_rollout::ids::BatchId;

use crate::batch_partitions::BatchView;
use crate::context::Context;

/// Share of the time after which an end is in force up to which knowledge of a batch is acted on; the
/// rest is for a request's way to its back end.
const START_SHARE: f64 = 2.0 / 3.0;
/// Share of the time after which an end is in force up to which a request may be written that rests on
/// what was known then; the rest is for its way to the back end. Work is started up to two thirds of
/// that time, and may then wait for a connection or for the processor.
const WRITE_SHARE: f64 = 0.85;
/// Pause between two looks whether the task that follows a partition could read it again.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

impl Context {
    /// Whether work may be started for the open batches of a partition.
    pub fn can_start_work(&self, partition: &BatchView) -> bool {
        partition.is_usable(self.now(), self.end_share_ms(START_SHARE))
    }

    /// Time after which nothing may be written of a request that is made for a batch; `None` if nothing
    /// may be written at all: the batch is not known, or known to have ended.
    pub fn write_deadline(&self, batch: &BatchId) -> Option<Instant> {
        // Taken together and first: time that passes from here on must not add to what is left.
        let (began, now) = (Instant::now(), self.now());
        let inner = self.partition_of(batch).lock();
        inner.state.batch(batch).filter(|state| !state.ended)?;
        let until = inner.usable_until(self.end_share_ms(WRITE_SHARE))?;
        let left = until.checked_sub(now)?;
        Some(began + Duration::from_millis(left))
    }

    /// Age of what is known of a partition; `None` if it was never read to its end.
    pub fn known_age_ms(&self, partition: &BatchView) -> Option<Millis> {
        let confirmed = partition.lock().confirmed_at()?;
        Some(self.now().saturating_sub(confirmed))
    }

    /// Waits until work may be started for a batch. While its partition can be read, the log is asked at
    /// once: a read that waits for records may be a second from its answer. While it cannot, the task
    /// that follows it asks, with pauses, for all who wait.
    pub async fn wait_until_work_may_start(&self, batch: &BatchId) {
        let partition = self.partition_of(batch);
        let most_age = Duration::from_millis(self.end_share_ms(START_SHARE));
        while !self.can_start_work(partition) {
            if !partition.is_current(self.now()) {
                tokio::time::sleep(LOOK_PAUSE).await;
                continue;
            }
            let log = self.log.as_ref();
            if partition.confirm(log, self.clock, most_age).await.is_err() {
                partition.read_failed();
            }
        }
    }

    fn end_share_ms(&self, share: f64) -> Millis {
        (self.settings.bounds.end_in_force_ms as f64 * share) as Millis
    }
}
