//! A router over a node whose platform does not answer.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use axum::Router;
use axum::body::Body;
use bytes::Bytes;
use havenstage_http_api::router::router;
use havenstage_http_api::settings::HttpApiSettings;
use havenstage_http_api::state::ApiState;
use havenstage_node::environment::{Environment, NodeClock};
use havenstage_node::node::Node;
use havenstage_node::settings::NodeSettings;
use havenstage_node::spawner::TaskSpawner;
use havenstage_platform::engine::{ChunkStream, EngineClient, EngineError};
use havenstage_platform::log_service::{LogError, LogService, ReadBatch};
use havenstage_platform::machine_list::{Machine, MachineList, MachineListError};
use havenstage_platform::peer::{PeerError, PeerNetwork};
use havenstage_platform::scorer::{ScoreRequest, Scorer, ScorerError};
use havenstage_platform::weight_store::{WeightStore, WeightStoreError};
use havenstage_types::engine::{EngineEndpoint, EngineOrder, GenerateRequest, LoadReport};
use havenstage_types::gossip::GossipPacket;
use havenstage_types::ids::{AttemptId, LogOffset, ModelName, NodeId, StreamName};
use havenstage_types::ids::{VersionNumber, Zone};
use havenstage_types::member::MemberIdentity;
use havenstage_types::peer::{PeerRequest, PeerResponse};
use http::{Request, Response};
use http_body_util::BodyExt;
use serde_json::Value;
use std::net::SocketAddr;
use tower::ServiceExt;

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

/// The interface of [`node`].
pub fn api() -> Router {
    let settings = HttpApiSettings {
        max_body_bytes: 1_024,
        ..HttpApiSettings::default()
    };
    router(ApiState::new(node(), settings))
}

/// Sends one request to a fresh interface.
pub async fn send(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Body::from(body.to_owned()))
        .expect("request is well formed");
    let response = api()
        .oneshot(request)
        .await
        .expect("the router never fails");
    Answer::read(response).await
}

/// A response read to its end.
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body as text.
    pub text: String,
}

impl Answer {
    /// Reads a response to its end.
    pub async fn read(response: Response<Body>) -> Self {
        let (parts, body) = response.into_parts();
        let body = body.collect().await.expect("the body is whole").to_bytes();
        Self {
            status: parts.status.as_u16(),
            headers: parts.headers,
            text: String::from_utf8(body.to_vec()).expect("the body is text"),
        }
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("the body is JSON")
    }

    /// `error.code` of the body.
    pub fn code(&self) -> String {
        let json = self.json();
        json["error"]["code"].as_str().expect("a code").to_owned()
    }
}
