//! Stand-in of an engine: the model of `havenstage-emulator` on the real clock, behind the
//! engines' HTTP dialect.

mod routes;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Router;
use havenstage_emulator::{
    Engine, EngineOutput, EngineSettings, EngineTime, ExecutionRecord, OrderRefusal, SubmitRefusal,
};
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_types::engine::{EngineOrder, GenerateRequest, LoadReport, TokenChunk};
use havenstage_types::ids::{AttemptId, VersionNumber};
use http::{StatusCode, Uri};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::gate::Gate;
use crate::server::{Intake, OUTAGE_DELAY, Running, Standin, StandinError};

/// Settings of the engine stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineStandinSettings {
    /// Settings of the model.
    pub engine: EngineSettings,
    /// Seed of boot ids and random failures.
    pub seed: u64,
    /// Milliseconds a crashed engine takes to start again.
    pub restart_ms: u64,
    /// Weight store to fetch versions from; without it a fetch takes the time the model says.
    pub weight_store: Option<SocketAddr>,
    /// Milliseconds a fetch from the weight store may take.
    pub fetch_timeout_ms: u64,
    /// HTTP client for the weight store.
    pub http_client: HttpClientSettings,
}

impl Default for EngineStandinSettings {
    fn default() -> Self {
        Self {
            engine: EngineSettings::default(),
            seed: 0,
            restart_ms: 1_000,
            weight_store: None,
            fetch_timeout_ms: 60_000,
            http_client: HttpClientSettings::default(),
        }
    }
}

impl EngineStandinSettings {
    /// Checks every field against its allowed range.
    pub fn validate(&self) -> Result<(), StandinError> {
        self.engine.validate()?;
        self.http_client.validate()?;
        if self.fetch_timeout_ms == 0 {
            return Err(StandinError::InvalidSetting {
                field: "fetch_timeout_ms",
                allowed: "1 or more",
            });
        }
        Ok(())
    }
}

/// Commands of the engine stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineMisbehaviour {
    /// Break all connections and start again empty, with the initial version and a new boot id.
    Crash,
    /// Say that it is leaving and refuse new requests.
    Leave,
    /// Fail the next version swap after its load.
    FailNextSwap,
    /// Compute at another speed.
    Slow {
        /// Factor on the time of every iteration; 1 is normal speed.
        factor: f64,
    },
}

/// What the engine stand-in ran.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineStandinRecord {
    /// Boot id of every run, the present one last.
    pub boots: Vec<u64>,
    /// Versions loaded, in order.
    pub versions_loaded: Vec<VersionNumber>,
    /// Versions whose swap failed, in order.
    pub failed_swaps: Vec<VersionNumber>,
    /// All executions by attempt.
    pub executions: Vec<ExecutionRecord>,
}

/// State of the engine stand-in.
#[derive(Debug)]
pub struct EngineStandin {
    settings: EngineStandinSettings,
    started: Instant,
    gate: Gate,
    client: HttpClient,
    inner: Mutex<Inner>,
    wake: Notify,
}

#[derive(Debug)]
struct Inner {
    engine: Engine,
    streams: BTreeMap<AttemptId, mpsc::UnboundedSender<TokenChunk>>,
    boots: Vec<u64>,
    versions_loaded: Vec<VersionNumber>,
    failed_swaps: Vec<VersionNumber>,
}

impl EngineStandin {
    /// Starts an engine on `listener`.
    pub async fn start(
        listener: TcpListener,
        settings: EngineStandinSettings,
    ) -> Result<Running<Self>, StandinError> {
        Self::start_with(listener, settings, routes::routes(), Intake::default()).await
    }

    /// Starts an engine on `listener` behind the routes of another dialect, within the bounds of `intake`.
    pub async fn start_with(
        listener: TcpListener,
        mut settings: EngineStandinSettings,
        routes: Router<Arc<Self>>,
        intake: Intake,
    ) -> Result<Running<Self>, StandinError> {
        settings.validate()?;
        settings.engine.swap.external_fetch = settings.weight_store.is_some();
        let engine = Engine::new(settings.engine.clone(), settings.seed)?;
        let gate = Gate::new();
        let inner = Inner {
            boots: vec![engine.true_load().boot],
            engine,
            streams: BTreeMap::new(),
            versions_loaded: Vec::new(),
            failed_swaps: Vec::new(),
        };
        let state = Arc::new(Self {
            started: Instant::now(),
            gate: gate.clone(),
            client: HttpClient::new(settings.http_client.clone()),
            settings,
            inner: Mutex::new(inner),
            wake: Notify::new(),
        });
        let driver = tokio::spawn(drive(state.clone()));
        let running = Running::start_with(listener, gate, state, routes, intake)?;
        Ok(running.with_task(driver))
    }

    /// Starts an execution; its output comes in pieces. Dropping the receiver cancels it.
    pub fn generate(
        &self,
        request: GenerateRequest,
    ) -> Result<mpsc::UnboundedReceiver<TokenChunk>, SubmitRefusal> {
        let attempt = request.attempt;
        // An answer has a bounded number of tokens, and so has the channel.
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut inner = self.lock();
        inner.engine.submit(self.now(), request)?;
        inner.streams.insert(attempt, sender);
        drop(inner);
        self.wake.notify_one();
        Ok(receiver)
    }

    /// Stops an execution; an unknown attempt is ignored.
    pub fn cancel(&self, attempt: AttemptId) {
        let now = self.now();
        let mut inner = self.lock();
        inner.engine.cancel(now, attempt);
        inner.streams.remove(&attempt);
        drop(inner);
        self.wake.notify_one();
    }

    /// Takes a fenced order.
    pub fn take_order(&self, order: EngineOrder) -> Result<(), OrderRefusal> {
        let taken = self.lock().engine.order(self.now(), order);
        self.wake.notify_one();
        taken
    }

    /// What is true of the engine now, without the lag of its report.
    pub fn true_load(&self) -> LoadReport {
        self.lock().engine.true_load()
    }

    /// What the engine says about itself now.
    pub fn load_report(&self) -> LoadReport {
        self.lock().engine.load_report(self.now())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> EngineTime {
        EngineTime(0) + self.started.elapsed()
    }

    fn to_instant(&self, time: EngineTime) -> Instant {
        self.started + Duration::from_micros(time.0)
    }

    /// Moves the model on to the present and hands out what it put out.
    fn step(self: &Arc<Self>) -> Option<EngineTime> {
        let now = self.now();
        let mut inner = self.lock();
        for output in inner.engine.advance(now) {
            self.hand_out(&mut inner, output, now);
        }
        inner.engine.next_event_at()
    }

    fn hand_out(self: &Arc<Self>, inner: &mut Inner, output: EngineOutput, now: EngineTime) {
        match output {
            EngineOutput::Chunk { attempt, chunk } => inner.send(attempt, chunk, now),
            EngineOutput::Broken { attempt } => {
                inner.streams.remove(&attempt);
            }
            EngineOutput::Crashed { boot } => {
                inner.boots.push(boot);
                let outage = Duration::from_millis(self.settings.restart_ms);
                self.gate.schedule_outage(OUTAGE_DELAY, outage);
            }
            EngineOutput::FetchWanted { version, location } => {
                tokio::spawn(fetch(self.clone(), version, location));
            }
            EngineOutput::VersionLoaded(version) => inner.versions_loaded.push(version),
            EngineOutput::SwapFailed(version) => inner.failed_swaps.push(version),
            EngineOutput::Cache(_) => {}
        }
    }
}

impl Inner {
    /// Sends a chunk to its caller; an execution whose caller is gone is cancelled.
    fn send(&mut self, attempt: AttemptId, chunk: TokenChunk, now: EngineTime) {
        let finished = chunk.finish.is_some();
        let Some(stream) = self.streams.get(&attempt) else {
            return;
        };
        let caller_gone = stream.send(chunk).is_err();
        if caller_gone && !finished {
            self.engine.cancel(now, attempt);
        }
        if caller_gone || finished {
            self.streams.remove(&attempt);
        }
    }
}

/// Runs an engine on `listener` until it fails.
pub async fn serve(
    listener: TcpListener,
    settings: EngineStandinSettings,
) -> Result<(), StandinError> {
    EngineStandin::start(listener, settings).await?.wait().await;
    Ok(())
}

impl Standin for EngineStandin {
    type Misbehaviour = EngineMisbehaviour;
    type Record = EngineStandinRecord;

    fn misbehave(&self, command: EngineMisbehaviour) {
        let now = self.now();
        let mut inner = self.lock();
        match command {
            EngineMisbehaviour::Crash => inner.engine.crash(now),
            EngineMisbehaviour::Leave => inner.engine.leave(now),
            EngineMisbehaviour::FailNextSwap => inner.engine.fail_next_swap(),
            EngineMisbehaviour::Slow { factor } => {
                if let Err(error) = inner.engine.set_slowness(factor) {
                    log::warn!(error:% = error; "command ignored");
                }
            }
        }
        drop(inner);
        self.wake.notify_one();
    }

    fn record(&self) -> EngineStandinRecord {
        let inner = self.lock();
        EngineStandinRecord {
            boots: inner.boots.clone(),
            versions_loaded: inner.versions_loaded.clone(),
            failed_swaps: inner.failed_swaps.clone(),
            executions: inner.engine.executions().to_vec(),
        }
    }
}

/// Drives the model: sleeps until its next event or until new input comes.
async fn drive(standin: Arc<EngineStandin>) {
    loop {
        let next_event_at = standin.step();
        let woken = standin.wake.notified();
        match next_event_at {
            Some(time) => {
                let deadline = standin.to_instant(time);
                // Being woken and reaching the deadline lead to the same next step.
                let _ = tokio::time::timeout_at(deadline, woken).await;
            }
            None => woken.await,
        }
    }
}

/// Fetches weights from the store and tells the model how that went.
async fn fetch(standin: Arc<EngineStandin>, version: VersionNumber, location: String) {
    let fetched = fetch_weights(&standin, &location).await;
    log::debug!(version = version.0, fetched = fetched; "fetch from the weight store ended");
    let now = standin.now();
    standin.lock().engine.fetch_finished(now, version, fetched);
    standin.wake.notify_one();
}

async fn fetch_weights(standin: &EngineStandin, location: &str) -> bool {
    let Some(store) = standin.settings.weight_store else {
        return false;
    };
    let Ok(location) = location.parse::<Uri>() else {
        return false;
    };
    let timeout = Duration::from_millis(standin.settings.fetch_timeout_ms);
    let answer = standin.client.get_within(store, location.path(), timeout);
    matches!(answer.await, Ok(answer) if answer.status == StatusCode::OK)
}
