//! Queues of the entries that are to be forgotten, in record order.

use std::collections::VecDeque;

use havenstage_types::ids::{AttemptId, IdempotencyKey};
use serde::{Deserialize, Serialize};

/// Number of a record of the stream, counted from 0. The ledger counts every record that it applies
/// or skips, so all readers give a record the same number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct RecordNumber(pub(super) u64);

/// The effect of one record on a key and an attempt, to be forgotten after a number of further
/// records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Remembered {
    pub(super) recorded_at: RecordNumber,
    pub(super) key: IdempotencyKey,
    pub(super) attempt: AttemptId,
}

/// Effects of records that are to be forgotten, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct RetentionQueue(VecDeque<Remembered>);

impl RetentionQueue {
    /// Adds the effect of the newest record.
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

    /// Removes and returns the oldest entry if more than `retention_records` records were counted
    /// from its own record on, that record included.
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
