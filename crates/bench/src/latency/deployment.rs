//! A deployment in this process: stand-ins, one engine that answers at once, and two nodes, each
//! role on a runtime of its own, so that the CPU time of each can be told apart.

mod node;
mod platform;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use havenstage_emulator::InvalidEngineSettings;
use havenstage_node::node::Node;
use havenstage_peer_net::BindError;
use havenstage_standin::StandinError;
use havenstage_types::config::{ChangeError, ChangeOutcome, ConfigChange, Precondition};
use havenstage_types::ids::{ChangeId, ModelName, PoolName, Zone};
use havenstage_types::resource::{
    EngineDesiredState, EngineSpec, PolicyName, PoolSpec, ResourceKey, ResourceKind, ResourceSpec,
};
use thiserror::Error;
use tokio::runtime::Runtime;

use super::Targets;
use super::settings::LatencySettings;
use node::RunningNode;
use platform::Platform;

/// Names of the threads of the engine's home begin so.
pub(super) const HOME_THREADS: &str = "home-node";

/// Names of the threads of the other node begin so.
pub(super) const FRONT_THREADS: &str = "front-node";

/// Threads of each role, and therefore cores it can use.
const THREADS: usize = 2;

/// Zone of the engine and its home.
const HOME_ZONE: &str = "zone-home";

/// Zone of the other node.
const FRONT_ZONE: &str = "zone-front";

const POOL: &str = "bench";
const ENGINE: &str = "bench-1";
const MODEL: &str = "bench-model";

/// Requests the engine may run at once: more than the load ever sends.
const MAX_RUNNING: u32 = 4_096;

/// KV memory of the engine in tokens: more than the load ever needs.
const KV_TOKENS: u64 = 1_000_000_000;

/// Longest wait until both nodes serve the engine.
const START_PATIENCE: Duration = Duration::from_secs(30);

const START_POLL: Duration = Duration::from_millis(20);

/// Why the deployment did not start.
#[derive(Debug, Error)]
pub enum DeploymentError {
    /// A runtime or a socket.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The socket for other nodes.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// A stand-in.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// The settings of the engine.
    #[error(transparent)]
    Engine(#[from] InvalidEngineSettings),
    /// A resource could not be created.
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// A resource was refused.
    #[error("the resource was refused: {0:?}")]
    Refused(ChangeOutcome),
    /// The nodes did not get ready.
    #[error("the nodes were not ready within {START_PATIENCE:?}")]
    NotReady,
}

/// Everything that runs. Dropping it stops it.
pub(super) struct Deployment {
    front: RunningNode,
    home: RunningNode,
    platform: Platform,
}

impl Deployment {
    /// Starts it and waits until both nodes serve the engine.
    pub(super) fn start(settings: &LatencySettings) -> Result<Self, DeploymentError> {
        let platform = Platform::start(settings)?;
        let home = RunningNode::start(HOME_THREADS, HOME_ZONE, &platform, Vec::new())?;
        let seeds = vec![home.peer_address()];
        let front = RunningNode::start(FRONT_THREADS, FRONT_ZONE, &platform, seeds)?;
        let deployment = Self {
            front,
            home,
            platform,
        };
        deployment.wait_until(Self::nodes_are_ready)?;
        deployment.create_resources()?;
        deployment.wait_until(Self::engine_is_served)?;
        Ok(deployment)
    }

    /// Where it is reached.
    pub(super) fn targets(&self) -> Targets {
        Targets {
            engine: self.platform.engine,
            home: self.home.http_address(),
            front: self.front.http_address(),
            pool: PoolName::new(POOL),
        }
    }

    fn wait_until(&self, holds: fn(&Self) -> bool) -> Result<(), DeploymentError> {
        let give_up_at = Instant::now() + START_PATIENCE;
        while !holds(self) {
            if Instant::now() >= give_up_at {
                return Err(DeploymentError::NotReady);
            }
            std::thread::sleep(START_POLL);
        }
        Ok(())
    }

    fn nodes(&self) -> [&Arc<Node>; 2] {
        [self.home.node(), self.front.node()]
    }

    /// Both nodes are ready and see each other.
    fn nodes_are_ready(&self) -> bool {
        self.nodes()
            .iter()
            .map(|node| node.status())
            .all(|status| status.ready.is_ok() && status.members.len() == 2)
    }

    /// The engine's home knows its version, and the other node knows the engine.
    fn engine_is_served(&self) -> bool {
        let home = self.home.node().status();
        let key = engine_key();
        self.front.node().get(&key).is_some()
            && home.engines.iter().any(|engine| engine.version.is_some())
    }

    fn create_resources(&self) -> Result<(), DeploymentError> {
        let pool = ResourceKey {
            kind: ResourceKind::Pool,
            name: POOL.to_owned(),
        };
        self.create(pool, ResourceSpec::Pool(pool_spec()))?;
        let engine = ResourceSpec::Engine(engine_spec(self.platform.engine));
        self.create(engine_key(), engine)
    }

    fn create(&self, key: ResourceKey, spec: ResourceSpec) -> Result<(), DeploymentError> {
        let change = ConfigChange {
            id: ChangeId(format!("create-{}", key.name)),
            key,
            precondition: Precondition::Absent,
            spec: Some(spec),
        };
        let report = self.home.block_on(self.home.node().apply(change, None))?;
        match report.outcome {
            ChangeOutcome::Accepted(_) => Ok(()),
            refused => Err(DeploymentError::Refused(refused)),
        }
    }
}

fn engine_key() -> ResourceKey {
    ResourceKey {
        kind: ResourceKind::Engine,
        name: ENGINE.to_owned(),
    }
}

fn pool_spec() -> PoolSpec {
    PoolSpec {
        model: ModelName::new(MODEL),
        policy: PolicyName::default(),
        max_running_per_engine: MAX_RUNNING,
        max_queued_per_engine: MAX_RUNNING,
        live_reserve_percent: 0,
    }
}

fn engine_spec(address: SocketAddr) -> EngineSpec {
    EngineSpec {
        pool: PoolName::new(POOL),
        address,
        zone: Zone::new(HOME_ZONE),
        kv_capacity_tokens: KV_TOKENS,
        desired_state: EngineDesiredState::Active,
    }
}

/// A runtime of one role.
fn runtime(threads: &str) -> io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name(threads)
        .enable_all()
        .build()
}

/// A free port on loopback.
fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
