//! Queues of what is to be forgotten, in the order of the records.

use std::collections::VecDeque;

use havenstage_types::ids::{AttemptId, IdempotencyKey};
use serde::{Deserialize, Serialize};

/// Number of a record among those that count for retention. Every reader counts alike, whether an
/// entry of a group reaches it from the log or from the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct RecordNumber(pub(super) u64);

/// Something a record said that is forgotten after a number of further records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Remembered {
    pub(super) recorded_at: RecordNumber,
    pub(super) key: IdempotencyKey,
    pub(super) attempt: AttemptId,
}

/// What records said, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct RetentionQueue(VecDeque<Remembered>);

impl RetentionQueue {
    /// Notes what the newest record said.
    pub(super) fn push(
        &mut self,
        recorded_at: RecordNumber,
        key: &IdempotencyKey,
        attempt: AttemptId,
    ) {
        self.0.push_back(Remembered {
            recorded_at,
            key: key.clone(),
            attempt,
        });
    }

    /// Takes the oldest item if more than `retention_records` records, itself included, were read
    /// since it was written.
    pub(super) fn pop_expired(
        &mut self,
        next_number: RecordNumber,
        retention_records: u64,
    ) -> Option<Remembered> {
        let recorded_at = self.0.front()?.recorded_at;
        if next_number.0 - recorded_at.0 <= retention_records {
            return None;
        }
        self.0.pop_front()
    }
}
