//! Keeps, claims and releases the leases of batches.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::fold::BatchState;
use havenstage_rollout::framing;
use havenstage_rollout::ids::{BatchId, NodeId};
use havenstage_rollout::lease::{ClaimTiming, LeaseState, Term};
use havenstage_rollout::orders::OrderRecord;
use havenstage_rollout::record::BatchRecord;
use log::info;
use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64;

use super::run::ItemKey;
use super::{Engine, TaskEnded};
use crate::context::Context;
use crate::order_run::append;

/// A batch whose lease this node holds.
struct HeldBatch {
    partition: u32,
    batch: BatchId,
    term: Term,
}

/// What a look at the open batches calls for.
#[derive(Default)]
struct LeaseWork {
    held: Vec<HeldBatch>,
    claimable: Vec<(u32, BatchId)>,
}

impl Engine {
    /// Signs of life for batches held, claims for batches without a holder, releases at the end.
    pub(super) fn follow_leases(&mut self) {
        let now = self.context.now();
        let work = self.lease_work(now);
        self.serve_routes(&work.held, now);
        if self.context.releasing.load(Ordering::Relaxed) {
            self.release_all(work.held);
            return;
        }
        if !work.held.is_empty() {
            self.context.note_busy();
        }
        self.kept_at
            .retain(|batch, _| work.held.iter().any(|held| held.batch == *batch));
        for held in work.held {
            self.keep(held, now);
        }
        if self.context.is_stopping() {
            return;
        }
        for (partition, batch) in work.claimable {
            if self.claiming.insert(batch.clone()) {
                let sender = self.ended_sender.clone();
                tokio::spawn(claim(self.context.clone(), partition, batch, sender));
            }
        }
    }

    fn lease_work(&self, now: Millis) -> LeaseWork {
        let mut work = LeaseWork::default();
        for view in &self.context.partitions {
            let readable_since = view.readable_since(now);
            let inner = view.lock();
            for batch in inner.state.batches().filter(|batch| is_kept(batch, now)) {
                let partition = view.id.partition;
                let (id, lease) = (&batch.id, &batch.lease);
                let timing = claim_timing(&self.context, id, lease);
                if lease.is_held_by(&self.context.node) {
                    let term = lease.term();
                    work.held.push(HeldBatch {
                        partition,
                        batch: id.clone(),
                        term,
                    });
                } else if !batch.is_closed()
                    && readable_since.is_some_and(|since| {
                        now >= lease.claimable_at(&self.context.node, since, &timing)
                    })
                {
                    work.claimable.push((partition, id.clone()));
                }
            }
        }
        work
    }

    /// Tells all nodes which routes this node runs batches of, so that they hand it the next ones.
    fn serve_routes(&mut self, held: &[HeldBatch], now: Millis) {
        let keep_ms = self.context.settings.tuning.keep_ms;
        let is_due = now.saturating_sub(self.served_at) >= keep_ms;
        if held.is_empty() || !is_due || self.context.is_stopping() {
            return;
        }
        let Some(table) = self.context.routes() else {
            return;
        };
        let routes: BTreeSet<String> = held
            .iter()
            .filter_map(|held| {
                let inner = self.context.partitions[held.partition as usize].lock();
                let batch = inner.state.batch(&held.batch)?;
                let route = table.batch_route(&batch.host, &batch.path)?;
                Some(route.name.clone())
            })
            .collect();
        self.served_at = now;
        let record = OrderRecord::Serves {
            node: self.context.node.clone(),
            routes: routes.into_iter().collect(),
        };
        let context = self.context.clone();
        // One that is lost is followed by the next.
        tokio::spawn(async move { append(&context, &record).await });
    }

    fn keep(&mut self, held: HeldBatch, now: Millis) {
        let keep_ms = self.context.settings.tuning.keep_ms;
        let kept_at = self.kept_at.get(&held.batch).copied();
        let is_due = kept_at.is_none_or(|kept| now.saturating_sub(kept) >= keep_ms);
        if is_due && !self.outbox(held.partition).is_failing() {
            self.kept_at.insert(held.batch.clone(), now);
            let owner = self.context.node.clone();
            let record = BatchRecord::Kept {
                batch: held.batch,
                term: held.term,
                owner,
            };
            self.push(held.partition, &record);
            self.outbox(held.partition).is_urgent = true;
        }
    }

    fn release_all(&mut self, held: Vec<HeldBatch>) {
        if !self.has_released {
            self.has_released = true;
            info!(event = "batches_released", count = held.len(); "");
            for HeldBatch {
                partition,
                batch,
                term,
            } in held
            {
                self.stop_items_of(&batch);
                self.push(partition, &BatchRecord::Released { batch, term });
                self.outbox(partition).is_urgent = true;
            }
        }
        if self.outboxes.values().all(|outbox| outbox.is_empty()) {
            self.context.released.store(true, Ordering::Relaxed);
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

/// Time after a batch closed in which its owner still gives signs of life, so that the next batch of
/// the route can be given to it.
const LINGER_MS: Millis = 4_000;

/// Whether the batch's owner gives signs of life.
fn is_kept(batch: &BatchState, now: Millis) -> bool {
    batch
        .closed_at
        .is_none_or(|closed_at| now.saturating_sub(closed_at) < LINGER_MS)
}

/// Claims of several nodes are spread by a hash, so that usually the first one is the only one.
fn claim_timing(context: &Context, batch: &BatchId, lease: &LeaseState) -> ClaimTiming {
    let text = format!("{} {batch} {}", context.node, lease.term());
    let orders = context.orders.lock();
    let is_holder_gone = lease
        .holder()
        .is_some_and(|holder| orders.state.is_replaced(holder));
    drop(orders);
    ClaimTiming {
        is_holder_gone,
        ..claim_timing_of(context, &text)
    }
}

/// When a node may claim a lease, by a text that differs from node to node and from term to term.
pub fn claim_timing_of(context: &Context, text: &str) -> ClaimTiming {
    let tuning = &context.settings.tuning;
    let pace = context.pace();
    let spread_ms = (tuning.spread_ms * pace.spread_factor).max(1);
    ClaimTiming {
        silence_ms: tuning.silence_ms + pace.gap_ms,
        spread_ms: xxh3_64(text.as_bytes()) % spread_ms,
        is_holder_gone: false,
    }
}

async fn claim(
    context: Arc<Context>,
    partition: u32,
    batch: BatchId,
    sender: UnboundedSender<TaskEnded>,
) {
    claim_once(&context, partition, &batch).await;
    // The engine is gone only when the process ends.
    let _ = sender.send(TaskEnded::Claim { batch });
}

/// Claims a batch if the log, read to its end, still shows no sign of its holder.
async fn claim_once(context: &Context, partition: u32, batch: &BatchId) {
    let view = &context.partitions[partition as usize];
    let log = context.log.as_ref();
    if view
        .confirm(log, context.clock, Duration::ZERO)
        .await
        .is_err()
    {
        view.read_failed();
        return;
    }
    let Some((term, former)) = claimable(context, partition, batch) else {
        return;
    };
    let owner = context.node.clone();
    let record = BatchRecord::Claimed {
        batch: batch.clone(),
        term: term + 1,
        owner,
    };
    let records = framing::split(&record.encode(), context.settings.log.record_bytes);
    let appended = context.log.append(view.id, records).await;
    let outcome = appended.map_or_else(|error| error.to_string(), |_| "written".to_owned());
    let former = former.map_or("none".to_owned(), |former| former.to_string());
    info!(event = "batch_claimed", batch = batch.as_str(), term = term + 1,
        former = former.as_str(), outcome = outcome.as_str(); "");
    // Whether the claim counts is seen in the log.
    let _ = view.confirm(log, context.clock, Duration::ZERO).await;
}

/// The current term and holder, if this node may claim the batch now.
fn claimable(context: &Context, partition: u32, batch: &BatchId) -> Option<(Term, Option<NodeId>)> {
    let view = &context.partitions[partition as usize];
    let readable_since = view.readable_since(context.now())?;
    let inner = view.lock();
    let state = inner
        .state
        .batch(batch)
        .filter(|batch| !batch.is_closed())?;
    let timing = claim_timing(context, batch, &state.lease);
    let at = state
        .lease
        .claimable_at(&context.node, readable_since, &timing);
    (context.now() >= at).then(|| (state.lease.term(), state.lease.holder().cloned()))
}
