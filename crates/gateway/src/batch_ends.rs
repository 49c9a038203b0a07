//! Callers' calls that end a batch.

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

/// What came of a call that ends a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndOutcome {
    /// Its end was known to be in the log.
    AlreadyEnded,
    /// Its end was appended.
    Appended,
    /// It was never handed in.
    NotThere,
    /// Its end was not acknowledged; where that says so, it may have been appended all the same.
    NotAppended { may_be_done: bool },
}

impl EndOutcome {
    fn name(self) -> &'static str {
        match self {
            Self::AlreadyEnded => "already_ended",
            Self::Appended => "appended",
            Self::NotThere => "not_there",
            Self::NotAppended { .. } => "not_appended",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::AlreadyEnded | Self::Appended => StatusCode::OK,
            Self::NotThere => StatusCode::NOT_FOUND,
            Self::NotAppended { may_be_done: false } => StatusCode::SERVICE_UNAVAILABLE,
            Self::NotAppended { may_be_done: true } => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Ends a batch.
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

/// Passes an end that was certainly not appended here to the node that runs the batch.
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

/// Ends a batch for another node. It is not passed on.
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
        EndOutcome::NotThere => PeerAnswer::Declined(PeerRefusal::NotHere),
        EndOutcome::NotAppended { may_be_done: true } => PeerAnswer::MayBeDone,
        EndOutcome::NotAppended { may_be_done: false } => {
            PeerAnswer::Declined(PeerRefusal::NotConfirmed)
        }
    }
}

/// A batch that some node runs is ended without being read here: reading may take seconds when all nodes
/// have just started, in which its items would go on.
async fn try_to_end(
    context: &Arc<Context>,
    caller: &Caller,
    id: &BatchId,
    whom: AppendFor,
) -> EndOutcome {
    // Whether an end of a caller that nothing is known of counts is told by the batch itself: it must be read.
    let is_verified = *caller != Caller::Unverified;
    if is_verified && was_found_in_the_log(context, id) {
        return append_end(context, caller, id, whom).await;
    }
    let asked = Instant::now();
    match partition_queries::query_now(context, id).await {
        Ok(()) => append_end_if_known(context, caller, id, asked, whom).await,
        // That the partition could not be read was told, with the reason.
        Err(_) => EndOutcome::NotAppended { may_be_done: false },
    }
}

/// Whether a node is known to have found the batch in its partition, so that an end appended now lies
/// behind it and counts.
fn was_found_in_the_log(context: &Context, id: &BatchId) -> bool {
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
    asked: Instant,
    whom: AppendFor,
) -> EndOutcome {
    // A heartbeat may have named it while the log was asked.
    let lies_here = context.partition_of(id).lock().state.batch(id).is_some();
    let is_verified = *caller != Caller::Unverified;
    if lies_here || is_verified && was_found_in_the_log(context, id) {
        return append_end(context, caller, id, whom).await;
    }
    match partition_queries::classify_absence(context, caller, id) {
        Absence::DoesNotExist => EndOutcome::NotThere,
        Absence::MayBeHidden => {
            partition_queries::log_hidden(context, id, asked);
            EndOutcome::NotAppended { may_be_done: false }
        }
        Absence::MayBeMissed => {
            partition_queries::log_missed(context, id, asked);
            EndOutcome::NotAppended { may_be_done: false }
        }
    }
}

/// Appends the end of a batch that lies in the log, unless it is known to be there. Where the batch belongs
/// to a tenant, the fold decides whether this caller's end counts: the batch need not be read here.
async fn append_end(
    context: &Context,
    caller: &Caller,
    id: &BatchId,
    whom: AppendFor,
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
    match append(context, partition, &record.encode(), whom).await {
        AppendOutcome::Done => EndOutcome::Appended,
        AppendOutcome::NotDone | AppendOutcome::TooLarge => {
            EndOutcome::NotAppended { may_be_done: false }
        }
        AppendOutcome::Unknown => EndOutcome::NotAppended { may_be_done: true },
    }
}

/// What comes of an end without an append, if what is known here of the batch tells that.
fn known_outcome(context: &Context, caller: &Caller, id: &BatchId) -> Option<EndOutcome> {
    let inner = context.partition_of(id).lock();
    match inner.state.batch(id)? {
        batch if !caller.can_see(batch.tenant.as_ref()) => Some(match caller {
            Caller::Unverified => EndOutcome::NotAppended { may_be_done: false },
            Caller::Anonymous | Caller::KeyHolder(_) => EndOutcome::NotThere,
        }),
        batch if batch.ended => Some(EndOutcome::AlreadyEnded),
        _ => None,
    }
}
