//! Passes callers' questions to the node that runs the batch.

use std::net::SocketAddr;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::Millis;
use havenstage_rollout::access::Caller;
use havenstage_rollout::ids::{BatchId, ItemId, NodeId, ZoneName};
use havenstage_rollout::peer_message::{PeerAnswer, PeerQuestion, PeerRequest};
use havenstage_rollout::peer_question::{self, OwnerFacts, QuestionFacts, QuestionRoute};
use http::StatusCode;
use log::info;

use super::client::{self, PeerError};
use crate::batch_answer::BatchAnswer;
use crate::context::Context;
use crate::metrics;

/// Time beyond the caller's wait in which the whole answer of the owner must arrive. The rest of the time until callers
/// leave is reserved for reading the log.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time from the arrival of a call to end a batch to the owner's answer. Callers leave 1.5 s after their call.
const END_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Least time for an owner to append an end; with less time left, the owner is not asked.
const MIN_END_TIME: Duration = Duration::from_millis(200);

/// The node that runs a batch, as far as this node knows.
struct Owner {
    node: NodeId,
    address: SocketAddr,
    /// Time since this node read its last heartbeat.
    silent_ms: Millis,
}

/// Outcome of a call to end a batch that was passed to the batch owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OwnerEndOutcome {
    /// The end is in the log.
    Done,
    /// The end may be in the log or reach it later.
    MayBeDone,
    /// The end was not appended.
    NotDone,
}

/// The owner's answer to a call for results made at `asked_at`; `None` if this node is to answer the call.
pub(crate) async fn results(
    context: &Context,
    caller: &Caller,
    batch: &BatchId,
    from: usize,
    asked_at: Instant,
    wait: Duration,
) -> Option<BatchAnswer> {
    let owner = owner_to_ask(context, batch)?;
    let question = PeerQuestion::Results {
        from: from as u64,
        wait_ms: wait.as_millis() as u64,
    };
    let until = asked_at + wait + ANSWER_TIMEOUT;
    answer_of(ask(context, &owner, caller, batch, question, until).await)
}

/// The owner's answer to a call for the body of an item made at `asked_at`; `None` if this node is to answer the call.
pub(crate) async fn item_body(
    context: &Context,
    caller: &Caller,
    batch: &BatchId,
    item: &ItemId,
    asked_at: Instant,
) -> Option<BatchAnswer> {
    let owner = owner_to_ask(context, batch)?;
    let question = PeerQuestion::ItemBody { item: item.clone() };
    let until = asked_at + ANSWER_TIMEOUT;
    answer_of(ask(context, &owner, caller, batch, question, until).await)
}

/// Asks the owner to end a batch, for a call that arrived at `arrived_at`.
pub(crate) async fn end(
    context: &Context,
    caller: &Caller,
    batch: &BatchId,
    arrived_at: Instant,
) -> OwnerEndOutcome {
    let until = arrived_at + END_TIMEOUT;
    let is_in_time = Instant::now() + MIN_END_TIME <= until;
    let owner = owner_of(context, batch).filter(|owner| is_in_time && !is_paused(context, owner));
    let Some(owner) = owner else {
        return OwnerEndOutcome::NotDone;
    };
    match ask(context, &owner, caller, batch, PeerQuestion::End, until).await {
        None | Some(Ok(PeerAnswer::Declined(_))) => OwnerEndOutcome::NotDone,
        Some(Ok(PeerAnswer::Answered { .. })) => OwnerEndOutcome::Done,
        Some(Ok(PeerAnswer::MayBeDone)) => OwnerEndOutcome::MayBeDone,
        Some(Err(error)) if error.is_unsent() => OwnerEndOutcome::NotDone,
        Some(Err(_)) => OwnerEndOutcome::MayBeDone,
    }
}

/// The answer for the caller; `None` if the owner did not answer or declined.
fn answer_of(asked: Option<Result<PeerAnswer, PeerError>>) -> Option<BatchAnswer> {
    match asked?.ok()? {
        PeerAnswer::Answered {
            body,
            is_own_format,
        } => Some(BatchAnswer {
            status: StatusCode::OK,
            body,
            is_own_format,
        }),
        PeerAnswer::MayBeDone | PeerAnswer::Declined(_) => None,
    }
}

/// The owner of a batch, if the owner is to be asked rather than the log.
fn owner_to_ask(context: &Context, batch: &BatchId) -> Option<Owner> {
    let now = context.now();
    let view = context.partition_of(batch);
    let owner = owner_of(context, batch)?;
    let facts = QuestionFacts {
        can_answer_locally: view.is_followed(now) && !view.is_behind(now),
        owner: Some(OwnerFacts {
            silent_ms: owner.silent_ms,
            is_paused: is_paused(context, &owner),
        }),
        is_control_stream_current: context.control.is_current(now),
        read_interval_ms: context.pace().read_interval_ms,
    };
    let is_asked = peer_question::choose_route(&facts) == QuestionRoute::Owner;
    is_asked.then_some(owner)
}

fn is_paused(context: &Context, owner: &Owner) -> bool {
    context.peers.links.is_paused(&owner.node, context.now())
}

/// The owner of a batch, if it is another node whose address is known.
fn owner_of(context: &Context, batch: &BatchId) -> Option<Owner> {
    let now = context.now();
    let control = context.control.lock();
    let indexed = control.state.index().batch(batch)?;
    let node = indexed.owner.holder()?;
    let (address, last_heartbeat_at) = control.state.peers().of(node)?;
    (*node != context.node).then(|| Owner {
        node: node.clone(),
        address,
        silent_ms: now.saturating_sub(last_heartbeat_at),
    })
}

/// Asks an owner. `None` if the caller is not verified yet or too many questions are in flight.
async fn ask(
    context: &Context,
    owner: &Owner,
    caller: &Caller,
    batch: &BatchId,
    question: PeerQuestion,
    until: Instant,
) -> Option<Result<PeerAnswer, PeerError>> {
    if *caller == Caller::Unverified {
        return None;
    }
    let name = name_of(&question);
    let Ok(_permit) = context.peers.outgoing.try_acquire() else {
        metrics::owner_asked(name, "too_many", 0);
        return None;
    };
    let began = Instant::now();
    let request = PeerRequest {
        to: owner.node.clone(),
        zone: ZoneName::from(context.settings.zone.as_str()),
        tenants: caller.effective_tenants(),
        batch: batch.clone(),
        question,
    };
    let links = &context.peers.links;
    let link = links.link_to(&owner.node, owner.address, context.now());
    let max_bytes = context.settings.log.call_bytes;
    let asked = client::ask(&link, &request, max_bytes, until).await;
    let now = context.now();
    links.update_backoff(&owner.node, |backoff| match &asked {
        Ok(PeerAnswer::Declined(_)) => backoff.record_refusal(now),
        Ok(_) => backoff.record_answer(),
        Err(_) => backoff.record_failure(now),
    });
    let outcome = outcome_of(&asked);
    let took_ms = began.elapsed().as_millis() as u64;
    metrics::owner_asked(name, outcome, took_ms);
    info!(event = "owner_asked", batch = batch.as_str(), question = name,
        owner = owner.node.to_string().as_str(), silent_ms = owner.silent_ms, outcome = outcome,
        reason = reason_of(&asked).as_str(), took_ms = took_ms; "");
    Some(asked)
}

fn name_of(question: &PeerQuestion) -> &'static str {
    match question {
        PeerQuestion::Results { .. } => "results",
        PeerQuestion::ItemBody { .. } => "item_body",
        PeerQuestion::End => "end",
    }
}

fn outcome_of(asked: &Result<PeerAnswer, PeerError>) -> &'static str {
    match asked {
        Ok(PeerAnswer::Answered { .. }) => "answered",
        Ok(PeerAnswer::MayBeDone) => "may_be_done",
        Ok(PeerAnswer::Declined(refusal)) => refusal.name(),
        Err(_) => "failed",
    }
}

fn reason_of(asked: &Result<PeerAnswer, PeerError>) -> String {
    let error = asked.as_ref().err();
    error.map_or_else(String::new, ToString::to_string)
}
