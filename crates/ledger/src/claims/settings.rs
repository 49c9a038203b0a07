//! How long the records of a claim stream are remembered.

use serde::{Deserialize, Serialize};
use thiserror::Error;

const DEFAULT_RETENTION_RECORDS: u64 = 1_000_000;
const DEFAULT_ANSWER_RETENTION_RECORDS: u64 = 50_000;

/// How long a claim ledger remembers, in records of its stream.
///
/// The settings must be the same on every node of a deployment: readers with different settings
/// would forget a key at different offsets and disagree about which attempt holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLedgerSettings {
    /// Records after which a key is forgotten, counted from its claim or, once it has one, from
    /// its outcome. A repeat of the request after that runs again.
    pub retention_records: u64,
    /// Records after which the text of an answer is forgotten, counted from the outcome that holds
    /// it. A repeat of the request after that is told only that the request ran.
    pub answer_retention_records: u64,
}

/// Why claim ledger settings cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidClaimLedgerSettings {
    /// `retention_records` is 0, so that no key would be remembered.
    #[error("retention_records must be at least 1")]
    NoRetention,
    /// `answer_retention_records` exceeds `retention_records`; an answer is stored with its key and
    /// cannot be kept longer.
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
    /// Checks the ranges of the settings.
    ///
    /// # Errors
    ///
    /// The first rule that the settings break.
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
