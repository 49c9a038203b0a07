//! Three nodes, one a zone, with their real HTTP interface and peer network.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use havenstage_http_api::{HttpApiSettings, serve};
use havenstage_node::environment::{Environment, NodeClock};
use havenstage_node::node::Node;
use havenstage_node::settings::NodeSettings;
use havenstage_node::spawner::TaskSpawner;
use havenstage_peer_net::{PeerServer, PeerServerHandle};
use havenstage_platform_http::engine::OpenAiEngineClient;
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_platform_http::log_service::HttpLogService;
use havenstage_platform_http::machine_list::HttpMachineList;
use havenstage_platform_http::scorer::HttpScorer;
use havenstage_platform_http::weight_store::HttpWeightStore;
use havenstage_types::ids::{NodeId, Zone};
use havenstage_types::member::MemberIdentity;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::platform::{ANY_PORT, Platform, listen};
use crate::exit::Failure;

/// Longest wait for other nodes to read the last answers of a stopped one.
const PEER_SHUTDOWN: Duration = Duration::from_secs(2);

/// Time between two looks at whether a node is ready.
const READY_POLL: Duration = Duration::from_millis(50);

/// One node.
pub struct DemoNode {
    /// The node itself; the demonstration speaks to it over HTTP only, but for its identity.
    node: Arc<Node>,
    /// Address of its HTTP interface.
    pub http_address: SocketAddr,
    in_service: AtomicBool,
    spawner: TaskSpawner,
    process: Mutex<Option<ProcessParts>>,
}

/// What ends when the node's process would end.
struct ProcessParts {
    shut_down: oneshot::Sender<()>,
    server: JoinHandle<()>,
    peers: PeerServerHandle,
}

/// All nodes.
pub struct Nodes {
    nodes: Vec<Arc<DemoNode>>,
    turn: AtomicUsize,
}

impl Nodes {
    /// Starts one node in each zone and waits until all take work.
    pub async fn start(zones: &[Zone], platform: &Platform) -> Result<Arc<Self>, Failure> {
        let mut nodes: Vec<Arc<DemoNode>> = Vec::new();
        let mut seeds = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let node = DemoNode::start(index + 1, zone, platform, seeds.clone()).await?;
            let peer_address = node.node.identity().peer_address;
            platform.list_node(peer_address);
            seeds.push(peer_address);
            nodes.push(Arc::new(node));
        }
        while !nodes.iter().all(|node| node.node.ready().is_ok()) {
            tokio::time::sleep(READY_POLL).await;
        }
        Ok(Arc::new(Self {
            nodes,
            turn: AtomicUsize::new(0),
        }))
    }

    /// All nodes, stopped ones included.
    pub fn all(&self) -> &[Arc<DemoNode>] {
        &self.nodes
    }

    /// Nodes that a load balancer would still send to.
    pub fn in_service(&self) -> Vec<&Arc<DemoNode>> {
        let nodes = self.nodes.iter();
        nodes.filter(|node| node.is_in_service()).collect()
    }

    /// The next node in service, in turn.
    pub fn next(&self) -> &Arc<DemoNode> {
        self.next_of(&self.in_service())
    }

    /// The next node in service other than `node`, if there is one.
    pub fn next_but(&self, node: &DemoNode) -> &Arc<DemoNode> {
        let mut others = self.in_service();
        others.retain(|other| other.http_address != node.http_address);
        self.next_of(&others)
    }

    fn next_of<'a>(&'a self, choice: &[&'a Arc<DemoNode>]) -> &'a Arc<DemoNode> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let index = turn % choice.len().max(1);
        choice.get(index).copied().unwrap_or(&self.nodes[0])
    }
}

impl DemoNode {
    async fn start(
        number: usize,
        zone: &Zone,
        platform: &Platform,
        seeds: Vec<SocketAddr>,
    ) -> Result<Self, Failure> {
        let listener = listen().await?;
        let http_address = listener.local_addr()?;
        let peers = PeerServer::bind(ANY_PORT).await?;
        let spawner = TaskSpawner::new();
        let identity = MemberIdentity {
            id: NodeId::from_random(rand::random()),
            name: format!("node-{number}"),
            zone: zone.clone(),
            peer_address: peers.address(),
            http_address,
        };
        let environment = environment(platform, &peers, &spawner);
        let node = Node::new(behaviour(), identity, environment);
        let peers = peers.serve(node.clone());
        node.start(seeds);
        let (shut_down, shutdown) = oneshot::channel::<()>();
        let shutdown = async {
            // A dropped sender means that the demonstration ends.
            let _ = shutdown.await;
        };
        let server = serve(listener, node.clone(), HttpApiSettings::default(), shutdown);
        let process = ProcessParts {
            shut_down,
            server: tokio::spawn(server),
            peers,
        };
        Ok(Self {
            node,
            http_address,
            in_service: AtomicBool::new(true),
            spawner,
            process: Mutex::new(Some(process)),
        })
    }

    /// Identity of its process.
    pub fn id(&self) -> NodeId {
        self.node.identity().id
    }

    /// Its name.
    pub fn name(&self) -> String {
        self.node.identity().name.clone()
    }

    /// Its zone.
    pub fn zone(&self) -> Zone {
        self.node.identity().zone.clone()
    }

    /// Whether a load balancer would still send to it.
    pub fn is_in_service(&self) -> bool {
        self.in_service.load(Ordering::Relaxed)
    }

    /// Takes it out of the load balancer's list.
    pub fn leave_service(&self) {
        self.in_service.store(false, Ordering::Relaxed);
    }

    /// A planned stop, as SIGTERM brings it about in `havenstage node`.
    pub async fn stop(&self) -> Result<(), Failure> {
        let process = self
            .process
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some(process) = process else {
            return Ok(());
        };
        self.node.stop().await;
        // A server that panicked says so here.
        let _ = process.shut_down.send(());
        process.server.await?;
        // Peers that do not read their answers must not hold up the stop.
        let _ = tokio::time::timeout(PEER_SHUTDOWN, process.peers.shutdown()).await;
        self.spawner.close();
        Ok(())
    }
}

/// The defaults, but with a quicker look at engines and machines: a demonstration is short.
fn behaviour() -> NodeSettings {
    NodeSettings {
        engine_poll_ms: 200,
        machine_poll_ms: 1_000,
        swap_spread_ms: 600,
        member_list_after_ms: 1_000,
        ..NodeSettings::default()
    }
}

fn environment(platform: &Platform, peers: &PeerServer, spawner: &TaskSpawner) -> Environment {
    let client = HttpClient::new(HttpClientSettings::default());
    Environment {
        log: Arc::new(HttpLogService::new(client.clone(), platform.log.address())),
        engines: Arc::new(OpenAiEngineClient::new(client.clone())),
        machines: Arc::new(HttpMachineList::new(
            client.clone(),
            platform.machines.address(),
        )),
        scorer: Arc::new(HttpScorer::new(client.clone(), platform.scorer.address())),
        weights: Arc::new(HttpWeightStore::new(client, platform.weights.address())),
        peers: Arc::new(peers.network()),
        spawner: spawner.clone(),
        clock: NodeClock::system(),
        seed: rand::random(),
    }
}
