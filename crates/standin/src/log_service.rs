//! Stand-in of the log service: append-only streams in memory, with long poll.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{DefaultBodyLimit, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use bytes::Bytes;
use havenstage_platform_http::log_service::{
    APPEND_PATH, AppendAnswer, AppendRequest, READ_PATH, ReadAnswer, ReadRequest, WireRecord,
    decode_payload, encode_payload,
};
use havenstage_types::ids::{LogOffset, StreamName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gate::Gate;
use crate::server::{OUTAGE_DELAY, Running, Standin, StandinError, lost_answer};

/// Settings of the log stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Seed of the random choice of answers to lose.
    pub seed: u64,
    /// Milliseconds every append takes.
    pub append_delay_ms: u64,
    /// Longest wait of a read in milliseconds.
    pub max_wait_ms: u64,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            append_delay_ms: 0,
            max_wait_ms: 60_000,
            max_body_bytes: 64 * 1024 * 1024,
        }
    }
}

impl LogSettings {
    /// Checks every field against its allowed range.
    pub fn validate(&self) -> Result<(), StandinError> {
        if self.max_body_bytes == 0 {
            return Err(StandinError::InvalidSetting {
                field: "max_body_bytes",
                allowed: "1 or more",
            });
        }
        Ok(())
    }
}

/// Commands of the log stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogMisbehaviour {
    /// Behave again.
    Behave,
    /// Answer 503 without effect.
    Unavailable,
    /// Refuse and break connections for a time.
    RefuseConnections {
        /// Milliseconds until connections are taken again.
        for_ms: u64,
    },
    /// Wait before every answer.
    Slow {
        /// Milliseconds to wait.
        by_ms: u64,
    },
    /// Take effect, then break the connection instead of answering an append.
    LoseAnswers {
        /// Probability of losing an answer.
        probability: f64,
    },
}

/// What the log stand-in saw.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LogRecord {
    /// Append requests that took effect.
    pub appends: u64,
    /// Appends that took effect and whose answer was lost on purpose.
    pub lost_answers: u64,
    /// Requests answered 503.
    pub refused: u64,
    /// Read requests.
    pub reads: u64,
    /// Payload bytes appended.
    pub appended_bytes: u64,
    /// Number of records of each stream.
    pub streams: BTreeMap<StreamName, u64>,
}

/// State of the log stand-in.
#[derive(Debug)]
pub struct LogStandin {
    settings: LogSettings,
    gate: Gate,
    streams: Mutex<Streams>,
    appended: watch::Sender<()>,
}

#[derive(Debug)]
struct Streams {
    records: BTreeMap<StreamName, Vec<Bytes>>,
    misbehaviour: LogMisbehaviour,
    random: ChaCha8Rng,
    seen: LogRecord,
}

impl LogStandin {
    /// Starts a log on `listener`.
    pub async fn start(
        listener: TcpListener,
        settings: LogSettings,
    ) -> Result<Running<Self>, StandinError> {
        settings.validate()?;
        let gate = Gate::new();
        let streams = Streams {
            records: BTreeMap::new(),
            misbehaviour: LogMisbehaviour::Behave,
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            seen: LogRecord::default(),
        };
        let routes = Router::new()
            .route(APPEND_PATH, post(append))
            .route(READ_PATH, post(read))
            .layer(DefaultBodyLimit::max(settings.max_body_bytes));
        let state = Arc::new(Self {
            settings,
            gate: gate.clone(),
            streams: Mutex::new(streams),
            appended: watch::Sender::new(()),
        });
        Running::start(listener, gate, state, routes)
    }

    /// All records of a stream.
    pub fn stream(&self, stream: &StreamName) -> Vec<Bytes> {
        self.lock().records.get(stream).cloned().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits as long as told, and says whether the service is up.
    async fn admit(&self, delay_ms: u64) -> bool {
        let misbehaviour = self.lock().misbehaviour;
        let extra_ms = match misbehaviour {
            LogMisbehaviour::Slow { by_ms } => by_ms,
            _ => 0,
        };
        let delay = Duration::from_millis(delay_ms + extra_ms);
        // Even a sleep of no time lasts until the timer's next millisecond.
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let up = misbehaviour != LogMisbehaviour::Unavailable;
        if !up {
            self.lock().seen.refused += 1;
        }
        up
    }
}

/// Runs a log on `listener` until it fails.
pub async fn serve(listener: TcpListener, settings: LogSettings) -> Result<(), StandinError> {
    LogStandin::start(listener, settings).await?.wait().await;
    Ok(())
}

impl Standin for LogStandin {
    type Misbehaviour = LogMisbehaviour;
    type Record = LogRecord;

    fn misbehave(&self, command: LogMisbehaviour) {
        if let LogMisbehaviour::RefuseConnections { for_ms } = command {
            let outage = Duration::from_millis(for_ms);
            self.gate.schedule_outage(OUTAGE_DELAY, outage);
            return;
        }
        self.lock().misbehaviour = command;
    }

    fn record(&self) -> LogRecord {
        let streams = self.lock();
        let mut seen = streams.seen.clone();
        seen.streams = streams
            .records
            .iter()
            .map(|(name, records)| (name.clone(), records.len() as u64))
            .collect();
        seen
    }
}

impl Streams {
    /// Appends, and says where and whether the answer shall be lost.
    fn append(&mut self, stream: StreamName, records: Vec<Bytes>) -> (LogOffset, bool) {
        self.seen.appends += 1;
        self.seen.appended_bytes += records
            .iter()
            .map(|record| record.len() as u64)
            .sum::<u64>();
        let kept = self.records.entry(stream).or_default();
        let first_offset = LogOffset(kept.len() as u64);
        kept.extend(records);
        let lost = match self.misbehaviour {
            LogMisbehaviour::LoseAnswers { probability } => {
                self.random.random_bool(probability.clamp(0.0, 1.0))
            }
            _ => false,
        };
        self.seen.lost_answers += u64::from(lost);
        (first_offset, lost)
    }

    fn read(&self, request: &ReadRequest) -> ReadAnswer {
        let kept = self
            .records
            .get(&request.stream)
            .map_or(&[][..], Vec::as_slice);
        let start = usize::try_from(request.from.0).unwrap_or(usize::MAX);
        let records = kept
            .iter()
            .enumerate()
            .skip(start)
            .take(request.max_records)
            .map(|(offset, payload)| WireRecord {
                offset: LogOffset(offset as u64),
                payload: encode_payload(payload),
            })
            .collect();
        ReadAnswer {
            records,
            end: LogOffset(kept.len() as u64),
        }
    }
}

async fn append(
    State(log): State<Arc<LogStandin>>,
    Json(request): Json<AppendRequest>,
) -> Response {
    if !log.admit(log.settings.append_delay_ms).await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let payloads: Option<Vec<Bytes>> = request
        .records
        .iter()
        .map(|record| decode_payload(record))
        .collect();
    let Some(payloads) = payloads else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let (first_offset, lost) = log.lock().append(request.stream, payloads);
    log.appended.send_replace(());
    if lost {
        return lost_answer();
    }
    Json(AppendAnswer { first_offset }).into_response()
}

async fn read(State(log): State<Arc<LogStandin>>, Json(request): Json<ReadRequest>) -> Response {
    if !log.admit(0).await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    log.lock().seen.reads += 1;
    let wait = Duration::from_millis(request.wait_ms.min(log.settings.max_wait_ms));
    let deadline = Instant::now() + wait;
    let mut appended = log.appended.subscribe();
    loop {
        let answer = log.lock().read(&request);
        if !answer.records.is_empty() {
            return Json(answer).into_response();
        }
        let more = tokio::time::timeout_at(deadline, appended.changed()).await;
        if more.is_err() {
            return Json(answer).into_response();
        }
    }
}
