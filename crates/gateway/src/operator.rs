//! Changes that an operator makes by hand, from any machine, through the shared log.

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
    /// The text is not a fingerprint.
    #[error(
        "{0:?} is not a fingerprint: expected 32 hexadecimal digits, as in the field `content` of log lines"
    )]
    InvalidFingerprint(String),
    /// The record that clears the request could not be appended to the log.
    #[error("the record that clears the request was not written to the log: {0}")]
    NotWritten(#[from] LogError),
}

/// Clears a request at all nodes: appends a record to the control stream on which each node forgets the ends under the
/// request, so that it is sent to back ends again.
///
/// `fingerprint` is the request's fingerprint as 32 hexadecimal digits; `record_bytes` is the maximum size of a log
/// record in bytes.
///
/// # Errors
///
/// [`ClearError::InvalidFingerprint`] if the text is not a fingerprint; [`ClearError::NotWritten`] if the append
/// failed.
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
