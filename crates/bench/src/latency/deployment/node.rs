//! One node on a runtime of its own.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use havenstage_http_api::HttpApiSettings;
use havenstage_node::environment::{Environment, NodeClock};
use havenstage_node::node::Node;
use havenstage_node::settings::NodeSettings;
use havenstage_node::spawner::TaskSpawner;
use havenstage_peer_net::{PeerServer, PeerServerHandle, TcpUdpNetwork};
use havenstage_platform_http::engine::OpenAiEngineClient;
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_platform_http::log_service::HttpLogService;
use havenstage_platform_http::machine_list::HttpMachineList;
use havenstage_platform_http::scorer::HttpScorer;
use havenstage_platform_http::weight_store::HttpWeightStore;
use havenstage_types::ids::{NodeId, Zone};
use havenstage_types::member::MemberIdentity;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use super::platform::Platform;
use super::{DeploymentError, any_port, runtime};

/// A node that serves. Dropping it stops it.
pub(super) struct RunningNode {
    node: Arc<Node>,
    spawner: TaskSpawner,
    _peers: PeerServerHandle,
    runtime: Runtime,
}

impl RunningNode {
    /// Starts a node whose threads are named after `name`.
    pub(super) fn start(
        name: &str,
        zone: &str,
        platform: &Platform,
        seeds: Vec<SocketAddr>,
    ) -> Result<Self, DeploymentError> {
        let runtime = runtime(name)?;
        let spawner = TaskSpawner::new();
        let (node, peers) =
            runtime.block_on(serve(name, zone, platform, seeds, spawner.clone()))?;
        Ok(Self {
            node,
            spawner,
            _peers: peers,
            runtime,
        })
    }

    pub(super) fn node(&self) -> &Arc<Node> {
        &self.node
    }

    pub(super) fn peer_address(&self) -> SocketAddr {
        self.node.identity().peer_address
    }

    pub(super) fn http_address(&self) -> SocketAddr {
        self.node.identity().http_address
    }

    /// Runs a future on the node's runtime.
    pub(super) fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.runtime.block_on(future)
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.spawner.close();
    }
}

async fn serve(
    name: &str,
    zone: &str,
    platform: &Platform,
    seeds: Vec<SocketAddr>,
    spawner: TaskSpawner,
) -> Result<(Arc<Node>, PeerServerHandle), DeploymentError> {
    let listener = TcpListener::bind(any_port()).await?;
    let peers = PeerServer::bind(any_port()).await?;
    let identity = MemberIdentity {
        id: NodeId::from_random(rand::random()),
        name: name.to_owned(),
        zone: Zone::new(zone),
        peer_address: peers.address(),
        http_address: listener.local_addr()?,
    };
    let environment = environment(platform, peers.network(), spawner.clone());
    let node = Node::new(NodeSettings::default(), identity, environment);
    let peers = peers.serve(node.clone());
    node.start(seeds);
    let http = HttpApiSettings::default();
    let served = node.clone();
    spawner.spawn(async move {
        let never = std::future::pending();
        havenstage_http_api::serve(listener, served, http, never).await;
    });
    Ok((node, peers))
}

fn environment(platform: &Platform, peers: TcpUdpNetwork, spawner: TaskSpawner) -> Environment {
    let client = HttpClient::new(HttpClientSettings::default());
    Environment {
        log: Arc::new(HttpLogService::new(client.clone(), platform.log)),
        engines: Arc::new(OpenAiEngineClient::new(client.clone())),
        machines: Arc::new(HttpMachineList::new(client.clone(), platform.machines)),
        scorer: Arc::new(HttpScorer::new(client.clone(), platform.scorer)),
        weights: Arc::new(HttpWeightStore::new(client, platform.weights)),
        peers: Arc::new(peers),
        spawner,
        clock: NodeClock::system(),
        seed: rand::random(),
    }
}
