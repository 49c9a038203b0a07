//! Stand-in of the weight store. Requests and bytes are each limited by a token bucket: too many
//! requests are answered 429, and bytes are sent no faster than the limit.

mod token_bucket;

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, put};
use axum::{Json, Router};
use bytes::Bytes;
use futures::{Stream, stream};
use havenstage_platform_http::weight_store::VersionInfo;
use havenstage_types::ids::{ModelName, VersionNumber};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::gate::Gate;
use crate::server::{Running, Standin, StandinError};
pub use token_bucket::TokenBucket;

/// Bytes that are sent at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Settings of the weight-store stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreSettings {
    /// Requests answered per second on average.
    pub requests_per_second: f64,
    /// Requests answered at once after a pause.
    pub request_burst: f64,
    /// Bytes sent per second on average, to all readers together.
    pub bytes_per_second: f64,
    /// Bytes sent at once after a pause.
    pub burst_bytes: f64,
    /// Largest version in bytes.
    pub max_version_bytes: usize,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self {
            requests_per_second: 100.0,
            request_burst: 100.0,
            bytes_per_second: 100e6,
            burst_bytes: 1e6,
            max_version_bytes: 64 * 1024 * 1024,
        }
    }
}

impl WeightStoreSettings {
    /// Checks every field against its allowed range.
    pub fn validate(&self) -> Result<(), StandinError> {
        let fields = [
            ("requests_per_second", self.requests_per_second),
            ("request_burst", self.request_burst - 1.0 + f64::EPSILON),
            ("bytes_per_second", self.bytes_per_second),
            ("max_version_bytes", self.max_version_bytes as f64),
        ];
        for (field, value) in fields {
            if !(value.is_finite() && value > 0.0) {
                return Err(StandinError::InvalidSetting {
                    field,
                    allowed: "above 0, a request burst of 1 or more",
                });
            }
        }
        Ok(())
    }
}

/// Commands of the weight-store stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WeightStoreMisbehaviour {
    /// Behave again.
    Behave,
    /// Answer 503.
    Unavailable,
    /// Answer 429 to everything.
    RateLimited,
}

/// What the weight-store stand-in saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WeightStoreRecord {
    /// Versions stored.
    pub stored: u64,
    /// Fetches begun.
    pub fetches: u64,
    /// Bytes sent to readers.
    pub sent_bytes: u64,
    /// Requests answered 429.
    pub rate_limited: u64,
    /// Requests answered 503.
    pub refused: u64,
}

/// State of the weight-store stand-in.
#[derive(Debug)]
pub struct WeightStoreStandin {
    inner: Mutex<Inner>,
}

type VersionKey = (ModelName, VersionNumber);

#[derive(Debug)]
struct Inner {
    versions: BTreeMap<VersionKey, Bytes>,
    requests: TokenBucket,
    bytes: TokenBucket,
    misbehaviour: WeightStoreMisbehaviour,
    seen: WeightStoreRecord,
}

impl WeightStoreStandin {
    /// Starts a weight store on `listener`.
    pub async fn start(
        listener: TcpListener,
        settings: WeightStoreSettings,
    ) -> Result<Running<Self>, StandinError> {
        settings.validate()?;
        let now = Instant::now();
        let inner = Inner {
            versions: BTreeMap::new(),
            requests: TokenBucket::new(settings.requests_per_second, settings.request_burst, now),
            bytes: TokenBucket::new(settings.bytes_per_second, settings.burst_bytes, now),
            misbehaviour: WeightStoreMisbehaviour::Behave,
            seen: WeightStoreRecord::default(),
        };
        let state = Arc::new(Self {
            inner: Mutex::new(inner),
        });
        let routes = Router::new()
            .route("/models/{model}/versions/{number}", put(store).get(fetch))
            .route("/models/{model}/versions/{number}/info", get(info))
            .layer(DefaultBodyLimit::max(settings.max_version_bytes));
        Running::start(listener, Gate::new(), state, routes)
    }

    /// Stores a version, past the rate limit.
    pub fn put(&self, model: ModelName, version: VersionNumber, weights: Bytes) {
        let mut inner = self.lock();
        inner.seen.stored += 1;
        inner.versions.insert((model, version), weights);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs a weight store on `listener` until it fails.
pub async fn serve(
    listener: TcpListener,
    settings: WeightStoreSettings,
) -> Result<(), StandinError> {
    WeightStoreStandin::start(listener, settings)
        .await?
        .wait()
        .await;
    Ok(())
}

impl Standin for WeightStoreStandin {
    type Misbehaviour = WeightStoreMisbehaviour;
    type Record = WeightStoreRecord;

    fn misbehave(&self, command: WeightStoreMisbehaviour) {
        self.lock().misbehaviour = command;
    }

    fn record(&self) -> WeightStoreRecord {
        self.lock().seen
    }
}

impl Inner {
    fn admit(&mut self) -> Result<(), StatusCode> {
        if self.misbehaviour == WeightStoreMisbehaviour::Unavailable {
            self.seen.refused += 1;
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let limited = self.misbehaviour == WeightStoreMisbehaviour::RateLimited
            || !self.requests.try_take(1.0, Instant::now());
        if limited {
            self.seen.rate_limited += 1;
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        Ok(())
    }

    fn find(&mut self, key: &VersionKey) -> Result<Bytes, StatusCode> {
        self.admit()?;
        self.versions.get(key).cloned().ok_or(StatusCode::NOT_FOUND)
    }
}

async fn store(
    State(standin): State<Arc<WeightStoreStandin>>,
    Path((model, version)): Path<VersionKey>,
    weights: Bytes,
) -> StatusCode {
    if let Err(status) = standin.lock().admit() {
        return status;
    }
    standin.put(model, version, weights);
    StatusCode::OK
}

async fn info(
    State(standin): State<Arc<WeightStoreStandin>>,
    Path(key): Path<VersionKey>,
) -> Response {
    match standin.lock().find(&key) {
        Ok(weights) => Json(VersionInfo {
            size_bytes: weights.len() as u64,
        })
        .into_response(),
        Err(status) => status.into_response(),
    }
}

async fn fetch(
    State(standin): State<Arc<WeightStoreStandin>>,
    Path(key): Path<VersionKey>,
) -> Response {
    let found = standin.lock().find(&key);
    match found {
        Ok(weights) => {
            standin.lock().seen.fetches += 1;
            Body::from_stream(limited_stream(standin, weights)).into_response()
        }
        Err(status) => status.into_response(),
    }
}

/// Sends `weights` piece by piece, each when the byte limit allows it.
fn limited_stream(
    standin: Arc<WeightStoreStandin>,
    weights: Bytes,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold((standin, weights), |(standin, mut rest)| async move {
        if rest.is_empty() {
            return None;
        }
        let piece = rest.split_to(rest.len().min(PIECE_BYTES));
        let allowed_at = standin
            .lock()
            .bytes
            .take_later(piece.len() as f64, Instant::now());
        tokio::time::sleep_until(allowed_at).await;
        standin.lock().seen.sent_bytes += piece.len() as u64;
        Some((Ok(piece), (standin, rest)))
    })
}
