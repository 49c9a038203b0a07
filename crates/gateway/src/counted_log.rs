//! A wrapper of the shared log that counts calls and bytes by stream, for the metrics.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use crate::edge::{Appended, LogError, LogPage, LogStream, SharedLog, StreamPartition};
use crate::metrics;

/// Passes all calls to another log and counts them and their bytes.
pub struct CountedLog {
    log: Arc<dyn SharedLog>,
}

impl CountedLog {
    /// Wraps `log`.
    pub fn new(log: Arc<dyn SharedLog>) -> Self {
        Self { log }
    }
}

#[async_trait]
impl SharedLog for CountedLog {
    async fn append(
        &self,
        partition: StreamPartition,
        records: Vec<Bytes>,
    ) -> Result<Appended, LogError> {
        let bytes = total_bytes(&records);
        let appended = self.log.append(partition, records).await;
        count("append", partition, appended.as_ref().map(|_| bytes));
        appended
    }

    async fn append_once(
        &self,
        partition: StreamPartition,
        records: Vec<Bytes>,
    ) -> Result<Appended, LogError> {
        let bytes = total_bytes(&records);
        let appended = self.log.append_once(partition, records).await;
        count("append", partition, appended.as_ref().map(|_| bytes));
        appended
    }

    async fn read(
        &self,
        partition: StreamPartition,
        from: u64,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let page = self.log.read(partition, from, wait).await;
        let bytes = page.as_ref().map(|page| total_bytes(&page.records));
        count("read", partition, bytes);
        page
    }

    fn set_read_timeout(&self, timeout: Duration) {
        self.log.set_read_timeout(timeout);
    }
}

fn total_bytes(records: &[Bytes]) -> usize {
    records.iter().map(Bytes::len).sum()
}

fn count(call: &'static str, partition: StreamPartition, bytes: Result<usize, &LogError>) {
    let stream = match partition.stream {
        LogStream::Batches(_) => "batches",
        LogStream::Control => "control",
        LogStream::Occupancy => "occupancy",
        LogStream::Usage => "usage",
        LogStream::BackendDigest => "backend_digest",
    };
    metrics::log_called(stream, call, bytes.is_ok(), bytes.unwrap_or(0));
}
