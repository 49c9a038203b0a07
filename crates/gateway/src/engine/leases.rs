//! Which batches this node runs, which it may take over, and how it gives them up.

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
use super::claim::{self, ClaimOutcome, timing_of};
use super::run::ItemKey;
use crate::claim_timing::claim_retry_delay_ms;
use crate::context::{CONTROL, Context};
use crate::log_writes::{append_control, append_or_warn};

/// Time after a batch closed in which its owner still says that it serves the route, so that the
/// route's next batch can be given to it.
const LINGER_MS: Millis = 4_000;
/// Pause before a record of the index is appended again.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);
/// Time after which a batch that is still open in the index is told to be closed once more.
const TELL_AGAIN_MS: Millis = 2_000;

/// A batch whose lease this node holds.
pub(super) struct HeldBatch {
    pub(super) batch: BatchId,
    pub(super) host: String,
    pub(super) path: String,
    /// Whether something is left to be done.
    pub(super) is_open: bool,
    term: Term,
}

/// What a look at the index calls for.
#[derive(Default)]
struct LeaseWork {
    held: Vec<HeldBatch>,
    /// Batches of which nothing is left to be done, though the index does not say so.
    closed: Vec<BatchId>,
    claimable: Vec<BatchId>,
}

/// What this node's own copy of a batch's partition tells of it.
enum LocalCopy {
    /// The batch is there, under this lease.
    Present { lease: LeaseState, is_open: bool },
    /// It is not there, and the partition has been read whole.
    Absent,
    /// The partition has not been read to its end, or not without a gap.
    Unread,
}

impl Engine {
    /// Tells which batches this node runs, claims those without an owner, releases all at the end.
    pub(super) fn follow_leases(&mut self) {
        let now = self.context.now();
        let recent = recent_batches(&self.context, now);
        self.forget_all_but(&recent);
        let work = self.lease_work(recent, now);
        if self.context.releasing.load(Ordering::Relaxed) {
            self.release_all(work.held);
            return;
        }
        if !work.held.is_empty() {
            self.context.note_busy();
        }
        self.tell_what_runs(&work.held, now);
        for batch in work.closed {
            self.tell_closed(batch, now);
        }
        if self.context.is_stopping() {
            return;
        }
        for batch in work.claimable {
            if self.claiming.insert(batch.clone()) {
                let silent = self.rivals.remove(&batch);
                let sender = self.ended_sender.clone();
                tokio::spawn(claim::claim(self.context.clone(), batch, silent, sender));
            }
        }
    }

    /// Forgets what was noted of batches that are long closed.
    fn forget_all_but(&mut self, recent: &[IndexedBatch]) {
        let recent: BTreeSet<&BatchId> = recent.iter().map(|batch| &batch.notice.batch).collect();
        self.told_closed.retain(|batch, _| recent.contains(batch));
        self.not_claimed_before
            .retain(|batch, _| recent.contains(batch));
        self.rivals.retain(|batch, _| recent.contains(batch));
        self.carried.retain(|batch, _| recent.contains(batch));
    }

    fn lease_work(&self, recent: Vec<IndexedBatch>, now: Millis) -> LeaseWork {
        let readable_since = self.context.control.readable_since(now);
        let mut work = LeaseWork::default();
        for batch in recent {
            let id = &batch.notice.batch;
            match copy_of(&self.context, id, now) {
                LocalCopy::Present { lease, is_open } if lease.is_held_by(&self.context.node) => {
                    if !is_open && batch.is_open() {
                        work.closed.push(id.clone());
                    }
                    work.held.push(held(&batch, &lease, is_open));
                    continue;
                }
                LocalCopy::Absent if never_came(&batch, now) => work.closed.push(id.clone()),
                _ => {}
            }
            if readable_since.is_some_and(|since| is_claimable(&self.context, &batch, since, now)) {
                work.claimable.push(id.clone());
            }
        }
        work.claimable.retain(|batch| {
            self.not_claimed_before
                .get(batch)
                .is_none_or(|at| *at <= now)
        });
        work
    }

    /// A claim ended; the batch is left alone for a while unless this node holds it now.
    pub(super) fn claim_ended(&mut self, batch: BatchId, outcome: ClaimOutcome) {
        self.claiming.remove(&batch);
        self.needs_plan = true;
        let now = self.context.now();
        let silence_ms = self.context.settings.tuning.silence_ms;
        let claim = format!("{} {batch}", self.context.node);
        let again_after_ms = claim_retry_delay_ms(&self.context, &claim);
        match outcome {
            ClaimOutcome::Claimed => {}
            ClaimOutcome::Closed => self.tell_closed(batch, now),
            ClaimOutcome::HeldBy(rival) => {
                self.rivals.insert(batch.clone(), rival);
                self.not_claimed_before.insert(batch, now + silence_ms);
            }
            ClaimOutcome::NotNow => {
                self.not_claimed_before.insert(batch, now + again_after_ms);
            }
        }
    }

    /// Tells all nodes that nothing is left to be done about a batch.
    fn tell_closed(&mut self, batch: BatchId, now: Millis) {
        let told = self.told_closed.get(&batch);
        if told.is_some_and(|at| now.saturating_sub(*at) < TELL_AGAIN_MS) {
            return;
        }
        self.told_closed.insert(batch.clone(), now);
        let context = self.context.clone();
        let record = ControlRecord::BatchClosed { batch };
        tokio::spawn(append_or_warn(context, CONTROL, record));
    }

    fn release_all(&mut self, held: Vec<HeldBatch>) {
        let open: Vec<HeldBatch> = held.into_iter().filter(|held| held.is_open).collect();
        if !self.has_released {
            self.has_released = true;
            info!(event = "batches_released", count = open.len(); "");
            self.releases = open.iter().map(|held| held.batch.clone()).collect();
            for HeldBatch { batch, term, .. } in open {
                self.stop_items_of(&batch);
                let partition = self.context.partitions.index_of(&batch);
                self.push(partition, &BatchRecord::Released { batch, term });
                self.outbox(partition).is_urgent = true;
            }
        }
        let is_written = self.outboxes.values().all(|outbox| outbox.is_empty());
        if is_written && !self.has_told_release {
            self.has_told_release = true;
            let batches = std::mem::take(&mut self.releases);
            tokio::spawn(tell_release(self.context.clone(), batches));
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

/// Tells all nodes that batches have no owner; they wait for it only until this node's time is up.
async fn tell_release(context: Arc<Context>, batches: Vec<BatchId>) {
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
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
    context.released.store(true, Ordering::Relaxed);
}

/// Batches that are open, or were a moment ago.
fn recent_batches(context: &Context, now: Millis) -> Vec<IndexedBatch> {
    let control = context.control.lock();
    let is_recent = |batch: &&IndexedBatch| {
        batch
            .closed_at
            .is_none_or(|closed| now.saturating_sub(closed) < LINGER_MS)
    };
    control
        .state
        .index()
        .batches()
        .filter(is_recent)
        .cloned()
        .collect()
}

fn held(batch: &IndexedBatch, lease: &LeaseState, is_open: bool) -> HeldBatch {
    HeldBatch {
        batch: batch.notice.batch.clone(),
        host: batch.notice.host.clone(),
        path: batch.notice.path.clone(),
        is_open,
        term: lease.term(),
    }
}

fn copy_of(context: &Context, batch: &BatchId, now: Millis) -> LocalCopy {
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

/// An owner that says that it runs the batch has read its items, though they may be dropped by now.
fn never_came(batch: &IndexedBatch, now: Millis) -> bool {
    let last_sign = batch.first_seen.max(batch.owner.last_seen());
    batch.is_open() && now.saturating_sub(last_sign) > MISSING_ITEMS_TIMEOUT_MS
}

/// Whether this node may claim a batch, by what the index tells of its owner.
pub(super) fn is_claimable(
    context: &Context,
    batch: &IndexedBatch,
    readable_since: Millis,
    now: Millis,
) -> bool {
    let timing = timing_of(context, batch);
    let at = match batch.owner.is_held_by(&context.node) {
        // The index names this node, and the batch's own partition another, which would have told.
        true => batch.owner.last_seen().max(readable_since) + timing.silence_ms,
        false => batch
            .owner
            .claimable_at(&context.node, readable_since, &timing),
    };
    batch.is_open() && now >= at && may_own(context, batch)
}

/// Whether a batch may be kept in this node's region, by its route.
fn may_own(context: &Context, batch: &IndexedBatch) -> bool {
    let BatchNotice { host, path, .. } = &batch.notice;
    let residency = context.batch_residency(host, path, None);
    residency.allows(context.own_region().as_ref())
}

/// Ids of the open ones among held batches.
pub(super) fn open_ids(held: &[HeldBatch]) -> BTreeSet<BatchId> {
    let open = held.iter().filter(|held| held.is_open);
    open.map(|held| held.batch.clone()).collect()
}
