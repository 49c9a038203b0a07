//! Calls from before the log was away are given up once it is back.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use havenstage_gateway::edge::{
    Appended, LogError, LogPage, LogStream, SharedLog, SteadyClock, StreamPartition,
};
use havenstage_gateway::watched_log::{Contact, Watched};

const ANSWERED: StreamPartition = StreamPartition {
    stream: LogStream::Orders,
    partition: 0,
};
const CUT: StreamPartition = StreamPartition {
    stream: LogStream::Batches,
    partition: 0,
};
/// Longer than the time after which the log counts as having been away.
const AWAY: Duration = Duration::from_millis(1_100);
const SOON: Duration = Duration::from_millis(300);

/// Answers appends to one partition, fails those to the other, and leaves reads without an answer.
struct PartlySilentLog;

#[async_trait]
impl SharedLog for PartlySilentLog {
    async fn append(
        &self,
        partition: StreamPartition,
        _records: Vec<Bytes>,
    ) -> Result<Appended, LogError> {
        if partition == CUT {
            return Err(LogError::Unreachable);
        }
        Ok(Appended { offset: 0, end: 1 })
    }

    async fn read(
        &self,
        _partition: StreamPartition,
        _from: u64,
        _wait: Duration,
    ) -> Result<LogPage, LogError> {
        std::future::pending().await
    }
}

fn watched() -> Arc<Watched<dyn SharedLog>> {
    let contact = Arc::new(Contact::new(SteadyClock::start()));
    let log: Arc<dyn SharedLog> = Arc::new(PartlySilentLog);
    Arc::new(Watched::new(log, contact))
}

/// Starts a read that gets no answer.
fn read(log: &Arc<Watched<dyn SharedLog>>) -> tokio::task::JoinHandle<Result<LogPage, LogError>> {
    let log = log.clone();
    tokio::spawn(async move { log.read(CUT, 0, Duration::ZERO).await })
}

#[tokio::test]
async fn calls_from_before_are_given_up_once_the_log_is_back() {
    let log = watched();
    assert!(log.append(ANSWERED, Vec::new()).await.is_ok());
    for _ in 0..2 {
        assert!(log.append(CUT, Vec::new()).await.is_err());
    }
    let pending = read(&log);
    tokio::time::sleep(AWAY).await;
    assert!(!pending.is_finished());
    assert!(log.append(ANSWERED, Vec::new()).await.is_ok());
    let given_up = tokio::time::timeout(SOON, pending).await;
    let result = given_up.expect("given up at once").expect("no panic");
    assert_eq!(result.err(), Some(LogError::Unknown));
}

#[tokio::test]
async fn calls_go_on_where_the_log_was_only_quiet() {
    let log = watched();
    assert!(log.append(ANSWERED, Vec::new()).await.is_ok());
    let pending = read(&log);
    tokio::time::sleep(AWAY).await;
    assert!(log.append(ANSWERED, Vec::new()).await.is_ok());
    assert!(tokio::time::timeout(SOON, pending).await.is_err());
}

#[tokio::test]
async fn calls_go_on_where_a_part_of_the_log_is_away() {
    let log = watched();
    let pending = read(&log);
    for _ in 0..6 {
        assert!(log.append(CUT, Vec::new()).await.is_err());
        tokio::time::sleep(SOON).await;
        assert!(log.append(ANSWERED, Vec::new()).await.is_ok());
    }
    assert!(tokio::time::timeout(SOON, pending).await.is_err());
}
