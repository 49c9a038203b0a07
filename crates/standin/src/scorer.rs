//! Stand-in of the scorer: the reward follows from the text alone.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use havenstage_edge::scorer::ScoreRequest;
use havenstage_platform_http::scorer::{SCORE_PATH, ScoreAnswer};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use xxhash_rust::xxh3::xxh3_64;

use crate::gate::Gate;
use crate::server::{Running, Standin, StandinError};

const REWARD_STEPS: u64 = 1_000;

/// Settings of the scorer stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ScorerSettings {
    /// Milliseconds every score takes.
    pub delay_ms: u64,
}

impl ScorerSettings {
    /// Every delay is allowed.
    pub fn validate(&self) -> Result<(), StandinError> {
        Ok(())
    }
}

/// Commands of the scorer stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ScorerMisbehaviour {
    /// Behave again.
    Behave,
    /// Answer 503.
    Unavailable,
    /// Wait before every answer.
    Slow {
        /// Milliseconds to wait.
        by_ms: u64,
    },
}

/// What the scorer stand-in saw.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ScorerRecord {
    /// How often each sample was scored, by its id.
    pub scored: BTreeMap<String, u64>,
    /// Requests answered 503.
    pub refused: u64,
}

/// State of the scorer stand-in.
#[derive(Debug)]
pub struct ScorerStandin {
    delay: Duration,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    misbehaviour: ScorerMisbehaviour,
    seen: ScorerRecord,
}

impl ScorerStandin {
    /// Starts a scorer on `listener`.
    pub async fn start(
        listener: TcpListener,
        settings: ScorerSettings,
    ) -> Result<Running<Self>, StandinError> {
        settings.validate()?;
        let inner = Inner {
            misbehaviour: ScorerMisbehaviour::Behave,
            seen: ScorerRecord::default(),
        };
        let state = Arc::new(Self {
            delay: Duration::from_millis(settings.delay_ms),
            inner: Mutex::new(inner),
        });
        let routes = Router::new().route(SCORE_PATH, post(score));
        Running::start(listener, Gate::new(), state, routes)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs a scorer on `listener` until it fails.
pub async fn serve(listener: TcpListener, settings: ScorerSettings) -> Result<(), StandinError> {
    ScorerStandin::start(listener, settings).await?.wait().await;
    Ok(())
}

impl Standin for ScorerStandin {
    type Misbehaviour = ScorerMisbehaviour;
    type Record = ScorerRecord;

    fn misbehave(&self, command: ScorerMisbehaviour) {
        self.lock().misbehaviour = command;
    }

    fn record(&self) -> ScorerRecord {
        self.lock().seen.clone()
    }
}

/// The reward of a text, from 0 to 1.
pub fn reward_of(text: &str) -> f64 {
    (xxh3_64(text.as_bytes()) % REWARD_STEPS) as f64 / REWARD_STEPS as f64
}

async fn score(
    State(scorer): State<Arc<ScorerStandin>>,
    Json(request): Json<ScoreRequest>,
) -> Response {
    let misbehaviour = scorer.lock().misbehaviour;
    let extra = match misbehaviour {
        ScorerMisbehaviour::Slow { by_ms } => Duration::from_millis(by_ms),
        _ => Duration::ZERO,
    };
    tokio::time::sleep(scorer.delay + extra).await;
    let mut inner = scorer.lock();
    if misbehaviour == ScorerMisbehaviour::Unavailable {
        inner.seen.refused += 1;
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    *inner
        .seen
        .scored
        .entry(request.sample.to_string())
        .or_default() += 1;
    let reward = reward_of(&request.text);
    Json(ScoreAnswer { reward }).into_response()
}
