//! Calls by which callers end a batch.

use std::sync::Arc;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_rollout::access::Caller;
use havenstage_rollout::ids::BatchId;
use havenstage_rollout::peer_message::{PeerAnswer, PeerRefusal};
use havenstage_rollout::record::BatchRecord;
use havenstage_rollout::stored::Stored;
use http::StatusCode;
use log::info;

use crate::batch_answer::BatchAnswer;
use crate::context::Context;
use crate::partition_queries::{self, Absence};
use crate::peers::{self, OwnerEndOutcome};
use crate::retried_append::{AppendFor, AppendOutcome, append};

/// Outcome of a call that ends a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndOutcome {
    /// This node already knows an end of the batch from the log.
    AlreadyEnded,
    /// The log has acknowledged the record of the end.
    Appended,
    /// No such batch exists for this caller.
    DoesNotExist,
    /// The log has not acknowledged the record of the end; `may_be_done` says whether it may hold the record anyway.
    NotAppended { may_be_done: bool },
}

impl EndOutcome {
    fn name(self) -> &'static str {
        match self {
            Self::AlreadyEnded => "already_ended",
            Self::Appended => "appended",
            Self::DoesNotExist => "not_there",
            Self::NotAppended { .. } => "not_appended",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::AlreadyEnded | Self::Appended => StatusCode::OK,
            Self::DoesNotExist => StatusCode::NOT_FOUND,
            Self::NotAppended { may_be_done: false } => StatusCode::SERVICE_UNAVAILABLE,
            Self::NotAppended { may_be_done: true } => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Ends a batch for a caller of this node; if the end was certainly not appended here, the batch owner is asked to
/// append it.
pub(crate) async fn end(context: &Arc<Context>, caller: &Caller, id: &BatchId) -> BatchAnswer {
    let began = Instant::now();
    let outcome = match try_to_end(context, caller, id, AppendFor::Caller).await {
        EndOutcome::NotAppended { may_be_done: false } => {
            end_at_owner(context, caller, id, began).await
        }
        outcome => outcome,
    };
    let status = outcome.status();
    info!(event = "batch_end", batch = id.as_str(), outcome = outcome.name(),
        status = status.as_u16(), took_ms = began.elapsed().as_millis() as u64; "");
    BatchAnswer::empty(status)
}

/// Forwards an end that was certainly not appended here to the batch owner.
async fn end_at_owner(
    context: &Context,
    caller: &Caller,
    id: &BatchId,
    began: Instant,
) -> EndOutcome {
    match peers::end(context, caller, id, began).await {
        OwnerEndOutcome::Done => EndOutcome::Appended,
        OwnerEndOutcome::MayBeDone => EndOutcome::NotAppended { may_be_done: true },
        OwnerEndOutcome::NotDone => EndOutcome::NotAppended { may_be_done: false },
    }
}

/// Ends a batch for another node. The request is not forwarded again.
pub(crate) async fn end_for_peer(
    context: &Arc<Context>,
    caller: &Caller,
    id: &BatchId,
) -> PeerAnswer {
    match try_to_end(context, caller, id, AppendFor::Peer).await {
        EndOutcome::AlreadyEnded | EndOutcome::Appended => PeerAnswer::Answered {
            body: Bytes::new(),
            is_own_format: false,
        },
        EndOutcome::DoesNotExist => PeerAnswer::Declined(PeerRefusal::NotHere),
        EndOutcome::NotAppended { may_be_done: true } => PeerAnswer::MayBeDone,
        EndOutcome::NotAppended { may_be_done: false } => {
            PeerAnswer::Declined(PeerRefusal::NotConfirmed)
        }
    }
}

/// Appends the end of a batch, without reading the batch's partition first if some node is known to have found the
/// batch there: when all nodes have just started, reading may take seconds, in which the batch's items would run on.
async fn try_to_end(
    context: &Arc<Context>,
    caller: &Caller,
    id: &BatchId,
    requester: AppendFor,
) -> EndOutcome {
    // Whether an unverified caller may end the batch depends on the batch's tenant, so the batch must be read.
    let is_verified = *caller != Caller::Unverified;
    if is_verified && is_known_in_log(context, id) {
        return append_end(context, caller, id, requester).await;
    }
    let asked_at = Instant::now();
    match partition_queries::query_now(context, id).await {
        Ok(()) => append_end_if_known(context, caller, id, asked_at, requester).await,
        // `query_now` has logged why the partition could not be read.
        Err(_) => EndOutcome::NotAppended { may_be_done: false },
    }
}

/// Whether some node is known to have found the batch in its partition, so that an end appended now follows the
/// submission and takes effect.
fn is_known_in_log(context: &Context, id: &BatchId) -> bool {
    if context.partition_of(id).lock().state.batch(id).is_some() {
        return true;
    }
    let control = context.control.lock();
    let indexed = control.state.index().batch(id);
    indexed.is_some_and(|indexed| indexed.was_found)
}

async fn append_end_if_known(
    context: &Context,
    caller: &Caller,
    id: &BatchId,
    asked_at: Instant,
    requester: AppendFor,
) -> EndOutcome {
    // A heartbeat may have named the batch while its partition was read.
    let is_read_here = context.partition_of(id).lock().state.batch(id).is_some();
    let is_verified = *caller != Caller::Unverified;
    if is_read_here || is_verified && is_known_in_log(context, id) {
        return append_end(context, caller, id, requester).await;
    }
    match partition_queries::classify_absence(context, caller, id) {
        Absence::DoesNotExist => EndOutcome::DoesNotExist,
        Absence::MayBeHidden => {
            partition_queries::log_hidden(context, id, asked_at);
            EndOutcome::NotAppended { may_be_done: false }
        }
        Absence::MayBeMissed => {
            partition_queries::log_missed(context, id, asked_at);
            EndOutcome::NotAppended { may_be_done: false }
        }
    }
}

/// Appends the end of a batch that is in the log, unless the outcome is already known here. If the batch belongs to a
/// tenant, each node decides when it applies the record whether this caller may end the batch, so the batch need not
/// be read here.
async fn append_end(
    context: &Context,
    caller: &Caller,
    id: &BatchId,
    requester: AppendFor,
) -> EndOutcome {
    let partition = context.partition_of(id);
    if let Some(outcome) = known_outcome(context, caller, id) {
        return outcome;
    }
    let record = match caller {
        Caller::Anonymous => BatchRecord::Ended { batch: id.clone() },
        Caller::Unverified | Caller::KeyHolder(_) => BatchRecord::EndedFor {
            tenants: caller.effective_tenants(),
            batch: id.clone(),
        },
    };
    match append(context, partition, &record.encode(), requester).await {
        AppendOutcome::Done => EndOutcome::Appended,
        AppendOutcome::NotDone | AppendOutcome::TooLarge => {
            EndOutcome::NotAppended { may_be_done: false }
        }
        AppendOutcome::Unknown => EndOutcome::NotAppended { may_be_done: true },
    }
}

/// The outcome of an end, if what this node knows of the batch decides it without an append.
fn known_outcome(context: &Context, caller: &Caller, id: &BatchId) -> Option<EndOutcome> {
    let inner = context.partition_of(id).lock();
    match inner.state.batch(id)? {
        batch if !caller.can_see(batch.tenant.as_ref()) => Some(match caller {
            Caller::Unverified => EndOutcome::NotAppended { may_be_done: false },
            Caller::Anonymous | Caller::KeyHolder(_) => EndOutcome::DoesNotExist,
        }),
        batch if batch.ended => Some(EndOutcome::AlreadyEnded),
        _ => None,
    }
}
