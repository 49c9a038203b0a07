//! `havenstage node`: runs a node until it is told to stop.

mod stop;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use havenstage_edge::peer::PeerNetwork;
use havenstage_http_api::serve;
use havenstage_node::environment::{Environment, NodeClock};
use havenstage_node::node::Node;
use havenstage_node::spawner::TaskSpawner;
use havenstage_peer_net::PeerServer;
use havenstage_platform_http::engine::OpenAiEngineClient;
use havenstage_platform_http::http_client::HttpClient;
use havenstage_platform_http::log_service::HttpLogService;
use havenstage_platform_http::machine_list::HttpMachineList;
use havenstage_platform_http::scorer::HttpScorer;
use havenstage_platform_http::weight_store::HttpWeightStore;
use havenstage_types::ids::NodeId;
use havenstage_types::member::MemberIdentity;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::arguments::CommandLine;
use crate::commands::{block_on, print};
use crate::exit::Failure;
use crate::logging;
use crate::settings::node::ProgramSettings;

/// Longest wait for other nodes to read the last answers.
const PEER_SHUTDOWN: Duration = Duration::from_secs(2);

/// An address of the settings cannot be served on.
#[derive(Debug, Error)]
#[error("{key}: cannot listen on {address}")]
pub struct CannotListen {
    /// Key of the settings file.
    pub key: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// What the system said.
    #[source]
    pub source: std::io::Error,
}

/// Runs the command.
pub fn run(mut line: CommandLine) -> Result<(), Failure> {
    let only_check = line.flag("--check-config");
    let settings = ProgramSettings::read(&mut line)?;
    line.finish()?;
    if only_check {
        return print("settings ok\n");
    }
    let _logger = logging::start(&settings.logging)?;
    block_on(serve_until_stopped(settings))
}

async fn serve_until_stopped(settings: ProgramSettings) -> Result<(), Failure> {
    // Before anything is served, so that no signal finds the default action, which kills.
    let signals = stop::StopSignals::listen()?;
    let listener = bind(settings.http_address).await?;
    let peers = PeerServer::bind(settings.peer_address).await?;
    let identity = identity(&settings, peers.address(), listener.local_addr()?);
    log_start(&identity);
    let environment = environment(&settings, Arc::new(peers.network()));
    let node = Node::new(settings.behaviour, identity, environment);
    let peers = peers.serve(node.clone());
    node.start(settings.seeds);

    let (shut_down, shutdown) = oneshot::channel::<()>();
    let shutdown = async {
        // A dropped sender means the program ends anyway.
        let _ = shutdown.await;
    };
    let mut server = tokio::spawn(serve(listener, node.clone(), settings.http, shutdown));
    let mut signals = tokio::select! {
        signals = signals.first() => signals,
        ended = &mut server => return Ok(ended?),
    };
    log::info!("planned stop begins");
    signals.report_until(&node, node.stop()).await;
    // Refusals are served until here, so that callers learn that the node is stopping.
    let _ = shut_down.send(());
    signals.report_until(&node, server).await?;
    // Last, so that other nodes are answered as long as this one has work in flight. A peer that
    // does not read its answer must not keep the program from ending.
    if tokio::time::timeout(PEER_SHUTDOWN, peers.shutdown())
        .await
        .is_err()
    {
        log::warn!("some peers have not read their answers");
    }
    log::info!("stopped");
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, CannotListen> {
    TcpListener::bind(address)
        .await
        .map_err(|source| CannotListen {
            key: "node.http_address",
            address,
            source,
        })
}

fn identity(
    settings: &ProgramSettings,
    peer_address: SocketAddr,
    http_address: SocketAddr,
) -> MemberIdentity {
    MemberIdentity {
        id: NodeId::from_random(rand::random()),
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        peer_address,
        http_address,
    }
}

fn environment(settings: &ProgramSettings, peers: Arc<dyn PeerNetwork>) -> Environment {
    let client = HttpClient::new(settings.http_client.clone());
    let platform = settings.platform;
    Environment {
        log: Arc::new(HttpLogService::new(client.clone(), platform.log)),
        engines: Arc::new(OpenAiEngineClient::new(client.clone())),
        machines: Arc::new(HttpMachineList::new(client.clone(), platform.machines)),
        scorer: Arc::new(HttpScorer::new(client.clone(), platform.scorer)),
        weights: Arc::new(HttpWeightStore::new(client, platform.weights)),
        peers,
        spawner: TaskSpawner::new(),
        clock: NodeClock::system(),
        seed: rand::random(),
    }
}

fn log_start(identity: &MemberIdentity) {
    log::info!(
        node = format!("{:016x}", identity.id.0),
        name:% = identity.name,
        zone:% = identity.zone,
        peer_address:% = identity.peer_address,
        http_address:% = identity.http_address;
        "node serves"
    );
}
