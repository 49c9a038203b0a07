//! What an operator changes by hand, from any machine, through the shared log.

use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::crash_ledger::Fingerprint;
use havenstage_rollout::framing;
use havenstage_rollout::stored::Stored;
use thiserror::Error;

use crate::context::CONTROL;
use crate::edge::{LogError, SharedLog};

/// Why a request could not be cleared.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClearError {
    /// The text is no fingerprint.
    #[error(
        "{0:?} is no fingerprint: 32 hexadecimal digits, as the field `content` of log lines names it"
    )]
    InvalidFingerprint(String),
    /// It could not be written to the log.
    #[error("not written: {0}")]
    NotWritten(#[from] LogError),
}

/// Tells all nodes to hold nothing against a request any more.
pub async fn clear_request(
    log: &dyn SharedLog,
    record_bytes: usize,
    fingerprint: &str,
) -> Result<(), ClearError> {
    let request = Fingerprint::parse(fingerprint)
        .ok_or_else(|| ClearError::InvalidFingerprint(fingerprint.to_owned()))?;
    let record = ControlRecord::RequestCleared { request };
    let records = framing::split(&record.encode(), record_bytes);
    log.append(CONTROL, records).await?;
    Ok(())
}
