//! Answers to questions of other nodes about batches that this node runs. A question gets the answer that a caller of
//! this node would get, or is declined.

use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::access::Caller;
use havenstage_rollout::ids::{BatchId, ItemId, ZoneName};
use havenstage_rollout::peer_message::{PeerAnswer, PeerQuestion, PeerRefusal, PeerRequest};
use http::StatusCode;

use crate::batch_answer::BatchAnswer;
use crate::context::Context;
use crate::{batch_ends, batch_reads, partition_queries};

/// Time for reading a batch from the log that this node owns but has not read yet.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers a question, or declines it with a reason.
pub(super) async fn answer(context: &Arc<Context>, request: &PeerRequest) -> PeerAnswer {
    let answer = try_to_answer(context, request).await;
    answer.unwrap_or_else(PeerAnswer::Declined)
}

async fn try_to_answer(
    context: &Arc<Context>,
    request: &PeerRequest,
) -> Result<PeerAnswer, PeerRefusal> {
    let batch = &request.batch;
    if request.to != context.node {
        return Err(PeerRefusal::OtherLife);
    }
    // Without the log, this node cannot confirm an answer, and the asking node may still reach the log.
    if !partition_queries::is_log_reachable(context) {
        return Err(PeerRefusal::NotConfirmed);
    }
    ensure_known(context, batch).await?;
    check_region(context, batch, &request.zone)?;
    let caller = Caller::admitted_by_peer(request.tenants.clone());
    match &request.question {
        PeerQuestion::Results { from, wait_ms } => {
            let from = usize::try_from(*from).map_err(|_| PeerRefusal::Unreadable)?;
            let wait = Duration::from_millis(*wait_ms);
            let read = batch_reads::read_for_peer(context, &caller, batch, from, wait);
            answered(read.await)
        }
        PeerQuestion::ItemBody { item } => item_body(context, &caller, batch, item),
        PeerQuestion::End => Ok(batch_ends::end_for_peer(context, &caller, batch).await),
    }
}

/// Ensures that this node has read a batch that it owns.
async fn ensure_known(context: &Arc<Context>, batch: &BatchId) -> Result<(), PeerRefusal> {
    if context.holds(batch) {
        return Ok(());
    }
    if !is_recorded_owner(context, batch) {
        return Err(PeerRefusal::NotHere);
    }
    let until = Instant::now() + LOAD_TIMEOUT;
    let asked = partition_queries::query(context, batch, Duration::ZERO, until).await;
    asked.map_err(|_| PeerRefusal::NotConfirmed)?;
    match context.holds(batch) {
        true => Ok(()),
        false => Err(PeerRefusal::NotHere),
    }
}

/// Whether the log names this node as the owner of a batch.
fn is_recorded_owner(context: &Context, batch: &BatchId) -> bool {
    let control = context.control.lock();
    let indexed = control.state.index().batch(batch);
    indexed.is_some_and(|indexed| indexed.owner.is_held_by(&context.node))
}

/// Refuses answers to zones in regions where the residency rules do not allow the data of the batch.
fn check_region(context: &Context, batch: &BatchId, zone: &ZoneName) -> Result<(), PeerRefusal> {
    let residency = {
        let inner = context.partition_of(batch).lock();
        let state = inner.state.batch(batch).ok_or(PeerRefusal::NotHere)?;
        context.batch_residency(&state.host, &state.path, state.tenant.as_ref())
    };
    let backends = context.backends.lock();
    match residency.allows(backends.region_of_zone(zone.as_str())) {
        true => Ok(()),
        false => Err(PeerRefusal::Region),
    }
}

fn item_body(
    context: &Context,
    caller: &Caller,
    batch: &BatchId,
    item: &ItemId,
) -> Result<PeerAnswer, PeerRefusal> {
    let known = batch_reads::known_body(context.partition_of(batch), caller, batch, item);
    known.map_or(Err(PeerRefusal::NotHere), answered)
}

fn answered(answer: BatchAnswer) -> Result<PeerAnswer, PeerRefusal> {
    match answer.status {
        StatusCode::OK => Ok(PeerAnswer::Answered {
            body: answer.body,
            is_own_format: answer.is_own_format,
        }),
        StatusCode::NOT_FOUND => Err(PeerRefusal::NotHere),
        _ => Err(PeerRefusal::NotConfirmed),
    }
}
