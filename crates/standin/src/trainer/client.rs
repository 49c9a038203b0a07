//! What the trainer asks of nodes and of the weight store. Every request is repeated, at the next
//! node, until it is answered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use havenstage_platform_http::http_client::{HttpClient, HttpError, ShortAnswer};
use havenstage_platform_http::weight_store::version_path;
use havenstage_types::ids::{
    JobName, LogOffset, ModelName, StepNumber, TrainerName, VersionNumber,
};
use havenstage_types::job::SampleBatch;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use super::TrainerSettings;

/// Body of an acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcknowledgeRequest {
    /// Trainer that has the whole step.
    pub trainer: TrainerName,
    /// Version it trains from now on.
    pub version_in_use: VersionNumber,
}

/// Body that publishes a weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishRequest {
    /// Number of the version.
    pub number: VersionNumber,
    /// Where the weight store keeps it.
    pub location: String,
}

/// Client of the nodes' trainer interface.
#[derive(Debug)]
pub(super) struct NodeClient {
    client: HttpClient,
    nodes: Vec<SocketAddr>,
    /// Index of the node that is asked, counted up after every failure.
    node_in_use: AtomicUsize,
    retry_delay: Duration,
    trainer: TrainerName,
    job: JobName,
    model: ModelName,
    max_samples: usize,
    weight_store: Option<SocketAddr>,
    weight_bytes: usize,
}

impl NodeClient {
    pub(super) fn new(client: HttpClient, settings: &TrainerSettings) -> Self {
        Self {
            client,
            nodes: settings.nodes.clone(),
            node_in_use: AtomicUsize::new(0),
            retry_delay: Duration::from_millis(settings.retry_ms),
            trainer: settings.name.clone(),
            job: settings.job.clone(),
            model: settings.model.clone(),
            max_samples: settings.max_samples_per_pull,
            weight_store: settings.weight_store,
            weight_bytes: settings.weight_bytes,
        }
    }

    /// The next samples of a step.
    pub(super) async fn pull(&self, step: StepNumber, cursor: LogOffset) -> SampleBatch {
        let path = format!(
            "/v1/jobs/{}/steps/{step}/samples?cursor={cursor}&max={}",
            self.job, self.max_samples
        );
        loop {
            let answer = self.client.get(self.node(), &path).await;
            if let Some(batch) = successful(answer).and_then(|answer| answer.json()) {
                return batch;
            }
            self.wait_and_turn_to_next_node().await;
        }
    }

    /// Says that the step is whole here.
    pub(super) async fn acknowledge(&self, step: StepNumber, version_in_use: VersionNumber) {
        let path = format!("/v1/jobs/{}/steps/{step}/ack", self.job);
        let body = AcknowledgeRequest {
            trainer: self.trainer.clone(),
            version_in_use,
        };
        self.post_until(&path, &body, |status| status.is_success())
            .await;
    }

    /// Stores a version and publishes it. A conflict means that an earlier try, whose answer was
    /// lost, has published it.
    pub(super) async fn publish(&self, number: VersionNumber) {
        let location = version_path(&self.model, number);
        if let Some(store) = self.weight_store {
            self.store_weights(store, &location).await;
        }
        let path = format!("/v1/models/{}/versions", self.model);
        let body = PublishRequest { number, location };
        let is_published =
            |status: StatusCode| status.is_success() || status == StatusCode::CONFLICT;
        self.post_until(&path, &body, is_published).await;
    }

    async fn store_weights(&self, store: SocketAddr, location: &str) {
        let weights = Bytes::from(vec![0; self.weight_bytes]);
        loop {
            let answer = self.client.put(store, location, weights.clone()).await;
            if successful(answer).is_some() {
                return;
            }
            tokio::time::sleep(self.retry_delay).await;
        }
    }

    async fn post_until<T: Serialize + Sync>(
        &self,
        path: &str,
        body: &T,
        is_done: impl Fn(StatusCode) -> bool,
    ) {
        loop {
            let answer = self.client.post(self.node(), path, body).await;
            if answer.is_ok_and(|answer| is_done(answer.status)) {
                return;
            }
            self.wait_and_turn_to_next_node().await;
        }
    }

    fn node(&self) -> SocketAddr {
        self.nodes[self.node_in_use.load(Ordering::Relaxed) % self.nodes.len()]
    }

    async fn wait_and_turn_to_next_node(&self) {
        self.node_in_use.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(self.retry_delay).await;
    }
}

fn successful(answer: Result<ShortAnswer, HttpError>) -> Option<ShortAnswer> {
    answer.ok().filter(|answer| answer.status.is_success())
}
