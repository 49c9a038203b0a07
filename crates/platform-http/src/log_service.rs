//! Wire format of the log service: JSON bodies with payloads in base64. Stream names travel in
//! the body, so any name is allowed. A read waits at the server (long poll).

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use havenstage_edge::log_service::{LogError, LogService, ReadBatch};
use havenstage_types::ids::{LogOffset, StreamName};
use havenstage_types::peer::RawRecord;
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::http_client::{HttpClient, HttpError, ShortAnswer, json_request};

/// Path that takes an [`AppendRequest`].
pub const APPEND_PATH: &str = "/v1/append";
/// Path that takes a [`ReadRequest`].
pub const READ_PATH: &str = "/v1/read";

/// Asks to append records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Stream to append to.
    pub stream: StreamName,
    /// Records, each in base64.
    pub records: Vec<String>,
}

/// Where appended records went.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Offset of the first record.
    pub first_offset: LogOffset,
}

/// Asks for records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Stream to read.
    pub stream: StreamName,
    /// Offset of the first record wanted.
    pub from: LogOffset,
    /// Most records wanted.
    pub max_records: usize,
    /// Milliseconds to wait when there is nothing to read.
    pub wait_ms: u64,
}

/// Records read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Records in offset order.
    pub records: Vec<WireRecord>,
    /// Offset that the next append would have got.
    pub end: LogOffset,
}

/// A record on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRecord {
    /// Offset in its stream.
    pub offset: LogOffset,
    /// Payload in base64.
    pub payload: String,
}

/// A payload as it is sent.
pub fn encode_payload(payload: &[u8]) -> String {
    STANDARD.encode(payload)
}

/// A payload as it was before sending, or `None` when it is not base64.
pub fn decode_payload(encoded: &str) -> Option<Bytes> {
    STANDARD.decode(encoded).ok().map(Bytes::from)
}

/// Client of the log service.
#[derive(Debug, Clone)]
pub struct HttpLogService {
    client: HttpClient,
    server: SocketAddr,
}

impl HttpLogService {
    /// A client of the log service at `server`.
    pub fn new(client: HttpClient, server: SocketAddr) -> Self {
        Self { client, server }
    }

    async fn post<T: Serialize>(
        &self,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<ShortAnswer, LogError> {
        let request = json_request(self.server, path, body).map_err(log_error)?;
        self.client
            .exchange(request, timeout)
            .await
            .map_err(log_error)
    }
}

#[async_trait]
impl LogService for HttpLogService {
    async fn append(
        &self,
        stream: &StreamName,
        records: Vec<Bytes>,
    ) -> Result<LogOffset, LogError> {
        let body = AppendRequest {
            stream: stream.clone(),
            records: records
                .iter()
                .map(|record| encode_payload(record))
                .collect(),
        };
        let timeout = self.client.settings().request_timeout();
        let answer = self.post(APPEND_PATH, &body, timeout).await?;
        let answer: AppendAnswer = read_answer(&answer)?;
        Ok(answer.first_offset)
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
        wait: Duration,
    ) -> Result<ReadBatch, LogError> {
        let body = ReadRequest {
            stream: stream.clone(),
            from,
            max_records,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let timeout = self
            .client
            .settings()
            .request_timeout()
            .saturating_add(wait);
        let answer = self.post(READ_PATH, &body, timeout).await?;
        let answer: ReadAnswer = read_answer(&answer)?;
        let records: Option<Vec<RawRecord>> = answer.records.into_iter().map(raw_record).collect();
        Ok(ReadBatch {
            records: records.ok_or(LogError::Malformed)?,
            end: answer.end,
        })
    }
}

fn raw_record(record: WireRecord) -> Option<RawRecord> {
    Some(RawRecord {
        offset: record.offset,
        payload: decode_payload(&record.payload)?,
    })
}

fn read_answer<T: DeserializeOwned>(answer: &ShortAnswer) -> Result<T, LogError> {
    match answer.status {
        StatusCode::OK => answer.json().ok_or(LogError::Malformed),
        StatusCode::SERVICE_UNAVAILABLE => Err(LogError::Unavailable),
        _ => Err(LogError::Malformed),
    }
}

fn log_error(error: HttpError) -> LogError {
    match error {
        HttpError::NotConnected | HttpError::InvalidRequest => LogError::NotSent,
        HttpError::NoAnswer => LogError::NoAnswer,
    }
}
