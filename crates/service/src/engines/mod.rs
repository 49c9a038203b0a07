//! Emulated engines in this process, each behind a port of its own, as the gateway's back ends.

mod announcer;
mod output;
mod server;

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{SystemTime, UNIX_EPOCH};

use havenstage_emulator::EngineSettings;
use havenstage_memory_store::MemoryStore;
use havenstage_rollout::ids::{BackendName, ModelName, PoolName};
use havenstage_standin::engine::{EngineStandin, EngineStandinSettings};
use havenstage_standin::{Running, StandinError};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::settings::{PoolSettings, ServeSettings};

/// What others know of an engine, and what it counts.
struct EngineIdentity {
    name: BackendName,
    pool: PoolName,
    model: ModelName,
    zone: String,
    /// When it started, in milliseconds since the beginning of 1970.
    started_at_ms: u64,
    settings: EngineSettings,
    /// Number of the engine, which tells its executions from those of others.
    number: u64,
    executions: AtomicU64,
    orders_taken: AtomicU64,
}

/// An engine cannot be started.
#[derive(Debug, Error)]
pub enum EngineStartError {
    /// No port could be had.
    #[error("engine {name}: no port")]
    Port {
        /// The engine.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// The engine refused its settings or its port.
    #[error("engine {name}")]
    Refused {
        /// The engine.
        name: String,
        /// Why.
        source: StandinError,
    },
}

/// Engines at work. Dropping them ends them.
pub(crate) struct EmulatedEngines {
    _engines: Vec<Running<EngineStandin>>,
    _announcers: JoinSet<()>,
}

impl EmulatedEngines {
    /// Starts the engines of all pools; each writes its entry into the store.
    pub(crate) async fn start(
        settings: &ServeSettings,
        store: &Arc<MemoryStore>,
    ) -> Result<Self, EngineStartError> {
        let mut engines = Vec::new();
        let mut announcers = JoinSet::new();
        for pool in &settings.pools {
            for at in 1..=pool.emulated_engines {
                let number = engines.len() as u64;
                let identity = Arc::new(identity(pool, &settings.zone, at, number));
                let engine = start_engine(&identity).await?;
                let address = engine.address();
                let state = engine.state().clone();
                let announcer = announcer::Announcer::new(identity, state, address, store.clone());
                announcers.spawn(announcer.run());
                engines.push(engine);
            }
        }
        Ok(Self {
            _engines: engines,
            _announcers: announcers,
        })
    }
}

fn identity(pool: &PoolSettings, zone: &str, at: u32, number: u64) -> EngineIdentity {
    // A clock before 1970 tells no start.
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    let started_at_ms = since_1970.map_or(0, |time| time.as_millis() as u64);
    EngineIdentity {
        name: BackendName::from(format!("{}-{at}", pool.name)),
        pool: PoolName::from(pool.name.as_str()),
        model: ModelName::from(pool.model.as_str()),
        zone: zone.to_owned(),
        started_at_ms,
        settings: pool.engine.clone(),
        number,
        executions: AtomicU64::new(0),
        orders_taken: AtomicU64::new(0),
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
    let settings = EngineStandinSettings {
        engine: identity.settings.clone(),
        seed: identity.number,
        ..EngineStandinSettings::default()
    };
    let routes = server::routes(identity.clone());
    let started = EngineStandin::start_with(listener, settings, routes).await;
    started.map_err(|source| EngineStartError::Refused {
        name: name(),
        source,
    })
}
