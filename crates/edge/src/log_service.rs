//! The platform's append-only log.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use havenstage_types::ids::{LogOffset, StreamName};
use havenstage_types::peer::RawRecord;
use thiserror::Error;

/// Append-only streams with offsets. There is no compare-and-set.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends records in order and returns the offset of the first one. After any error except
    /// [`LogError::NotSent`] the records may have been appended all the same.
    async fn append(&self, stream: &StreamName, records: Vec<Bytes>)
    -> Result<LogOffset, LogError>;

    /// Reads up to `max_records` from `from` on. With nothing to read it waits up to `wait`.
    async fn read(
        &self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
        wait: Duration,
    ) -> Result<ReadBatch, LogError>;
}

/// Records read from a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadBatch {
    /// Records in offset order, without gaps.
    pub records: Vec<RawRecord>,
    /// Offset the next append to the stream would have got when the log answered.
    pub end: LogOffset,
}

/// Why the log did not answer as asked.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LogError {
    /// Nothing was sent: the connection was refused.
    #[error("the log service refused the connection")]
    NotSent,
    /// No answer in time, or the connection broke after the request was sent.
    #[error("no answer from the log service")]
    NoAnswer,
    /// The log answered that it cannot serve now.
    #[error("the log service is unavailable")]
    Unavailable,
    /// The answer could not be understood.
    #[error("the log service's answer is malformed")]
    Malformed,
}
