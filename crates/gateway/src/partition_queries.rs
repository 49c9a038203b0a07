//! Reads of a batch's partition on behalf of callers.
//!
//! A failed read is retried while its caller waits. A read runs to its end even if the caller has left, so that this
//! node knows its outcome when the caller retries.

use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::Millis;
use havenstage_rollout::access::Caller;
use havenstage_rollout::ids::BatchId;
use log::{error, warn};

use crate::context::Context;
use crate::edge::LogError;

/// Time beyond the wait that a caller allows in which a read is retried. Callers time out 1.5 s after that wait; the rest
/// is for sending the last answer.
const RETRY_TIME: Duration = Duration::from_millis(1_300);
/// Age of the log's last answer up to which a node expects a further answer; a node reports itself ready for the same
/// time. A node that has lost the log refuses after one attempt, so that callers ask another node.
const MAX_CONTACT_AGE_MS: Millis = 2_500;
/// Reason for refusing a call on a tenant's batch while no configuration is known.
const CALLER_UNVERIFIED: &str =
    "no configuration is known that assigns the caller's key to a tenant";
/// Reason for refusing a call on a batch that may be in records that this node missed.
const RECORDS_MISSED: &str = "the log dropped records of the partition before this node read them";

/// Whether the log has answered this node recently, so that a further answer is expected.
pub(crate) fn is_log_reachable(context: &Context) -> bool {
    context.contact_age() < MAX_CONTACT_AGE_MS
}

/// Time until which reads are retried for a caller that called at `asked_at` and allows `wait`.
pub(crate) fn retry_deadline(context: &Context, asked_at: Instant, wait: Duration) -> Instant {
    let retry_time = if is_log_reachable(context) {
        RETRY_TIME
    } else {
        Duration::ZERO
    };
    asked_at + wait + retry_time
}

/// Makes sure that this node knows all that was in a batch's partition `max_age` ago. The read goes on if the caller
/// drops the future, up to the end of the partition or the first failure after `until`.
///
/// # Errors
///
/// The last failure of the read; [`LogError::Unknown`] if the reading task panicked.
pub(crate) async fn query(
    context: &Arc<Context>,
    batch: &BatchId,
    max_age: Duration,
    until: Instant,
) -> Result<(), LogError> {
    let task_context = context.clone();
    let batch = batch.clone();
    let read = tokio::spawn(async move {
        let partition = task_context.partition_of(&batch);
        let log = task_context.log.as_ref();
        partition
            .confirm_until(log, task_context.clock, max_age, until)
            .await
    });
    read.await.unwrap_or_else(|failure| {
        error!(event = "question_ended", reason = failure.to_string().as_str(); "");
        Err(LogError::Unknown)
    })
}

/// Makes sure that this node knows all that is in a batch's partition now, for a caller that allows no wait; logs a
/// failure.
pub(crate) async fn query_now(context: &Arc<Context>, batch: &BatchId) -> Result<(), LogError> {
    let asked_at = Instant::now();
    let until = retry_deadline(context, asked_at, Duration::ZERO);
    let outcome = query(context, batch, Duration::ZERO, until).await;
    outcome.inspect_err(|error| log_refused(context, batch, *error, asked_at))
}

/// What follows if a node has read a partition to its end and found no batch there that the caller may see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Absence {
    /// No such batch exists for this caller.
    DoesNotExist,
    /// The batch may exist: it may have been in records that were dropped before this node read them.
    MayBeMissed,
    /// The batch exists, and may be the caller's: the caller's tenant is not known yet.
    MayBeHidden,
}

/// Decides what to answer about a batch that was not found in its partition, or that its caller can't see. Records that
/// were dropped before this node read anything leave no trace in its state, but the heartbeats of a node that runs the
/// batch name the batch.
pub(crate) fn classify_absence(context: &Context, caller: &Caller, batch: &BatchId) -> Absence {
    let inner = context.partition_of(batch).lock();
    if inner.state.batch(batch).is_some() {
        return match caller {
            Caller::Unverified => Absence::MayBeHidden,
            // The batch belongs to another tenant.
            Caller::Anonymous | Caller::KeyHolder(_) => Absence::DoesNotExist,
        };
    }
    let has_missed_records = inner.state.has_missed_records();
    drop(inner);
    let control = context.control.lock();
    let indexed = control.state.index().batch(batch);
    let is_run_by_owner = indexed.is_some_and(|indexed| indexed.is_open() && indexed.was_found);
    match has_missed_records || is_run_by_owner {
        true => Absence::MayBeMissed,
        false => Absence::DoesNotExist,
    }
}

/// Logs that a call on a batch, made at `asked_at`, is refused since this node missed records of its partition.
pub(crate) fn log_missed(context: &Context, batch: &BatchId, asked_at: Instant) {
    log_refusal(context, batch, RECORDS_MISSED, asked_at);
}

/// Logs that a call on a batch, made at `asked_at`, is refused since its caller's tenant is not known yet.
pub(crate) fn log_hidden(context: &Context, batch: &BatchId, asked_at: Instant) {
    log_refusal(context, batch, CALLER_UNVERIFIED, asked_at);
}

/// Logs that a call on a batch, made at `asked_at`, is refused since the batch's partition could not be read.
pub(crate) fn log_refused(context: &Context, batch: &BatchId, error: LogError, asked_at: Instant) {
    log_refusal(context, batch, &error.to_string(), asked_at);
}

fn log_refusal(context: &Context, batch: &BatchId, reason: &str, asked_at: Instant) {
    let partition = context.partition_of(batch).id.to_string();
    warn!(event = "read_refused", batch = batch.as_str(), partition = partition.as_str(),
        reason = reason, status = 503u16,
        waited_ms = asked_at.elapsed().as_millis() as u64; "");
}
