//! Queues of what is to be forgotten, in offset order.

use std::collections::VecDeque;

use havenstage_types::ids::{AttemptId, IdempotencyKey, LogOffset};
use serde::{Deserialize, Serialize};

/// Something a record said that is forgotten after a number of further records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Remembered {
    pub(super) recorded_at: LogOffset,
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
        recorded_at: LogOffset,
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
        next_offset: LogOffset,
        retention_records: u64,
    ) -> Option<Remembered> {
        let recorded_at = self.0.front()?.recorded_at;
        if next_offset.0 - recorded_at.0 <= retention_records {
            return None;
        }
        self.0.pop_front()
    }
}
