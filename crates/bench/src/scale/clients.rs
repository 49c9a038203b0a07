//! The node's clients of the platform: the real ones over HTTP, counted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use havenstage_edge::engine::{ChunkStream, EngineClient, EngineError};
use havenstage_edge::log_service::{LogError, LogService, ReadBatch};
use havenstage_edge::machine_list::{Machine, MachineList, MachineListError};
use havenstage_edge::scorer::{ScoreRequest, Scorer, ScorerError};
use havenstage_edge::weight_store::{WeightStore, WeightStoreError};
use havenstage_platform_http::engine::OpenAiEngineClient;
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_platform_http::log_service::HttpLogService;
use havenstage_platform_http::machine_list::HttpMachineList;
use havenstage_types::engine::{EngineEndpoint, EngineOrder, GenerateRequest, LoadReport};
use havenstage_types::ids::{AttemptId, LogOffset, ModelName, StreamName, VersionNumber};

use super::traffic::{NodeTraffic, TrafficKind};

/// Kinds of traffic with the log.
const LOG_KINDS: [TrafficKind; 8] = [
    TrafficKind::ConfigRead,
    TrafficKind::ConfigAppend,
    TrafficKind::ClaimRead,
    TrafficKind::ClaimAppend,
    TrafficKind::JobRead,
    TrafficKind::JobAppend,
    TrafficKind::DecisionRead,
    TrafficKind::DecisionAppend,
];

/// A new HTTP client whose bytes count as `kind`.
fn counted_client(traffic: &NodeTraffic, kind: TrafficKind) -> HttpClient {
    let client = HttpClient::new(HttpClientSettings::default());
    traffic.add_http(kind, client.traffic());
    client
}

/// The log client. Each kind of traffic uses a client of its own, so that its bytes count apart.
pub(super) struct CountedLog {
    services: BTreeMap<TrafficKind, HttpLogService>,
    traffic: Arc<NodeTraffic>,
}

impl CountedLog {
    pub(super) fn new(server: SocketAddr, traffic: Arc<NodeTraffic>) -> Self {
        let service = |kind| {
            let client = counted_client(&traffic, kind);
            (kind, HttpLogService::new(client, server))
        };
        Self {
            services: LOG_KINDS.into_iter().map(service).collect(),
            traffic,
        }
    }

    fn service(&self, kind: TrafficKind) -> Result<&HttpLogService, LogError> {
        self.traffic.count(kind, 0, 0);
        self.services.get(&kind).ok_or(LogError::NotSent)
    }
}

#[async_trait]
impl LogService for CountedLog {
    async fn append(
        &self,
        stream: &StreamName,
        records: Vec<Bytes>,
    ) -> Result<LogOffset, LogError> {
        let (_, kind) = TrafficKind::of_stream(stream);
        self.service(kind)?.append(stream, records).await
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
        wait: Duration,
    ) -> Result<ReadBatch, LogError> {
        let (kind, _) = TrafficKind::of_stream(stream);
        self.service(kind)?
            .read(stream, from, max_records, wait)
            .await
    }
}

/// The engine client. Generation and control use a client each, so that their bytes count apart.
pub(super) struct CountedEngines {
    generate: OpenAiEngineClient,
    control: OpenAiEngineClient,
    traffic: Arc<NodeTraffic>,
}

impl CountedEngines {
    pub(super) fn new(traffic: Arc<NodeTraffic>) -> Self {
        let client = |kind| OpenAiEngineClient::new(counted_client(&traffic, kind));
        Self {
            generate: client(TrafficKind::EngineGenerate),
            control: client(TrafficKind::EngineControl),
            traffic,
        }
    }

    fn count_control(&self) {
        self.traffic.count(TrafficKind::EngineControl, 0, 0);
    }
}

#[async_trait]
impl EngineClient for CountedEngines {
    async fn generate(
        &self,
        engine: &EngineEndpoint,
        request: GenerateRequest,
    ) -> Result<ChunkStream, EngineError> {
        self.traffic.count(TrafficKind::EngineGenerate, 0, 0);
        self.generate.generate(engine, request).await
    }

    async fn cancel(&self, engine: &EngineEndpoint, attempt: AttemptId) -> Result<(), EngineError> {
        self.count_control();
        self.control.cancel(engine, attempt).await
    }

    async fn order(&self, engine: &EngineEndpoint, order: EngineOrder) -> Result<(), EngineError> {
        self.count_control();
        self.control.order(engine, order).await
    }

    async fn load(&self, engine: &EngineEndpoint) -> Result<LoadReport, EngineError> {
        self.count_control();
        self.control.load(engine).await
    }
}

/// The machine list's client.
pub(super) struct CountedMachines {
    machines: HttpMachineList,
    traffic: Arc<NodeTraffic>,
}

impl CountedMachines {
    pub(super) fn new(server: SocketAddr, traffic: Arc<NodeTraffic>) -> Self {
        let client = counted_client(&traffic, TrafficKind::MachineList);
        Self {
            machines: HttpMachineList::new(client, server),
            traffic,
        }
    }
}

#[async_trait]
impl MachineList for CountedMachines {
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError> {
        self.traffic.count(TrafficKind::MachineList, 0, 0);
        self.machines.machines().await
    }
}

/// A scorer inside the process; scoring is not measured here.
pub(super) struct ConstantScorer;

#[async_trait]
impl Scorer for ConstantScorer {
    async fn score(&self, _request: ScoreRequest) -> Result<f64, ScorerError> {
        Ok(1.0)
    }
}

/// A weight store inside the process that has every version.
pub(super) struct FullWeightStore;

#[async_trait]
impl WeightStore for FullWeightStore {
    async fn exists(
        &self,
        _model: &ModelName,
        _version: VersionNumber,
    ) -> Result<bool, WeightStoreError> {
        Ok(true)
    }
}
