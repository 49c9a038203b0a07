//! Callers' questions to the log about the partition of a batch.
//!
//! A question is asked again after a failure while its caller waits, and to its end though the caller has
//! left: what it brought is known here when the caller comes again.

use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::Millis;
use havenstage_rollout::access::Caller;
use havenstage_rollout::ids::BatchId;
use log::{error, warn};

use crate::context::Context;
use crate::edge::LogError;

/// Time beyond the wait that a caller allows in which a question is asked again. Callers leave 1.5 s after
/// that wait; the rest is left for the last answer's way.
const PATIENCE: Duration = Duration::from_millis(1_300);
/// Age of the log's last answer up to which a node counts on the next one: as long as it is ready. A node
/// that has lost the log refuses after one try, so that callers ask another one.
const IN_TOUCH_MS: Millis = 2_500;
/// Why calls are refused on a batch of a tenant before a configuration is known.
const HIDDEN: &str = "no configuration is known that tells whose key it is";
/// Why calls are refused on a batch that may lie in records that were missed.
const MISSED: &str = "records were dropped before they were read here";

/// Whether the log has answered this node a moment ago.
pub(crate) fn is_log_reachable(context: &Context) -> bool {
    context.contact_age() < IN_TOUCH_MS
}

/// Until when to ask again for a caller that asked at `asked` and allows `wait`.
pub(crate) fn retry_deadline(context: &Context, asked: Instant, wait: Duration) -> Instant {
    let patience = if is_log_reachable(context) {
        PATIENCE
    } else {
        Duration::ZERO
    };
    asked + wait + patience
}

/// Makes sure that all that was in a batch's partition `most_age` ago is known here. Goes on when the
/// caller drops it, up to the end of the partition or the first failure after `until`.
pub(crate) async fn query(
    context: &Arc<Context>,
    batch: &BatchId,
    most_age: Duration,
    until: Instant,
) -> Result<(), LogError> {
    let asking = context.clone();
    let batch = batch.clone();
    let question = tokio::spawn(async move {
        let partition = asking.partition_of(&batch);
        let log = asking.log.as_ref();
        partition
            .confirm_until(log, asking.clock, most_age, until)
            .await
    });
    question.await.unwrap_or_else(|failure| {
        error!(event = "question_ended", reason = failure.to_string().as_str(); "");
        Err(LogError::Unknown)
    })
}

/// Makes sure that all that is in a batch's partition now is known here, for a caller that allows no wait; a
/// failure is told.
pub(crate) async fn query_now(context: &Arc<Context>, batch: &BatchId) -> Result<(), LogError> {
    let asked = Instant::now();
    let until = retry_deadline(context, asked, Duration::ZERO);
    let outcome = query(context, batch, Duration::ZERO, until).await;
    outcome.inspect_err(|error| log_refused(context, batch, *error, asked))
}

/// What a node that has read a partition to its end says of a batch that it didn't find there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Absence {
    /// There is no such batch.
    DoesNotExist,
    /// It may be there: records that were dropped before they were read here may have told of it.
    MayBeMissed,
    /// It may be there for this caller, of whom nothing is known yet.
    MayBeHidden,
}

/// What is to be said of a batch that was not found in its partition, or not for its caller. Records that were dropped before this
/// node read anything leave no trace in its copy, but a node that runs the batch says so.
pub(crate) fn classify_absence(context: &Context, caller: &Caller, batch: &BatchId) -> Absence {
    let inner = context.partition_of(batch).lock();
    if inner.state.batch(batch).is_some() {
        return match caller {
            Caller::Unverified => Absence::MayBeHidden,
            // Another tenant's.
            Caller::Anonymous | Caller::KeyHolder(_) => Absence::DoesNotExist,
        };
    }
    let has_missed = inner.state.has_missed_records();
    drop(inner);
    let control = context.control.lock();
    let indexed = control.state.index().batch(batch);
    let is_run = indexed.is_some_and(|indexed| indexed.is_open() && indexed.was_found);
    match has_missed || is_run {
        true => Absence::MayBeMissed,
        false => Absence::DoesNotExist,
    }
}

/// Tells that a call on a batch, made at `asked`, is refused since records of its partition were missed.
pub(crate) fn log_missed(context: &Context, batch: &BatchId, asked: Instant) {
    log_refusal(context, batch, MISSED, asked);
}

/// Tells that a call on a batch, made at `asked`, is refused since nothing is known yet of its caller.
pub(crate) fn log_hidden(context: &Context, batch: &BatchId, asked: Instant) {
    log_refusal(context, batch, HIDDEN, asked);
}

/// Tells that a call on a batch, made at `asked`, is refused since the batch's partition could not be read.
pub(crate) fn log_refused(context: &Context, batch: &BatchId, error: LogError, asked: Instant) {
    log_refusal(context, batch, &error.to_string(), asked);
}

fn log_refusal(context: &Context, batch: &BatchId, reason: &str, asked: Instant) {
    let partition = context.partition_of(batch).id.to_string();
    warn!(event = "read_refused", batch = batch.as_str(), partition = partition.as_str(),
        reason = reason, status = 503u16,
        waited_ms = asked.elapsed().as_millis() as u64; "");
}
