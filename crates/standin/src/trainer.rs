//! Stand-in of a trainer: it pulls a job's steps from the nodes, trains for a set time, publishes
//! the next weight version and acknowledges the step. It notes every sample, its idle time and how
//! stale the samples were.

mod client;
mod record;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_types::ids::{
    JobName, LogOffset, ModelName, StepNumber, TrainerName, VersionNumber,
};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::gate::Gate;
use crate::server::{Running, Standin, StandinError};
use client::NodeClient;
pub use client::{AcknowledgeRequest, PublishRequest};
pub use record::{DeliveryRecord, StepRecord, TrainerRecord};

/// Settings of the trainer stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrainerSettings {
    /// Name it acknowledges with.
    pub name: TrainerName,
    /// Job it trains on.
    pub job: JobName,
    /// Model it publishes versions of.
    pub model: ModelName,
    /// HTTP addresses of nodes; after a failure it goes on with the next one.
    pub nodes: Vec<SocketAddr>,
    /// Weight store that new versions are put into; without it they are only published.
    pub weight_store: Option<SocketAddr>,
    /// Size of a version in bytes.
    pub weight_bytes: usize,
    /// First step to pull.
    pub first_step: u64,
    /// Version it trains from at the start.
    pub first_version: u64,
    /// Steps to train; `None` goes on until stopped.
    pub steps: Option<u64>,
    /// Milliseconds that training on one step takes.
    pub training_ms: u64,
    /// Most samples asked for at once.
    pub max_samples_per_pull: usize,
    /// Milliseconds between pulls that bring nothing, and before a failed request is repeated.
    pub retry_ms: u64,
    /// HTTP client.
    pub http_client: HttpClientSettings,
}

impl Default for TrainerSettings {
    fn default() -> Self {
        Self {
            name: TrainerName::new("trainer"),
            job: JobName::new("job"),
            model: ModelName::new("model"),
            nodes: Vec::new(),
            weight_store: None,
            weight_bytes: 1024 * 1024,
            first_step: 0,
            first_version: 1,
            steps: None,
            training_ms: 2_000,
            max_samples_per_pull: 64,
            retry_ms: 100,
            http_client: HttpClientSettings::default(),
        }
    }
}

impl TrainerSettings {
    /// Checks every field against its allowed range.
    pub fn validate(&self) -> Result<(), StandinError> {
        self.http_client.validate()?;
        if self.nodes.is_empty() {
            return Err(StandinError::InvalidSetting {
                field: "nodes",
                allowed: "at least one address",
            });
        }
        if self.max_samples_per_pull == 0 || self.retry_ms == 0 {
            return Err(StandinError::InvalidSetting {
                field: "max_samples_per_pull, retry_ms",
                allowed: "1 or more",
            });
        }
        Ok(())
    }
}

/// Commands of the trainer stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrainerMisbehaviour {
    /// Behave again.
    Behave,
    /// Spend another time on training.
    TrainFor {
        /// Milliseconds for each step.
        training_ms: u64,
    },
    /// Begin every step by pulling what was delivered before once more, as a trainer does that
    /// restarted from an older checkpoint of its cursor.
    PullTwice,
    /// Stop pulling and acknowledging until it behaves again.
    Stall,
}

/// State of the trainer stand-in.
#[derive(Debug)]
pub struct TrainerStandin {
    settings: TrainerSettings,
    client: NodeClient,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    misbehaviour: TrainerMisbehaviour,
    record: TrainerRecord,
}

impl TrainerStandin {
    /// Starts a trainer whose control paths are on `listener`.
    pub async fn start(
        listener: TcpListener,
        settings: TrainerSettings,
    ) -> Result<Running<Self>, StandinError> {
        settings.validate()?;
        let http_client = HttpClient::new(settings.http_client.clone());
        let client = NodeClient::new(http_client, &settings);
        let inner = Inner {
            misbehaviour: TrainerMisbehaviour::Behave,
            record: TrainerRecord::default(),
        };
        let state = Arc::new(Self {
            settings,
            client,
            inner: Mutex::new(inner),
        });
        let training = tokio::spawn(train(state.clone()));
        let running = Running::start(listener, Gate::new(), state, axum::Router::new())?;
        Ok(running.with_task(training))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn misbehaviour(&self) -> TrainerMisbehaviour {
        self.lock().misbehaviour
    }

    fn training_time(&self) -> Duration {
        match self.misbehaviour() {
            TrainerMisbehaviour::TrainFor { training_ms } => Duration::from_millis(training_ms),
            _ => Duration::from_millis(self.settings.training_ms),
        }
    }

    async fn wait_while_stalled(&self) {
        while self.misbehaviour() == TrainerMisbehaviour::Stall {
            tokio::time::sleep(Duration::from_millis(self.settings.retry_ms)).await;
        }
    }
}

/// Runs a trainer until its control paths fail.
pub async fn serve(listener: TcpListener, settings: TrainerSettings) -> Result<(), StandinError> {
    TrainerStandin::start(listener, settings)
        .await?
        .wait()
        .await;
    Ok(())
}

impl Standin for TrainerStandin {
    type Misbehaviour = TrainerMisbehaviour;
    type Record = TrainerRecord;

    fn misbehave(&self, command: TrainerMisbehaviour) {
        self.lock().misbehaviour = command;
    }

    fn record(&self) -> TrainerRecord {
        self.lock().record.clone()
    }
}

/// Trains step after step.
async fn train(trainer: Arc<TrainerStandin>) {
    let settings = &trainer.settings;
    let end = settings
        .steps
        .map_or(u64::MAX, |steps| settings.first_step.saturating_add(steps));
    let mut version = VersionNumber(settings.first_version);
    for step in (settings.first_step..end).map(StepNumber) {
        trainer.wait_while_stalled().await;
        let began = Instant::now();
        pull_step(&trainer, step, version).await;
        let idle = began.elapsed();
        let training = trainer.training_time();
        tokio::time::sleep(training).await;
        trainer.wait_while_stalled().await;
        version = VersionNumber(version.0 + 1);
        trainer.client.publish(version).await;
        trainer.client.acknowledge(step, version).await;
        let mut inner = trainer.lock();
        inner.record.end_step(step, idle, training, version);
    }
    trainer.lock().record.finished = true;
}

/// Pulls until the step is complete. The cursor starts anew with every step, since samples of steps
/// that are open at the same time are mixed in the job's stream.
async fn pull_step(trainer: &TrainerStandin, step: StepNumber, version: VersionNumber) {
    let mut cursor = LogOffset(0);
    let mut pull_again = trainer.misbehaviour() == TrainerMisbehaviour::PullTwice;
    loop {
        let batch = trainer.client.pull(step, cursor).await;
        let brought_nothing = batch.samples.is_empty();
        trainer.lock().record.take(batch.samples, version);
        cursor = batch.next_cursor;
        if batch.step_complete && pull_again {
            pull_again = false;
            cursor = LogOffset(0);
            continue;
        }
        if batch.step_complete {
            return;
        }
        if brought_nothing {
            tokio::time::sleep(Duration::from_millis(trainer.settings.retry_ms)).await;
        }
    }
}
