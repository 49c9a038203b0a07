//! Emulated engines in this process. Each one listens on its own port and serves as a back end of the
//! gateway.

mod announcer;
mod output;
mod server;

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use havenstage_emulator::EngineSettings;
use havenstage_http_server::{BodyMemory, max_descriptors};
use havenstage_memory_store::MemoryStore;
use havenstage_rollout::ids::{BackendName, ModelName, PoolName};
use havenstage_standin::engine::{EngineStandin, EngineStandinSettings};
use havenstage_standin::{Intake, Running, StandinError};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use self::announcer::Announcer;
use crate::settings::{PoolSettings, ServeSettings};

/// Default for the number of executions whose records an engine keeps. It is bounded because a process
/// may serve for days.
const MAX_RECORDS: u32 = 1_000;

/// One part of the descriptors in so many is for connections to each engine.
const ENGINE_DESCRIPTOR_PART: usize = 4;

/// Identity, settings and counters of an engine.
struct EngineIdentity {
    name: BackendName,
    pool: PoolName,
    model: ModelName,
    zone: String,
    /// When the engine started, in milliseconds since the Unix epoch.
    started_at_ms: u64,
    settings: EngineSettings,
    /// Number of the engine: the seed of its emulator, and the part of its attempt ids that makes them
    /// differ from those of other engines.
    number: u64,
    executions: AtomicU64,
    orders_taken: AtomicU64,
    /// Memory of the bodies that all engines of the process receive, and of what is decoded from them.
    bodies: Arc<BodyMemory>,
    /// Whether an operator has asked for the engine to be drained: it gets no new requests.
    is_draining: AtomicBool,
}

/// Why an emulated engine cannot be started.
#[derive(Debug, Error)]
pub enum EngineStartError {
    /// No local port could be bound.
    #[error("engine {name}: cannot bind a port on 127.0.0.1")]
    Port {
        /// Name of the engine.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The engine rejected its settings or could not serve on its port.
    #[error("engine {name} cannot be started")]
    Refused {
        /// Name of the engine.
        name: String,
        /// Why the engine does not start.
        source: StandinError,
    },
}

/// No emulated engine of this process has the name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("engine {name}: allowed are {}", known.join(", "))]
pub(crate) struct UnknownEngine {
    name: String,
    known: Vec<String>,
}

/// Running engines, each with an entry in the store's directory of back ends. Dropping this value stops
/// them.
pub(crate) struct EmulatedEngines {
    store: Arc<MemoryStore>,
    /// Memory of the bodies that the engines receive.
    bodies: Arc<BodyMemory>,
    running: Mutex<RunningEngines>,
}

#[derive(Default)]
struct RunningEngines {
    engines: BTreeMap<BackendName, RunningEngine>,
    announcers: JoinSet<()>,
}

struct RunningEngine {
    identity: Arc<EngineIdentity>,
    _engine: Running<EngineStandin>,
}

impl EmulatedEngines {
    /// Starts the engines of all pools.
    pub(crate) async fn start(
        settings: &ServeSettings,
        store: &Arc<MemoryStore>,
    ) -> Result<Self, EngineStartError> {
        let engines = Self {
            store: store.clone(),
            bodies: BodyMemory::new(settings.engine_body_bytes()),
            running: Mutex::default(),
        };
        for pool in &settings.pools {
            engines.start_pool(pool, &settings.zone).await?;
        }
        Ok(engines)
    }

    /// Starts the engines of a pool.
    pub(crate) async fn start_pool(
        &self,
        pool: &PoolSettings,
        zone: &str,
    ) -> Result<(), EngineStartError> {
        for index in 1..=pool.emulated_engines {
            let number = self.lock().engines.len() as u64;
            let bodies = self.bodies.clone();
            let identity = Arc::new(new_identity(pool, zone, index, number, bodies));
            let engine = start_engine(&identity).await?;
            let announcer = Announcer::new(
                identity.clone(),
                engine.state().clone(),
                engine.address(),
                self.store.clone(),
            );
            let mut running = self.lock();
            running.announcers.spawn(announcer.run());
            let name = identity.name.clone();
            let engine = RunningEngine {
                identity,
                _engine: engine,
            };
            running.engines.insert(name, engine);
        }
        Ok(())
    }

    /// Sets whether an engine is announced as draining.
    pub(crate) fn set_draining(&self, name: &str, is_draining: bool) -> Result<(), UnknownEngine> {
        let running = self.lock();
        let Some(engine) = running.engines.get(name) else {
            return Err(UnknownEngine {
                name: name.to_owned(),
                known: running.engines.keys().map(BackendName::to_string).collect(),
            });
        };
        let state = &engine.identity.is_draining;
        state.store(is_draining, Ordering::Relaxed);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, RunningEngines> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_identity(
    pool: &PoolSettings,
    zone: &str,
    index: u32,
    number: u64,
    bodies: Arc<BodyMemory>,
) -> EngineIdentity {
    // If the system clock is set before 1970, the start time is given as 0.
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    let started_at_ms = since_1970.map_or(0, |time| time.as_millis() as u64);
    EngineIdentity {
        name: BackendName::from(format!("{}-{index}", pool.name)),
        pool: PoolName::from(pool.name.as_str()),
        model: ModelName::from(pool.model.as_str()),
        zone: zone.to_owned(),
        started_at_ms,
        settings: pool.engine.clone(),
        number,
        executions: AtomicU64::new(0),
        orders_taken: AtomicU64::new(0),
        bodies,
        is_draining: AtomicBool::new(false),
    }
}

async fn start_engine(
    identity: &Arc<EngineIdentity>,
) -> Result<Running<EngineStandin>, EngineStartError> {
    let name = || identity.name.to_string();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.map_err(|source| EngineStartError::Port {
        name: name(),
        source,
    })?;
    let mut engine = identity.settings.clone();
    engine.most_records.get_or_insert(MAX_RECORDS);
    let settings = EngineStandinSettings {
        engine,
        seed: identity.number,
        ..EngineStandinSettings::default()
    };
    let routes = server::routes(identity.clone());
    let intake = Intake {
        bodies: identity.bodies.clone(),
        connections: max_descriptors() / ENGINE_DESCRIPTOR_PART,
        refuse: server::refuse_body,
    };
    let started = EngineStandin::start_with(listener, settings, routes, intake).await;
    started.map_err(|source| EngineStartError::Refused {
        name: name(),
        source,
    })
}
