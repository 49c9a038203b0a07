//! The log client against the log stand-in.

use std::time::Duration;

use bytes::Bytes;
use havenstage_edge::log_service::{LogError, LogService};
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_platform_http::log_service::HttpLogService;
use havenstage_standin::Running;
use havenstage_standin::log_service::{LogMisbehaviour, LogSettings, LogStandin};
use havenstage_types::ids::{LogOffset, StreamName};
use tokio::net::TcpListener;

const NO_WAIT: Duration = Duration::ZERO;
const LONG_WAIT: Duration = Duration::from_secs(60);

async fn start() -> (Running<LogStandin>, HttpLogService) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let log = LogStandin::start(listener, LogSettings::default())
        .await
        .unwrap();
    let service = fresh_client(&log);
    (log, service)
}

/// A client without pooled connections.
fn fresh_client(log: &Running<LogStandin>) -> HttpLogService {
    let client = HttpClient::new(HttpClientSettings::default());
    HttpLogService::new(client, log.address())
}

fn records(payloads: &[&'static str]) -> Vec<Bytes> {
    payloads
        .iter()
        .map(|payload| Bytes::from(*payload))
        .collect()
}

#[tokio::test]
async fn appended_records_are_read_in_offset_order() {
    let (_log, service) = start().await;
    let stream = StreamName::new("any name/is allowed?");
    assert_eq!(
        service.append(&stream, records(&["a", "b"])).await,
        Ok(LogOffset(0))
    );
    assert_eq!(
        service.append(&stream, records(&["c"])).await,
        Ok(LogOffset(2))
    );
    let batch = service
        .read(&stream, LogOffset(1), 10, NO_WAIT)
        .await
        .unwrap();
    let offsets: Vec<u64> = batch.records.iter().map(|record| record.offset.0).collect();
    assert_eq!(offsets, [1, 2]);
    assert_eq!(batch.records[1].payload, "c");
    assert_eq!(batch.end, LogOffset(3));
}

#[tokio::test]
async fn a_waiting_read_is_answered_by_the_next_append() {
    let (_log, service) = start().await;
    let stream = StreamName::new("config");
    let reader = service.clone();
    let name = stream.clone();
    let read = tokio::spawn(async move { reader.read(&name, LogOffset(0), 10, LONG_WAIT).await });
    service
        .append(&StreamName::new("other"), records(&["x"]))
        .await
        .unwrap();
    service.append(&stream, records(&["a"])).await.unwrap();
    let batch = read.await.unwrap().unwrap();
    assert_eq!(batch.records.len(), 1);
}

#[tokio::test]
async fn a_lost_answer_is_reported_as_no_answer_though_the_records_are_there() {
    let (log, service) = start().await;
    let stream = StreamName::new("config");
    log.misbehave(LogMisbehaviour::LoseAnswers { probability: 1.0 });
    let answer = service.append(&stream, records(&["a"])).await;
    assert_eq!(answer, Err(LogError::NoAnswer));
    assert_eq!(log.state().stream(&stream), records(&["a"]));
    assert_eq!(log.record().lost_answers, 1);
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    let (log, service) = start().await;
    let stream = StreamName::new("config");
    service.append(&stream, records(&["a"])).await.unwrap();
    log.gate().closed().await;
    let service = fresh_client(&log);
    let answer = service.append(&stream, records(&["b"])).await;
    assert_eq!(answer, Err(LogError::NotSent));
    log.gate().open();
    let mut answer = service.append(&stream, records(&["c"])).await;
    while answer == Err(LogError::NotSent) {
        tokio::task::yield_now().await;
        answer = service.append(&stream, records(&["c"])).await;
    }
    assert_eq!(answer, Ok(LogOffset(1)));
    assert_eq!(log.state().stream(&stream), records(&["a", "c"]));
}

#[tokio::test]
async fn an_unavailable_log_takes_no_records() {
    let (log, service) = start().await;
    let stream = StreamName::new("config");
    log.misbehave(LogMisbehaviour::Unavailable);
    let answer = service.append(&stream, records(&["a"])).await;
    assert_eq!(answer, Err(LogError::Unavailable));
    assert!(log.state().stream(&stream).is_empty());
    log.misbehave(LogMisbehaviour::Behave);
    assert_eq!(
        service.append(&stream, records(&["b"])).await,
        Ok(LogOffset(0))
    );
}
