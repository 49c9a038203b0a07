//! Appends that are repeated for a caller who waits, until it is known that the record is there or the
//! time for it is over.

use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::framing;
use log::warn;

use crate::context::Context;
use crate::edge::LogError;
use crate::stream_view::{StreamState, StreamView};

/// Time for which an append that was certainly not done is repeated.
const REPEAT_NOT_DONE: Duration = Duration::from_millis(600);
/// The same for a caller of another node, which has tried that long itself.
const REPEAT_NOT_DONE_FOR_PEER: Duration = Duration::from_millis(200);
/// Time for which an append is repeated whose outcome is not known.
const REPEAT_UNKNOWN: Duration = Duration::from_millis(3_500);
/// Pause between two appends of the same records.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);
/// Bytes that framing adds to a record of the largest allowed size, at most.
const FRAMING_ALLOWANCE: usize = 256;

/// For whom an append is repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendFor {
    /// A caller of this node.
    Caller,
    /// A caller of another node.
    Peer,
}

impl AppendFor {
    fn repeat_not_done(self) -> Duration {
        match self {
            Self::Caller => REPEAT_NOT_DONE,
            Self::Peer => REPEAT_NOT_DONE_FOR_PEER,
        }
    }
}

/// What came of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    /// The record is in the log.
    Done,
    /// It is certainly not there.
    NotDone,
    /// It may be there.
    Unknown,
    /// It is larger than the log takes.
    TooLarge,
}

/// Appends a record, again if need be: the fold takes it once.
pub(crate) async fn append<S: StreamState>(
    context: &Context,
    partition: &StreamView<S>,
    encoded: &[u8],
    whom: AppendFor,
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
                    REPEAT_UNKNOWN
                } else {
                    whom.repeat_not_done()
                };
                if began.elapsed() >= limit {
                    report_append(partition, error, is_unknown);
                    return outcome_of_failure(is_unknown);
                }
            }
        }
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
}

fn outcome_of_failure(is_unknown: bool) -> AppendOutcome {
    if is_unknown {
        AppendOutcome::Unknown
    } else {
        AppendOutcome::NotDone
    }
}

fn report_append<S: StreamState>(partition: &StreamView<S>, error: LogError, is_unknown: bool) {
    warn!(event = "append_failed", partition = partition.id.to_string().as_str(),
        reason = error.to_string().as_str(), may_be_done = is_unknown; "");
}
