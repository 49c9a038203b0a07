//! Takes over a batch whose owner is silent, gone, or gave it up.

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

/// What came of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This node holds the lease.
    Claimed,
    /// Nothing is left to be done about the batch.
    Closed,
    /// Another node has claimed it, though it has not said so to all yet.
    HeldBy(NodeId),
    /// It could not be claimed; not before a while has passed.
    RetryLater,
}

/// What a batch's partition, read to its end, says to a claim.
enum ClaimCheck {
    /// It may be claimed under the next term.
    Claimable { term: Term, former: Option<NodeId> },
    /// Nothing is left to be done.
    Closed,
    /// Another node claimed it.
    HeldBy(NodeId),
    /// The batch is not there, or records of it were missed.
    Unknown,
}

/// When this node may claim a batch, by what the index tells of its owner.
pub(super) fn batch_claim_timing(context: &Context, batch: &IndexedBatch) -> ClaimTiming {
    let owner = batch.owner.holder().map(ToString::to_string);
    let owner = owner.unwrap_or_default();
    let claim = format!("{} {} {owner}", context.node, batch.notice.batch);
    claim_timing(context, &claim)
}

/// Claims a batch, and tells the engine what came of it. `silent` is a node that was found to hold the
/// lease at an earlier try, and has not said since that it runs the batch.
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

/// Claims a batch if the index, read to its end, still shows no sign of its owner, and the batch's
/// partition no other claim. Whether the claim counts is seen in the partition.
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
    // Its tenant is known only now.
    let residency = context.batch_residency(&state.host, &state.path, state.tenant.as_ref());
    if !residency.allows(context.own_region().as_ref()) {
        return ClaimCheck::Unknown;
    }
    // A node that holds the lease and that the index does not name has claimed it only now, or died
    // before it could say so.
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
