//! Claims the lease of a batch whose owner sends no heartbeats, has left, or released it.

use std::sync::Arc;
use std::time::Duration;

use havenstage_rollout::batch_index::IndexedBatch;
use havenstage_rollout::ids::{BatchId, NodeId};
use havenstage_rollout::lease::{ClaimTiming, Term};
use havenstage_rollout::record::BatchRecord;
use log::{info, warn};
use tokio::sync::mpsc::UnboundedSender;

use super::TaskEnd;
use super::leases::is_claimable;
use crate::claim_timing::claim_timing;
use crate::context::Context;
use crate::edge::LogError;
use crate::log_writes::append;

/// Result of an attempt to claim a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This node holds the lease.
    Claimed,
    /// The batch is closed: it ended, or all its results are in the log.
    Closed,
    /// Another node holds the lease, though the index does not name that node yet.
    HeldBy(NodeId),
    /// The claim failed, or its conditions are not met. It may be tried again after a pause.
    RetryLater,
}

/// Whether a batch can be claimed, by the state of its partition, which has been read to its end.
enum ClaimCheck {
    /// It can be claimed under the term after `term`; `former` is the holder until then.
    Claimable {
        term: Term,
        former: Option<NodeId>,
    },
    Closed,
    HeldBy(NodeId),
    /// Not known: the state of the partition lacks the batch, for instance because records were missed. Also
    /// used if the batch may not be kept in this node's region.
    Unknown,
}

/// Delays after which this node may claim a batch. They depend on the owner that the index names, so that
/// not all nodes claim it at once.
pub(super) fn batch_claim_timing(context: &Context, batch: &IndexedBatch) -> ClaimTiming {
    let owner = batch.owner.holder().map(ToString::to_string);
    let owner = owner.unwrap_or_default();
    let claim = format!("{} {} {owner}", context.node, batch.notice.batch);
    claim_timing(context, &claim)
}

/// Claims a batch and sends the result to the engine. `silent_holder` is a node that held the lease at an
/// earlier attempt and has not announced since then that it runs the batch.
pub(super) async fn claim(
    context: Arc<Context>,
    batch: BatchId,
    silent_holder: Option<NodeId>,
    sender: UnboundedSender<TaskEnd>,
) {
    let claimed = claim_once(&context, &batch, silent_holder.as_ref()).await;
    let outcome = claimed.unwrap_or_else(|error| {
        warn!(event = "claim_failed", batch = batch.as_str(),
            reason = error.to_string().as_str(); "");
        ClaimOutcome::RetryLater
    });
    // The engine is gone only when the process ends.
    let _ = sender.send(TaskEnd::Claim { batch, outcome });
}

/// Reads the index and the batch's partition to their ends, and claims the batch if its owner is still
/// silent in the index and the partition holds no other claim. Reads the partition again afterwards, since
/// only that shows whether the claim counts: another node may have claimed the batch first.
async fn claim_once(
    context: &Context,
    batch: &BatchId,
    silent_holder: Option<&NodeId>,
) -> Result<ClaimOutcome, LogError> {
    let (log, clock) = (context.log.as_ref(), context.clock);
    let confirmed = context.control.confirm(log, clock, Duration::ZERO).await;
    if let Err(error) = confirmed {
        context.control.read_failed();
        return Err(error);
    }
    let Some(indexed) = still_claimable(context, batch) else {
        return Ok(ClaimOutcome::RetryLater);
    };
    let view = context.partition_of(batch);
    view.confirm(log, clock, Duration::ZERO).await?;
    let (term, former) = match check_claim(context, &indexed, silent_holder) {
        ClaimCheck::Claimable { term, former } => (term, former),
        ClaimCheck::Closed => return Ok(ClaimOutcome::Closed),
        ClaimCheck::HeldBy(node) => return Ok(ClaimOutcome::HeldBy(node)),
        ClaimCheck::Unknown => return Ok(ClaimOutcome::RetryLater),
    };
    let record = BatchRecord::Claimed {
        batch: batch.clone(),
        term: term + 1,
        owner: context.node.clone(),
    };
    let appended = append(context, view.id, &record).await;
    let outcome = appended.map_or_else(|error| error.to_string(), |_| "written".to_owned());
    let former = former.map_or("none".to_owned(), |former| former.to_string());
    info!(event = "batch_claimed", batch = batch.as_str(), term = term + 1,
        former = former.as_str(), outcome = outcome.as_str(); "");
    view.confirm(log, clock, Duration::ZERO).await?;
    match context.holds(batch) {
        true => Ok(ClaimOutcome::Claimed),
        false => Ok(ClaimOutcome::RetryLater),
    }
}

fn still_claimable(context: &Context, batch: &BatchId) -> Option<IndexedBatch> {
    let now = context.now();
    let readable_since = context.control.readable_since(now)?;
    let control = context.control.lock();
    let indexed = control.state.index().batch(batch)?.clone();
    drop(control);
    is_claimable(context, &indexed, readable_since, now).then_some(indexed)
}

fn check_claim(
    context: &Context,
    indexed: &IndexedBatch,
    silent_holder: Option<&NodeId>,
) -> ClaimCheck {
    let inner = context.partition_of(&indexed.notice.batch).lock();
    let Some(state) = inner.state.batch(&indexed.notice.batch) else {
        return ClaimCheck::Unknown;
    };
    if state.is_closed() {
        return ClaimCheck::Closed;
    }
    // The index does not hold the tenant, so its residency rule is checked here.
    let residency = context.batch_residency(&state.host, &state.path, state.tenant.as_ref());
    if !residency.allows(context.own_region().as_ref()) {
        return ClaimCheck::Unknown;
    }
    // If the index does not name the holder of the lease, the holder has claimed the batch just now, or it
    // died before it could announce it.
    let named = indexed.owner.holder();
    let other_holder = state.lease.holder().filter(|holder| {
        Some(*holder) != named && Some(*holder) != silent_holder && **holder != context.node
    });
    match other_holder {
        Some(other_holder) => ClaimCheck::HeldBy(other_holder.clone()),
        None => ClaimCheck::Claimable {
            term: state.lease.term(),
            former: state.lease.holder().cloned(),
        },
    }
}
