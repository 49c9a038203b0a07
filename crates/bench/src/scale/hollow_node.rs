//! A hollow node: the real node with its real network, codecs and platform clients, one of many
//! in this process.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use havenstage_node::environment::{Environment, NodeClock};
use havenstage_node::node::Node;
use havenstage_node::spawner::TaskSpawner;
use havenstage_peer_net::{PeerServer, PeerServerHandle, TrafficCounters};
use havenstage_types::ids::NodeId;
use havenstage_types::member::MemberIdentity;

use super::clients::{
    ConstantScorer, CountedEngines, CountedLog, CountedMachines, FullWeightStore,
};
use super::error::ScaleError;
use super::network::{CountedNetwork, Links};
use super::platform::{Platform, zone_name};
use super::settings::ScaleSettings;
use super::traffic::{NodeTraffic, TrafficTotals, control_bytes};

/// Factor that spreads the seeds of neighbouring nodes.
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// One node in this process.
pub(super) struct HollowNode {
    /// The node itself.
    pub(super) node: Arc<Node>,
    /// Zone, by number.
    pub(super) zone: usize,
    /// Peer address.
    pub(super) address: SocketAddr,
    server: PeerServerHandle,
    spawner: TaskSpawner,
    peers: TrafficCounters,
    traffic: Arc<NodeTraffic>,
    links: Arc<Links>,
}

/// A node's traffic since its start.
#[derive(Debug, Clone, Default)]
pub(super) struct NodeTotals {
    /// By kind, as far as the node began the message.
    pub(super) kinds: TrafficTotals,
    /// Control bytes sent and received.
    pub(super) control_bytes: u64,
}

impl HollowNode {
    /// Starts a node on the current runtime.
    pub(super) async fn start(
        index: usize,
        seeds: Vec<SocketAddr>,
        platform: &Platform,
        links: Arc<Links>,
        settings: &ScaleSettings,
    ) -> Result<Self, ScaleError> {
        let server = PeerServer::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let address = server.address();
        links.revive(address);
        let traffic = Arc::new(NodeTraffic::default());
        let network =
            CountedNetwork::new(server.network(), address, links.clone(), traffic.clone());
        let spawner = TaskSpawner::new();
        let seed = settings
            .seed
            .wrapping_add(index as u64 + 1)
            .wrapping_mul(SEED_FACTOR);
        let environment = Environment {
            log: Arc::new(CountedLog::new(platform.log_address(), traffic.clone())),
            engines: Arc::new(CountedEngines::new(traffic.clone())),
            machines: Arc::new(CountedMachines::new(
                platform.machines_address(),
                traffic.clone(),
            )),
            scorer: Arc::new(ConstantScorer),
            weights: Arc::new(FullWeightStore),
            peers: Arc::new(network),
            spawner: spawner.clone(),
            clock: NodeClock::system(),
            seed,
        };
        let zone = index % settings.zones;
        let identity = MemberIdentity {
            id: NodeId(seed),
            name: format!("node-{index:04}"),
            zone: zone_name(zone),
            peer_address: address,
            http_address: address,
        };
        let node = Node::new(settings.node.clone(), identity, environment);
        let peers = server.counters();
        let server = server.serve(node.clone());
        platform.list_node(address);
        node.start(seeds);
        Ok(Self {
            node,
            zone,
            address,
            server,
            spawner,
            peers,
            traffic,
            links,
        })
    }

    /// Ends the node as the death of its process would. Its machine stays on the list.
    pub(super) fn kill(self) {
        self.links.kill(self.address);
        self.spawner.close();
        drop(self.server);
    }

    /// Who the node is now.
    pub(super) fn id(&self) -> NodeId {
        self.node.identity().id
    }

    /// Its traffic since its start.
    pub(super) fn totals(&self) -> NodeTotals {
        let kinds = self.traffic.totals();
        let control_bytes = control_bytes(&kinds, &self.peers);
        NodeTotals {
            kinds,
            control_bytes,
        }
    }
}
