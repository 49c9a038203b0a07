//! Puts the service together, runs it, and stops it in order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use havenstage_gateway::edge::{DirectoryEntry, DirectoryKind, Surroundings};
use havenstage_gateway::node::{self, NodeError, RunningNode};
use havenstage_memory_store::{InvalidStoreSetting, MemoryStore};
use havenstage_rollout::ids::ModelName;
use log::{error, info};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinSet;

use crate::dialect::HavenstageDialect;
use crate::engines::{EmulatedEngines, EngineStartError};
use crate::operators::{KnownDirectory, NamedVersions, OperatorState, router};
use crate::settings::ServeSettings;

/// Version of the configuration that the settings describe; changes of operators count on from it.
const FIRST_CONFIGURATION: u64 = 1;

/// The service cannot run.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The store refused its bounds.
    #[error("store")]
    Store(#[from] InvalidStoreSetting),
    /// An emulated engine cannot be started.
    #[error(transparent)]
    Engine(#[from] EngineStartError),
    /// The gateway's node cannot be started.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// The operators' address cannot be listened on.
    #[error("operators' address {address} cannot be listened on")]
    Operators {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// Signals cannot be received.
    #[error("signals cannot be received")]
    Signals(#[source] io::Error),
}

/// A service at work.
pub struct RunningService {
    node: RunningNode,
    operators: SocketAddr,
    tasks: JoinSet<()>,
    _engines: EmulatedEngines,
}

impl RunningService {
    /// Where callers and trainers are served.
    pub fn callers_address(&self) -> SocketAddr {
        self.node.callers_address()
    }

    /// Where operators are served.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators
    }

    /// Lets the work come to its end, then ends the service; operators are answered until then.
    pub async fn stop(mut self) {
        self.node.stop().await;
        self.tasks.shutdown().await;
    }
}

/// Runs the service until SIGTERM or SIGINT.
pub async fn run(settings: &ServeSettings) -> Result<(), ServeError> {
    // Before anything is served, so that no signal finds the default action, which kills.
    let mut terminate = listen_for(SignalKind::terminate())?;
    let mut interrupt = listen_for(SignalKind::interrupt())?;
    let service = start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    service.stop().await;
    Ok(())
}

fn listen_for(kind: SignalKind) -> Result<Signal, ServeError> {
    signal(kind).map_err(ServeError::Signals)
}

/// Starts the service; `settings` have passed their checks.
pub async fn start(settings: &ServeSettings) -> Result<RunningService, ServeError> {
    let listener = listen(settings.listen.operators).await?;
    let operators = listener
        .local_addr()
        .map_err(|source| ServeError::Operators {
            address: settings.listen.operators,
            source,
        })?;
    let store = Arc::new(MemoryStore::new(settings.memory_store())?);
    let routing = DirectoryEntry::Routing(settings.routing(FIRST_CONFIGURATION));
    store.write_entry(DirectoryKind::Operators, routing);
    let engines = EmulatedEngines::start(settings, &store).await?;
    let directory = Arc::new(KnownDirectory::new(store.clone()));
    let models = settings.pools.iter();
    let models = models.map(|pool| ModelName::from(pool.model.as_str()));
    let versions = Arc::new(NamedVersions::new(store.clone(), models));
    let surroundings = Surroundings {
        log: store.clone(),
        checkpoints: store,
        directory: directory.clone(),
        dialect: Arc::new(HavenstageDialect::new()),
        operations: None,
    };
    let node = node::start(settings.gateway(), surroundings).await?;
    let state = OperatorState {
        context: node.context().clone(),
        directory,
        versions,
    };
    let mut tasks = JoinSet::new();
    tasks.spawn(serve_operators(listener, state));
    info!(event = "serving", callers = node.callers_address().to_string().as_str(),
        operators = operators.to_string().as_str(); "");
    Ok(RunningService {
        node,
        operators,
        tasks,
        _engines: engines,
    })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ServeError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| ServeError::Operators { address, source })
}

async fn serve_operators(listener: TcpListener, state: OperatorState) {
    if let Err(error) = axum::serve(listener, router(state)).await {
        error!(event = "operators_not_served", reason = error.to_string().as_str(); "");
    }
}
