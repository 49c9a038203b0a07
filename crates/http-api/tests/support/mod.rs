//! A node whose platform does not answer.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use havenstage_edge::engine::{ChunkStream, EngineClient, EngineError};
use havenstage_edge::log_service::{LogError, LogService, ReadBatch};
use havenstage_edge::machine_list::{Machine, MachineList, MachineListError};
use havenstage_edge::peer::{PeerError, PeerNetwork};
use havenstage_edge::scorer::{ScoreRequest, Scorer, ScorerError};
use havenstage_edge::weight_store::{WeightStore, WeightStoreError};
use havenstage_node::environment::{Environment, NodeClock};
use havenstage_node::node::Node;
use havenstage_node::settings::NodeSettings;
use havenstage_node::spawner::TaskSpawner;
use havenstage_types::engine::{EngineEndpoint, EngineOrder, GenerateRequest, LoadReport};
use havenstage_types::gossip::GossipPacket;
use havenstage_types::ids::{AttemptId, LogOffset, ModelName, NodeId, StreamName};
use havenstage_types::ids::{VersionNumber, Zone};
use havenstage_types::member::MemberIdentity;
use havenstage_types::peer::{PeerRequest, PeerResponse};
use std::net::SocketAddr;

/// Stands for every outside service; none answers.
struct Absent;

#[async_trait]
impl LogService for Absent {
    async fn append(&self, _: &StreamName, _: Vec<Bytes>) -> Result<LogOffset, LogError> {
        Err(LogError::NotSent)
    }

    async fn read(
        &self,
        _: &StreamName,
        _: LogOffset,
        _: usize,
        _: Duration,
    ) -> Result<ReadBatch, LogError> {
        Err(LogError::NotSent)
    }
}

#[async_trait]
impl EngineClient for Absent {
    async fn generate(
        &self,
        _: &EngineEndpoint,
        _: GenerateRequest,
    ) -> Result<ChunkStream, EngineError> {
        Err(EngineError::NotSent)
    }

    async fn cancel(&self, _: &EngineEndpoint, _: AttemptId) -> Result<(), EngineError> {
        Err(EngineError::NotSent)
    }

    async fn order(&self, _: &EngineEndpoint, _: EngineOrder) -> Result<(), EngineError> {
        Err(EngineError::NotSent)
    }

    async fn load(&self, _: &EngineEndpoint) -> Result<LoadReport, EngineError> {
        Err(EngineError::NotSent)
    }
}

#[async_trait]
impl MachineList for Absent {
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError> {
        Err(MachineListError::Unavailable)
    }
}

#[async_trait]
impl Scorer for Absent {
    async fn score(&self, _: ScoreRequest) -> Result<f64, ScorerError> {
        Err(ScorerError::Unavailable)
    }
}

#[async_trait]
impl WeightStore for Absent {
    async fn exists(&self, _: &ModelName, _: VersionNumber) -> Result<bool, WeightStoreError> {
        Err(WeightStoreError::Unavailable)
    }
}

#[async_trait]
impl PeerNetwork for Absent {
    async fn call(
        &self,
        _: SocketAddr,
        _: PeerRequest,
        _: Duration,
    ) -> Result<PeerResponse, PeerError> {
        Err(PeerError::NotSent)
    }

    async fn gossip(&self, _: SocketAddr, _: GossipPacket) {}
}

/// A node that has not been started.
pub fn node() -> Arc<Node> {
    let environment = Environment {
        log: Arc::new(Absent),
        engines: Arc::new(Absent),
        machines: Arc::new(Absent),
        scorer: Arc::new(Absent),
        weights: Arc::new(Absent),
        peers: Arc::new(Absent),
        spawner: TaskSpawner::new(),
        clock: NodeClock::with_wall_clock(0),
        seed: 1,
    };
    let identity = MemberIdentity {
        id: NodeId(0xab),
        name: "node-1".to_owned(),
        zone: Zone::new("zone-a"),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        http_address: SocketAddr::from(([127, 0, 0, 1], 2)),
    };
    Node::new(NodeSettings::default(), identity, environment)
}
