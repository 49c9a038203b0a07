//! Reads the log records of a batch from its partition.

use std::time::Duration;

use havenstage_gateway::edge::{LogError, SharedLog, StreamPartition};
use havenstage_rollout::batch::Submission;
use havenstage_rollout::framing::Joiner;
use havenstage_rollout::ids::{BatchId, ItemId, NodeId, Version};
use havenstage_rollout::record::{BatchRecord, Outcome};
use havenstage_rollout::stored::Stored;
use serde::{Deserialize, Serialize};

/// Bytes of records after which the read for one answer stops.
const MAX_BYTES: usize = 64 * 1024 * 1024;

/// Log records of a batch, or of one of its samples.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedBatch {
    /// The records, in the order of the log. A record that was appended twice is listed twice; the duplicate
    /// has no effect.
    pub records: Vec<LoggedRecord>,
    /// Offset of the oldest record that the partition still holds, or 0 if the read started at the
    /// beginning. Earlier records are past their retention.
    pub first_kept: u64,
}

/// A log record as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum LoggedRecord {
    /// The batch was accepted.
    Submitted {
        /// Number of samples in the batch.
        samples: usize,
        /// Oldest weight version that may generate a token.
        minimum_version: Version,
        /// Node that runs the batch from the start; `None` if any node may claim it.
        owner: Option<String>,
    },
    /// A node claimed the lease on the batch.
    Claimed {
        /// Node that claimed the lease.
        owner: String,
        /// Claimed term; the claim takes effect only if it is higher than the current term.
        term: u64,
    },
    /// The owner released its lease on the batch.
    Released {
        /// Term of the owner that released it.
        term: u64,
    },
    /// A run generated more output of a sample.
    Progress {
        /// Id of the sample.
        sample: String,
        /// Number of the run.
        run: u64,
        /// Number of earlier events from which the run resumed.
        resumed_from: u32,
        /// Number of new events.
        events: usize,
        /// Weight versions that generated the new events; consecutive repetitions are left out.
        weight_versions: Vec<Version>,
    },
    /// The output so far was discarded, because its weight version is no longer available.
    Restarted {
        /// Id of the sample.
        sample: String,
        /// Number of events that were discarded.
        events: u32,
    },
    /// The sample was completed or given up.
    Finished {
        /// Id of the sample.
        sample: String,
        /// Number of the run that finished it.
        run: u64,
        /// Number of events in the whole output.
        events: u32,
        /// Why the sample was given up; `None` if it was completed.
        given_up: Option<String>,
    },
    /// The caller ended the batch.
    Ended,
}

/// Reads the log records of a batch, or of one of its samples; `None` if the log holds none.
pub(crate) async fn read(
    log: &dyn SharedLog,
    partition: StreamPartition,
    batch: &BatchId,
    sample: Option<&ItemId>,
) -> Result<Option<LoggedBatch>, LogError> {
    let mut logged = LoggedBatch::default();
    let mut joiner = Joiner::default();
    let (mut from, mut bytes) = (0, 0);
    loop {
        let page = match log.read(partition, from, Duration::ZERO).await {
            Err(LogError::HistoryDropped { first }) if first > from => {
                (from, logged.first_kept) = (first, first);
                joiner = Joiner::default();
                continue;
            }
            page => page?,
        };
        from = page.from + page.records.len() as u64;
        for record in page.records {
            bytes += record.len();
            let Some(value) = joiner.push(record) else {
                continue;
            };
            // Without decoding a record, its batch is unknown, so an unreadable record is skipped.
            let Ok(record) = BatchRecord::decode(&value) else {
                continue;
            };
            if record.batch() == batch {
                logged.records.extend(logged_record(&record, sample));
            }
        }
        if from >= page.end || bytes > MAX_BYTES {
            return Ok((!logged.records.is_empty()).then_some(logged));
        }
    }
}

/// Converts a record for the answer if it concerns the sample or the batch as a whole.
fn logged_record(record: &BatchRecord, sample: Option<&ItemId>) -> Option<LoggedRecord> {
    let is_requested = |item: &ItemId| sample.is_none_or(|sample| sample == item);
    match record {
        BatchRecord::Submitted { submission, owner }
        | BatchRecord::SubmittedFor {
            submission, owner, ..
        } => Some(submitted(submission, owner.as_ref())),
        BatchRecord::Claimed { owner, term, .. } => Some(LoggedRecord::Claimed {
            owner: owner.to_string(),
            term: *term,
        }),
        BatchRecord::Released { term, .. } => Some(LoggedRecord::Released { term: *term }),
        BatchRecord::Progress {
            item,
            run,
            resumed_from,
            events,
            ..
        } if is_requested(item) => {
            let mut weight_versions: Vec<Version> =
                events.iter().map(|event| event.version).collect();
            weight_versions.dedup();
            Some(LoggedRecord::Progress {
                sample: item.to_string(),
                run: run.0,
                resumed_from: *resumed_from,
                events: events.len(),
                weight_versions,
            })
        }
        BatchRecord::Restarted { item, events, .. } if is_requested(item) => {
            Some(LoggedRecord::Restarted {
                sample: item.to_string(),
                events: *events,
            })
        }
        BatchRecord::Finished {
            item,
            run,
            events,
            outcome,
            ..
        } if is_requested(item) => Some(LoggedRecord::Finished {
            sample: item.to_string(),
            run: run.0,
            events: *events,
            given_up: match outcome {
                Outcome::Completed { .. } => None,
                Outcome::GivenUp(reason) => Some(format!("{reason:?}")),
            },
        }),
        BatchRecord::Progress { .. }
        | BatchRecord::Restarted { .. }
        | BatchRecord::Finished { .. } => None,
        BatchRecord::Ended { .. } | BatchRecord::EndedFor { .. } => Some(LoggedRecord::Ended),
    }
}

fn submitted(submission: &Submission, owner: Option<&NodeId>) -> LoggedRecord {
    LoggedRecord::Submitted {
        samples: submission.items.len(),
        minimum_version: submission.minimum_version,
        owner: owner.map(NodeId::to_string),
    }
}
