//! How long a claim stream's past is remembered.

use serde::{Deserialize, Serialize};
use thiserror::Error;

const DEFAULT_RETENTION_RECORDS: u64 = 1_000_000;
const DEFAULT_ANSWER_RETENTION_RECORDS: u64 = 50_000;

/// How long a claim ledger remembers, in records of its stream.
///
/// Must be the same on every node of a deployment: readers with different settings would forget a
/// key at different offsets and disagree about who holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLedgerSettings {
    /// Records after which a key is forgotten, counted from its claim or, once it has one, from
    /// its outcome. This is the at-most-once horizon: a repeat that comes later runs again.
    pub retention_records: u64,
    /// Records after which the text of an answer is forgotten. A repeat that comes later learns
    /// only that the request ran.
    pub answer_retention_records: u64,
}

/// Why claim ledger settings cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidClaimLedgerSettings {
    /// Nothing would be remembered.
    #[error("retention_records must be at least 1")]
    NoRetention,
    /// An answer cannot outlive its key.
    #[error("answer_retention_records must not exceed retention_records")]
    AnswerOutlivesKey,
}

impl Default for ClaimLedgerSettings {
    fn default() -> Self {
        Self {
            retention_records: DEFAULT_RETENTION_RECORDS,
            answer_retention_records: DEFAULT_ANSWER_RETENTION_RECORDS,
        }
    }
}

impl ClaimLedgerSettings {
    /// Checks the ranges.
    pub fn validate(&self) -> Result<(), InvalidClaimLedgerSettings> {
        if self.retention_records == 0 {
            return Err(InvalidClaimLedgerSettings::NoRetention);
        }
        if self.answer_retention_records > self.retention_records {
            return Err(InvalidClaimLedgerSettings::AnswerOutlivesKey);
        }
        Ok(())
    }
}
