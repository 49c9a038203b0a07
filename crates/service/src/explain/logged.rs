//! What the log keeps of a batch, read from its partition.

use std::time::Duration;

use havenstage_gateway::edge::{LogError, SharedLog, StreamPartition};
use havenstage_rollout::batch::Submission;
use havenstage_rollout::framing::Joiner;
use havenstage_rollout::ids::{BatchId, ItemId, NodeId, Version};
use havenstage_rollout::record::{BatchRecord, Outcome};
use havenstage_rollout::stored::Stored;
use serde::{Deserialize, Serialize};

/// Most bytes of records that are read for one answer.
const MOST_BYTES: usize = 64 * 1024 * 1024;

/// What the log keeps of a batch, or of one of its samples.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedBatch {
    /// The records, in the order of the log. One that was appended twice stands twice; the second changes
    /// nothing.
    pub records: Vec<LoggedRecord>,
    /// Offset of the oldest record that the log keeps of the partition; earlier ones are past their
    /// retention.
    pub first_kept: u64,
}

/// A record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum LoggedRecord {
    /// The batch was accepted.
    Submitted {
        /// Its samples.
        samples: usize,
        /// Oldest version that may make any token.
        minimum_version: Version,
        /// The node that runs it.
        owner: Option<String>,
    },
    /// A node took it over.
    Claimed {
        /// The new owner.
        owner: String,
        /// Its term.
        term: u64,
    },
    /// Its owner gave it up.
    Released {
        /// The owner's term.
        term: u64,
    },
    /// More output of a run of a sample.
    Progress {
        /// The sample.
        sample: String,
        /// The run.
        run: u64,
        /// Events it went on from.
        resumed_from: u32,
        /// New events.
        events: usize,
        /// Versions that made them.
        weight_versions: Vec<Version>,
    },
    /// The output so far was dropped, because its version is gone.
    Restarted {
        /// The sample.
        sample: String,
        /// Events that were dropped.
        events: u32,
    },
    /// The sample is done.
    Finished {
        /// The sample.
        sample: String,
        /// The run that finished it.
        run: u64,
        /// Events of the whole output.
        events: u32,
        /// Why there is none, if it was given up.
        given_up: Option<String>,
    },
    /// The caller ended the batch.
    Ended,
}

/// Reads what the log keeps of a batch, or of one of its samples; `None` if it keeps nothing of it.
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
            // One that cannot be read belongs to no batch that could be named.
            let Ok(record) = BatchRecord::decode(&value) else {
                continue;
            };
            if record.batch() == batch {
                logged.records.extend(told(&record, sample));
            }
        }
        if from >= page.end || bytes > MOST_BYTES {
            return Ok((!logged.records.is_empty()).then_some(logged));
        }
    }
}

/// A record as it is told, if it concerns the sample or the batch as a whole.
fn told(record: &BatchRecord, sample: Option<&ItemId>) -> Option<LoggedRecord> {
    let is_asked = |item: &ItemId| sample.is_none_or(|sample| sample == item);
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
        } if is_asked(item) => {
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
        BatchRecord::Restarted { item, events, .. } if is_asked(item) => {
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
        } if is_asked(item) => Some(LoggedRecord::Finished {
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
