//! Appends that are retried for a waiting caller until the log acknowledges the record or the time for retries is over.

use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::framing;
use log::warn;

use crate::context::Context;
use crate::edge::LogError;
use crate::stream_view::{StreamState, StreamView};

/// Time for which an append that was certainly not done is retried.
const RETRY_NOT_DONE: Duration = Duration::from_millis(600);
/// The same for a caller of another node, since that node has already retried the append itself.
const RETRY_NOT_DONE_FOR_PEER: Duration = Duration::from_millis(200);
/// Time for which an append with an unknown outcome is retried.
const RETRY_UNKNOWN: Duration = Duration::from_millis(3_500);
/// Pause between two attempts to append the same records.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Upper bound of the bytes that framing adds to a value of the maximum size.
const FRAMING_ALLOWANCE: usize = 256;

/// Whose call an append serves; it decides how long the append is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendFor {
    /// A caller of this node.
    Caller,
    /// A caller of another node.
    Peer,
}

impl AppendFor {
    fn retry_not_done(self) -> Duration {
        match self {
            Self::Caller => RETRY_NOT_DONE,
            Self::Peer => RETRY_NOT_DONE_FOR_PEER,
        }
    }
}

/// Outcome of an append with its retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    /// The log has acknowledged the record.
    Done,
    /// The record is certainly not in the log.
    NotDone,
    /// The record may be in the log.
    Unknown,
    /// The record is larger than the log accepts in one call.
    TooLarge,
}

/// Appends a record, with retries. The log may then hold several copies, of which the fold of the stream applies one.
pub(crate) async fn append<S: StreamState>(
    context: &Context,
    partition: &StreamView<S>,
    encoded: &[u8],
    requester: AppendFor,
) -> AppendOutcome {
    if encoded.len() + FRAMING_ALLOWANCE > context.settings.log.call_bytes {
        return AppendOutcome::TooLarge;
    }
    let records = framing::split(encoded, context.settings.log.record_bytes);
    let began = Instant::now();
    let mut is_unknown = false;
    loop {
        match context.log.append(partition.id, records.clone()).await {
            Ok(_) => return AppendOutcome::Done,
            Err(error) => {
                is_unknown |= !error.is_not_done();
                let limit = if is_unknown {
                    RETRY_UNKNOWN
                } else {
                    requester.retry_not_done()
                };
                if began.elapsed() >= limit {
                    log_failed_append(partition, error, is_unknown);
                    return outcome_of_failure(is_unknown);
                }
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn outcome_of_failure(is_unknown: bool) -> AppendOutcome {
    if is_unknown {
        AppendOutcome::Unknown
    } else {
        AppendOutcome::NotDone
    }
}

fn log_failed_append<S: StreamState>(partition: &StreamView<S>, error: LogError, is_unknown: bool) {
    warn!(event = "append_failed", partition = partition.id.to_string().as_str(),
        reason = error.to_string().as_str(), may_be_done = is_unknown; "");
}
