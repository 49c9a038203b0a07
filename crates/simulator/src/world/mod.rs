//! The world of one run: nodes, engines, the platform and the network between them.
//!
//! ```no_run
//! use havenstage_simulator::deployment::Deployment;
//! use havenstage_simulator::runtime;
//! use havenstage_simulator::world::{World, settings::WorldSettings};
//!
//! let status = runtime::run(7, async {
//!     let world = World::new(WorldSettings::new(Deployment::Cobrasur), 7)?;
//!     world.create_resources();
//!     world.start_all_nodes();
//!     world.until_ready(std::time::Duration::from_secs(30)).await;
//!     Ok::<_, havenstage_simulator::world::WorldError>(world.process(0).map(|one| one.node().status()))
//! });
//! ```

pub mod clock;
mod engine_client;
pub mod engines;
mod execution;
pub mod log;
pub mod machines;
pub mod network;
mod peers;
pub mod place;
pub mod process;
pub mod resources;
pub mod services;
pub mod settings;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use havenstage_edge::machine_list::{MachineRole, MachineState};
use havenstage_emulator::InvalidEngineSettings;
use havenstage_history::event::node::{NodeEvent, NodeExited, NodeStarted};
use havenstage_history::event::{EventBody, EventSource};
use havenstage_node::environment::{Environment, NodeClock};
use havenstage_node::node::Node;
use havenstage_node::settings::InvalidSetting;
use havenstage_node::spawner::TaskSpawner;
use havenstage_types::ids::NodeId;
use havenstage_types::member::MemberIdentity;
use thiserror::Error;

use crate::random::{SharedRandom, seed_of};
use crate::recorder::Recorder;
use clock::WorldClock;
use engine_client::{EngineDirectory, SimulatedEngineClient};
use engines::{EngineIdentity, SimulatedEngine};
use log::{LogClient, SimulatedLog};
use machines::{Machine, Machines};
use network::Network;
use peers::SimulatedPeers;
use place::Place;
use process::NodeProcess;
use services::{PlatformClient, SimulatedPlatform};
use settings::WorldSettings;

const PEER_PORT: u16 = 7_000;
const HTTP_PORT: u16 = 8_000;
const ENGINE_PORT: u16 = 9_000;

/// Wall-clock time of a world's start, in milliseconds since 1970.
const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;

/// Time between two looks at whether all nodes are ready.
const READY_POLL: Duration = Duration::from_millis(100);

/// Why a world cannot be made.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum WorldError {
    /// The settings of the engines are out of range.
    #[error(transparent)]
    Engine(#[from] InvalidEngineSettings),
    /// The settings of the nodes are out of range.
    #[error(transparent)]
    Node(#[from] InvalidSetting),
}

/// Everything of one run.
pub struct World {
    settings: WorldSettings,
    seed: u64,
    random: SharedRandom,
    recorder: Arc<Recorder>,
    network: Arc<Network>,
    log: Arc<SimulatedLog>,
    platform: Arc<SimulatedPlatform>,
    machines: Arc<Machines>,
    engines: Arc<EngineDirectory>,
}

impl World {
    /// A world whose engines run, but no node yet, and whose log is empty. It must be made inside
    /// [`crate::runtime::run`], or on another runtime with a paused clock.
    ///
    /// # Errors
    /// When settings are out of range.
    pub fn new(settings: WorldSettings, seed: u64) -> Result<Self, WorldError> {
        settings.node.validate()?;
        let recorder = Recorder::new(WorldClock::start());
        let network = Network::new(&settings, seed);
        let platform = SimulatedPlatform::new(&settings);
        let machines = Machines::new(machines_of(&settings));
        let world = Self {
            random: SharedRandom::new(seed, "world"),
            log: SimulatedLog::new(&settings, seed),
            engines: Arc::new(start_engines(&settings, seed, &recorder, &platform)?),
            recorder,
            network,
            platform,
            machines,
            settings,
            seed,
        };
        world.list_machines();
        Ok(world)
    }

    /// Its settings.
    pub fn settings(&self) -> &WorldSettings {
        &self.settings
    }

    /// Its seed.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// The history of the run.
    pub fn recorder(&self) -> &Arc<Recorder> {
        &self.recorder
    }

    /// The network.
    pub fn network(&self) -> &Arc<Network> {
        &self.network
    }

    /// The log service.
    pub fn log(&self) -> &Arc<SimulatedLog> {
        &self.log
    }

    /// The platform's small services.
    pub fn platform(&self) -> &Arc<SimulatedPlatform> {
        &self.platform
    }

    /// The machines of the nodes.
    pub fn machines(&self) -> &Arc<Machines> {
        &self.machines
    }

    /// The engines, in order of their numbers.
    pub fn engines(&self) -> Vec<Arc<SimulatedEngine>> {
        let mut engines: Vec<_> = self.engines.values().cloned().collect();
        engines.sort_by_key(|engine| engine.identity().index);
        engines
    }

    /// The process that runs on a machine now.
    pub fn process(&self, machine: usize) -> Option<Arc<NodeProcess>> {
        self.machines.process(machine)
    }

    /// Starts a node on every machine.
    pub fn start_all_nodes(&self) {
        for machine in 0..self.machines.all().len() {
            self.start_node(machine);
        }
    }

    /// Starts a node on a machine, with a new identity and nothing remembered. A machine on which
    /// one runs is left alone.
    pub fn start_node(&self, machine: usize) {
        let Some(described) = self.machines.all().get(machine) else {
            return;
        };
        if self.machines.process(machine).is_some() {
            return;
        }
        let identity = MemberIdentity {
            id: NodeId(self.random.number()),
            name: described.name.clone(),
            zone: described.zone.clone(),
            peer_address: described.peer_address,
            http_address: described.http_address,
        };
        let spawner = TaskSpawner::new();
        let environment = self.environment(machine, spawner.clone());
        let settings = self.settings.node.clone();
        let mechanisms = self.settings.mechanisms;
        let node = Node::with_mechanisms(settings, identity.clone(), environment, mechanisms);
        let process = NodeProcess::new(machine, node.clone(), spawner.clone());
        self.machines.set_process(machine, Some(process));
        let started = NodeStarted {
            node: identity.id,
            machine: identity.name,
        };
        self.record(EventBody::NodeStarted(started));
        let seeds = self.seed_addresses(machine);
        spawner.spawn(async move { node.start(seeds) });
    }

    /// Kills the node on a machine.
    pub fn kill_node(&self, machine: usize) {
        let Some(process) = self.machines.process(machine) else {
            return;
        };
        for node in process.identities() {
            self.record(EventBody::NodeKilled(NodeEvent { node }));
        }
        self.machines.set_process(machine, None);
        process.end();
    }

    /// Freezes the node on a machine: it neither runs nor loses its connections.
    pub fn freeze_node(&self, machine: usize) {
        let Some(process) = self.machines.process(machine) else {
            return;
        };
        if process.freeze() {
            for node in process.identities() {
                self.record(EventBody::NodeFrozen(NodeEvent { node }));
            }
        }
    }

    /// Lets a frozen node run again.
    pub fn wake_node(&self, machine: usize) {
        let Some(process) = self.machines.process(machine) else {
            return;
        };
        if process.wake() {
            for node in process.identities() {
                self.record(EventBody::NodeWoken(NodeEvent { node }));
            }
        }
    }

    /// Stops the node on a machine in good order and returns when its process has exited.
    pub async fn stop_node(&self, machine: usize) {
        let Some(process) = self.machines.process(machine) else {
            return;
        };
        let node = process.identity();
        self.record(EventBody::NodeStopBegun(NodeEvent { node }));
        let stopping = process.clone();
        let waits = self.settings.mechanisms.stop_waits;
        let stopped = process.spawner().spawn(async move {
            stopping.node().stop().await;
            // The HTTP server waits for its open connections, too.
            if waits {
                stopping.open_calls().close();
                stopping.open_calls().wait().await;
            }
        });
        tokio::select! {
            biased;
            _ = stopped => {}
            () = process.ended() => return,
        }
        if process.is_ended() {
            return;
        }
        let code = Some(0);
        self.record(EventBody::NodeExited(NodeExited { node, code }));
        self.machines.set_process(machine, None);
        process.end();
    }

    /// Waits until every running node takes new work; `false` when that does not happen in time.
    pub async fn until_ready(&self, patience: Duration) -> bool {
        let ready = async {
            while !self.all_ready() {
                tokio::time::sleep(READY_POLL).await;
            }
        };
        tokio::time::timeout(patience, ready).await.is_ok()
    }

    fn all_ready(&self) -> bool {
        self.machines
            .processes()
            .iter()
            .all(|process| process.node().ready().is_ok())
    }

    fn environment(&self, machine: usize, spawner: TaskSpawner) -> Environment {
        let place = Place::Node(machine);
        let network = self.network.clone();
        let address = self.machines.all()[machine].peer_address;
        let platform = PlatformClient::new(self.platform.clone(), network.clone(), place);
        let engines = SimulatedEngineClient::new(self.engines.clone(), network.clone(), place);
        Environment {
            log: Arc::new(LogClient::new(self.log.clone(), network.clone(), place)),
            engines: Arc::new(engines),
            machines: Arc::new(platform.clone()),
            scorer: Arc::new(platform.clone()),
            weights: Arc::new(platform),
            peers: Arc::new(SimulatedPeers::new(
                self.machines.clone(),
                network,
                place,
                address,
            )),
            spawner,
            clock: NodeClock::with_wall_clock(WALL_CLOCK_START_MS + self.recorder.clock().now_ms()),
            seed: self.random.number(),
        }
    }

    fn seed_addresses(&self, except: usize) -> Vec<SocketAddr> {
        let others = self.machines.all().iter().enumerate();
        others
            .filter(|(index, _)| *index != except)
            .map(|(_, machine)| machine.peer_address)
            .collect()
    }

    fn list_machines(&self) {
        for machine in self.machines.all() {
            let address = machine.peer_address;
            let live = MachineState::Live;
            self.platform
                .list(MachineRole::Node, address, live, Duration::ZERO);
        }
        for engine in self.engines.values() {
            let address = engine.identity().address;
            let live = MachineState::Live;
            self.platform
                .list(MachineRole::Engine, address, live, Duration::ZERO);
        }
        for (index, machine) in self.machines.all().iter().enumerate() {
            self.network
                .locate(Place::Node(index), machine.zone.clone());
        }
        for engine in self.engines.values() {
            let identity = engine.identity();
            self.network.locate(identity.place(), identity.zone.clone());
        }
    }

    fn record(&self, body: EventBody) {
        self.recorder.record(EventSource::Harness, body);
    }
}

fn machines_of(settings: &WorldSettings) -> Vec<Machine> {
    let zones = &settings.deployment.zones;
    let count = zones.len() * settings.nodes_per_zone as usize;
    (0..count)
        .map(|index| {
            let zone = zones[index % zones.len()].clone();
            Machine {
                name: format!("{zone}-{}", index / zones.len() + 1),
                peer_address: address(1, index, PEER_PORT),
                http_address: address(1, index, HTTP_PORT),
                zone,
            }
        })
        .collect()
}

fn start_engines(
    settings: &WorldSettings,
    seed: u64,
    recorder: &Arc<Recorder>,
    platform: &Arc<SimulatedPlatform>,
) -> Result<EngineDirectory, WorldError> {
    let mut engines = EngineDirectory::new();
    for identity in engine_identities(settings) {
        let address = identity.address;
        let engine_seed = seed_of(seed, identity.name.as_str());
        let engine = SimulatedEngine::start(
            identity,
            settings.engine.clone(),
            engine_seed,
            recorder.clone(),
            platform.clone(),
            settings.record_tokens,
        )?;
        engines.insert(address, engine);
    }
    Ok(engines)
}

fn engine_identities(settings: &WorldSettings) -> Vec<EngineIdentity> {
    let zones = &settings.deployment.zones;
    let mut identities = Vec::new();
    for pool in &settings.deployment.pools {
        for number in 0..pool.engines {
            let index = identities.len();
            identities.push(EngineIdentity {
                name: havenstage_types::ids::EngineName(format!("{}-{}", pool.name, number + 1)),
                index,
                pool: pool.name.clone(),
                zone: zones[index % zones.len()].clone(),
                address: address(2, index, ENGINE_PORT),
            });
        }
    }
    identities
}

fn address(network: u8, index: usize, port: u16) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(index).unwrap_or(u32::MAX).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, network, high, low)), port)
}
