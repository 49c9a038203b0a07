//! Maintains this node's leases: sends heartbeats for batches that it holds, claims batches without a live owner,
//! announces closed batches, and releases all when the process stops.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::batch_index::{BatchNotice, IndexedBatch, MISSING_ITEMS_TIMEOUT_MS};
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::ids::BatchId;
use havenstage_rollout::lease::{LeaseState, Term};
use havenstage_rollout::record::BatchRecord;
use log::{info, warn};

use super::Engine;
use super::claim::{self, ClaimOutcome, batch_claim_timing};
use super::run::ItemKey;
use crate::claim_timing::claim_retry_delay_ms;
use crate::context::{CONTROL, Context};
use crate::log_writes::{append_control, append_or_warn};

/// Time after a batch is closed for which its owner's heartbeats still name the route, so that the route's next
/// batch can be submitted to the same node.
const CLOSED_LINGER_MS: Millis = 4_000;
/// Pause before the append of a release announcement is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time after which a batch is announced as closed again if the index still shows it as open.
const CLOSED_REPEAT_MS: Millis = 2_000;

/// A batch whose lease this node holds.
pub(super) struct HeldBatch {
    pub(super) batch: BatchId,
    pub(super) host: String,
    pub(super) path: String,
    /// Whether the batch has items without a result and was not ended.
    pub(super) is_open: bool,
    term: Term,
}

/// What is to be done about leases, by the batch index.
#[derive(Default)]
struct LeaseWork {
    /// Batches whose lease this node holds.
    held: Vec<HeldBatch>,
    /// Batches that are closed, or whose items never arrived, though the index shows them as open.
    closed: Vec<BatchId>,
    /// Batches that this node may claim now.
    claimable: Vec<BatchId>,
}

/// A batch as this node's copy of its partition shows it.
enum LocalCopy {
    /// The batch is there, under this lease.
    Present { lease: LeaseState, is_open: bool },
    /// The partition was read to its end without a gap, and does not hold the batch.
    Absent,
    /// The batch was not found, but the partition was not read to its end, or records of it were missed.
    Unread,
}

impl Engine {
    /// Sends heartbeats, announces closed batches and claims batches without a live owner. Releases all batches
    /// instead once the process is to do so.
    pub(super) fn update_leases(&mut self) {
        let now = self.context.now();
        let recent = recent_batches(&self.context, now);
        self.retain_recent(&recent);
        let work = self.lease_work(recent, now);
        if self.context.releasing.load(Ordering::Relaxed) {
            self.release_all(work.held);
            return;
        }
        if !work.held.is_empty() {
            self.context.mark_busy();
        }
        self.send_heartbeat(&work.held, now);
        for batch in work.closed {
            self.announce_closed(batch, now);
        }
        if self.context.is_stopping() {
            return;
        }
        for batch in work.claimable {
            if self.claiming.insert(batch.clone()) {
                let silent_holder = self.unindexed_holders.remove(&batch);
                let sender = self.task_end_sender.clone();
                tokio::spawn(claim::claim(
                    self.context.clone(),
                    batch,
                    silent_holder,
                    sender,
                ));
            }
        }
    }

    /// Drops all data on batches that are not in `recent`.
    fn retain_recent(&mut self, recent: &[IndexedBatch]) {
        let recent: BTreeSet<&BatchId> = recent.iter().map(|batch| &batch.notice.batch).collect();
        self.closed_announced_at
            .retain(|batch, _| recent.contains(batch));
        self.claim_not_before
            .retain(|batch, _| recent.contains(batch));
        self.unindexed_holders
            .retain(|batch, _| recent.contains(batch));
        self.carried_over.retain(|batch, _| recent.contains(batch));
    }

    fn lease_work(&self, recent: Vec<IndexedBatch>, now: Millis) -> LeaseWork {
        let readable_since = self.context.control.readable_since(now);
        let mut work = LeaseWork::default();
        for batch in recent {
            let id = &batch.notice.batch;
            match read_local_copy(&self.context, id, now) {
                LocalCopy::Present { lease, is_open } if lease.is_held_by(&self.context.node) => {
                    if !is_open && batch.is_open() {
                        work.closed.push(id.clone());
                    }
                    work.held.push(held_batch(&batch, &lease, is_open));
                    continue;
                }
                LocalCopy::Absent if are_items_missing(&batch, now) => work.closed.push(id.clone()),
                _ => {}
            }
            if readable_since.is_some_and(|since| is_claimable(&self.context, &batch, since, now)) {
                work.claimable.push(id.clone());
            }
        }
        work.claimable
            .retain(|batch| self.claim_not_before.get(batch).is_none_or(|at| *at <= now));
        work
    }

    /// Handles the result of a claim. If this node does not hold the batch now, it waits before the next claim.
    pub(super) fn handle_claim_end(&mut self, batch: BatchId, outcome: ClaimOutcome) {
        self.claiming.remove(&batch);
        self.needs_plan = true;
        let now = self.context.now();
        let silence_ms = self.context.settings.tuning.silence_ms;
        let claim = format!("{} {batch}", self.context.node);
        let retry_after_ms = claim_retry_delay_ms(&self.context, &claim);
        match outcome {
            ClaimOutcome::Claimed => {}
            ClaimOutcome::Closed => self.announce_closed(batch, now),
            ClaimOutcome::HeldBy(other_holder) => {
                self.unindexed_holders.insert(batch.clone(), other_holder);
                self.claim_not_before.insert(batch, now + silence_ms);
            }
            ClaimOutcome::RetryLater => {
                self.claim_not_before.insert(batch, now + retry_after_ms);
            }
        }
    }

    /// Announces to all nodes that a batch is closed.
    fn announce_closed(&mut self, batch: BatchId, now: Millis) {
        let announced_at = self.closed_announced_at.get(&batch);
        if announced_at.is_some_and(|at| now.saturating_sub(*at) < CLOSED_REPEAT_MS) {
            return;
        }
        self.closed_announced_at.insert(batch.clone(), now);
        let context = self.context.clone();
        let record = ControlRecord::BatchClosed { batch };
        tokio::spawn(append_or_warn(context, CONTROL, record));
    }

    fn release_all(&mut self, held: Vec<HeldBatch>) {
        let open: Vec<HeldBatch> = held.into_iter().filter(|batch| batch.is_open).collect();
        if !self.has_released {
            self.has_released = true;
            info!(event = "batches_released", count = open.len(); "");
            self.released_batches = open.iter().map(|held| held.batch.clone()).collect();
            for HeldBatch { batch, term, .. } in open {
                self.stop_items_of(&batch);
                let partition = self.context.partitions.index_of(&batch);
                self.queue_record(partition, &BatchRecord::Released { batch, term });
                self.outbox(partition).is_urgent = true;
            }
        }
        let is_written = self.outboxes.values().all(|outbox| outbox.is_empty());
        if is_written && !self.is_release_announced {
            self.is_release_announced = true;
            let batches = std::mem::take(&mut self.released_batches);
            tokio::spawn(announce_release(self.context.clone(), batches));
        }
    }

    fn stop_items_of(&mut self, batch: &BatchId) {
        let keys: Vec<ItemKey> = self
            .items
            .keys()
            .filter(|key| key.batch == *batch)
            .cloned()
            .collect();
        for key in keys {
            self.stop_item(&key);
        }
    }
}

/// Announces to all nodes that batches have no owner. Retries until it succeeds; the process does not wait for it
/// beyond its own time limit to stop.
async fn announce_release(context: Arc<Context>, batches: Vec<BatchId>) {
    if batches.is_empty() {
        context.released.store(true, Ordering::Relaxed);
        return;
    }
    let record = ControlRecord::BatchesReleased {
        node: context.node.clone(),
        batches,
    };
    while let Err(error) = append_control(&context, &record).await {
        warn!(event = "release_not_written", reason = error.to_string().as_str(); "");
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    context.released.store(true, Ordering::Relaxed);
}

/// Batches that are open, or were closed less than `CLOSED_LINGER_MS` ago.
fn recent_batches(context: &Context, now: Millis) -> Vec<IndexedBatch> {
    let control = context.control.lock();
    let is_recent = |batch: &&IndexedBatch| {
        batch
            .closed_at
            .is_none_or(|closed| now.saturating_sub(closed) < CLOSED_LINGER_MS)
    };
    control
        .state
        .index()
        .batches()
        .filter(is_recent)
        .cloned()
        .collect()
}

fn held_batch(batch: &IndexedBatch, lease: &LeaseState, is_open: bool) -> HeldBatch {
    HeldBatch {
        batch: batch.notice.batch.clone(),
        host: batch.notice.host.clone(),
        path: batch.notice.path.clone(),
        is_open,
        term: lease.term(),
    }
}

fn read_local_copy(context: &Context, batch: &BatchId, now: Millis) -> LocalCopy {
    let view = context.partition_of(batch);
    let is_read_to_end = !view.is_behind(now);
    let inner = view.lock();
    match inner.state.batch(batch) {
        Some(state) => LocalCopy::Present {
            lease: state.lease.clone(),
            is_open: !state.is_closed(),
        },
        None if is_read_to_end && !inner.state.has_missed_records() => LocalCopy::Absent,
        None => LocalCopy::Unread,
    }
}

/// Whether the items of a batch never reached its partition. An owner that names the batch in its heartbeats has
/// read the items, even if the log has dropped them by now, so the time limit starts at its last heartbeat.
fn are_items_missing(batch: &IndexedBatch, now: Millis) -> bool {
    let last_seen = batch.first_seen.max(batch.owner.last_seen());
    batch.is_open() && now.saturating_sub(last_seen) > MISSING_ITEMS_TIMEOUT_MS
}

/// Whether this node may claim a batch now, by the last heartbeat of the owner that the index names.
pub(super) fn is_claimable(
    context: &Context,
    batch: &IndexedBatch,
    readable_since: Millis,
    now: Millis,
) -> bool {
    let timing = batch_claim_timing(context, batch);
    let at = match batch.owner.is_held_by(&context.node) {
        // The index names this node as the owner, but the batch's partition names another one. That node is
        // silent, since its heartbeat would have changed the index.
        true => batch.owner.last_seen().max(readable_since) + timing.silence_ms,
        false => batch
            .owner
            .claimable_at(&context.node, readable_since, &timing),
    };
    batch.is_open() && now >= at && can_own(context, batch)
}

/// Whether the residency rule of its route lets a batch be kept in this node's region.
fn can_own(context: &Context, batch: &IndexedBatch) -> bool {
    let BatchNotice { host, path, .. } = &batch.notice;
    let residency = context.batch_residency(host, path, None);
    residency.allows(context.own_region().as_ref())
}

/// Ids of those held batches that are open.
pub(super) fn open_ids(held: &[HeldBatch]) -> BTreeSet<BatchId> {
    let open = held.iter().filter(|batch| batch.is_open);
    open.map(|held| held.batch.clone()).collect()
}
