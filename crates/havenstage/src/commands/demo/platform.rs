//! The stand-ins: the platform's services and the engines.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use havenstage_edge::machine_list::{Machine, MachineRole, MachineState};
use havenstage_emulator::EngineSettings;
use havenstage_emulator::settings::{LengthDistribution, SwapSettings};
use havenstage_simulator::deployment::{DeploymentSettings, PoolSettings};
use havenstage_standin::Running;
use havenstage_standin::engine::{EngineStandin, EngineStandinSettings};
use havenstage_standin::log_service::{LogSettings, LogStandin};
use havenstage_standin::machine_list::{MachineChange, MachineListSettings, MachineListStandin};
use havenstage_standin::scorer::{ScorerSettings, ScorerStandin};
use havenstage_standin::weight_store::{WeightStoreSettings, WeightStoreStandin};
use havenstage_types::ids::{EngineName, ModelName, PoolName, VersionNumber, Zone};
use tokio::net::TcpListener;

use super::recorder::Recorder;
use crate::exit::Failure;

/// Where everything listens: loopback, on a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Bytes of one weight version.
pub const WEIGHT_BYTES: usize = 256 * 1024;

/// All stand-ins but the trainer.
pub struct Platform {
    /// The log.
    pub log: Running<LogStandin>,
    /// The machine list.
    pub machines: Running<MachineListStandin>,
    /// The weight store.
    pub weights: Running<WeightStoreStandin>,
    /// The scorer.
    pub scorer: Running<ScorerStandin>,
    /// The engines of all pools.
    pub engines: Vec<DemoEngine>,
}

/// One engine.
pub struct DemoEngine {
    /// Its name.
    pub name: EngineName,
    /// Pool it belongs to.
    pub pool: PoolName,
    /// Zone it runs in.
    pub zone: Zone,
    /// Time of the recorder's clock when its own clock started.
    pub started: Duration,
    /// The stand-in.
    pub standin: Running<EngineStandin>,
}

/// A listener on a free port.
pub async fn listen() -> std::io::Result<TcpListener> {
    TcpListener::bind(ANY_PORT).await
}

/// Behaviour of every engine: the emulator's costs, with answers short enough for a demonstration.
pub fn engine_settings() -> EngineSettings {
    EngineSettings {
        output_length: LengthDistribution::LogNormal {
            median_tokens: 120.0,
            sigma: 0.8,
        },
        swap: SwapSettings {
            load_us: 150_000,
            ..SwapSettings::default()
        },
        ..EngineSettings::default()
    }
}

impl Platform {
    /// Starts everything that the deployment has.
    pub async fn start(
        deployment: &DeploymentSettings,
        recorder: &Recorder,
    ) -> Result<Self, Failure> {
        let weights =
            WeightStoreStandin::start(listen().await?, WeightStoreSettings::default()).await?;
        let machines =
            MachineListStandin::start(listen().await?, MachineListSettings::default()).await?;
        let mut engines = Vec::new();
        for pool in &deployment.pools {
            for number in 0..pool.engines {
                let zone = &deployment.zones[number as usize % deployment.zones.len()];
                let seed = engines.len() as u64;
                let engine = start_engine(pool, number, zone, seed, weights.address(), recorder);
                engines.push(engine.await?);
            }
        }
        for engine in &engines {
            put_machine(&machines, MachineRole::Engine, engine.standin.address());
        }
        Ok(Self {
            log: LogStandin::start(listen().await?, LogSettings::default()).await?,
            scorer: ScorerStandin::start(listen().await?, ScorerSettings::default()).await?,
            machines,
            weights,
            engines,
        })
    }

    /// Lists a node's machine.
    pub fn list_node(&self, peer_address: SocketAddr) {
        put_machine(&self.machines, MachineRole::Node, peer_address);
    }

    /// Stores a version of a model.
    pub fn store_version(&self, model: &ModelName, version: VersionNumber) {
        let weights = Bytes::from(vec![0; WEIGHT_BYTES]);
        self.weights.state().put(model.clone(), version, weights);
    }

    /// Engines of a pool.
    pub fn engines_of(&self, pool: &PoolName) -> impl Iterator<Item = &DemoEngine> {
        self.engines
            .iter()
            .filter(move |engine| engine.pool == *pool)
    }
}

fn put_machine(machines: &Running<MachineListStandin>, role: MachineRole, address: SocketAddr) {
    machines.state().change(MachineChange::Put(Machine {
        role,
        address,
        state: MachineState::Live,
    }));
}

async fn start_engine(
    pool: &PoolSettings,
    number: u32,
    zone: &Zone,
    seed: u64,
    weight_store: SocketAddr,
    recorder: &Recorder,
) -> Result<DemoEngine, Failure> {
    let settings = EngineStandinSettings {
        engine: engine_settings(),
        seed,
        weight_store: Some(weight_store),
        ..EngineStandinSettings::default()
    };
    let listener = listen().await?;
    let started = recorder.elapsed();
    Ok(DemoEngine {
        name: EngineName(format!("{}-{}", pool.name, number + 1)),
        pool: pool.name.clone(),
        zone: zone.clone(),
        started,
        standin: EngineStandin::start(listener, settings).await?,
    })
}
