//! Assembles the service, runs it, and shuts it down gracefully.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use havenstage_gateway::edge::NodeDependencies;
use havenstage_gateway::node::{self, NodeError, RunningNode};
use havenstage_memory_store::{InvalidStoreSetting, MemoryStore};
use log::{error, info};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinSet;

use crate::dialect::HavenstageDialect;
use crate::engines::{EmulatedEngines, EngineStartError};
use crate::explain::DecisionRecords;
use crate::operators::{Configuration, NamedVersions, OperatorState, RecordingDirectory, router};
use crate::settings::ServeSettings;

/// Why the service cannot run.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The store in memory rejected its settings.
    #[error("the store in memory cannot be created")]
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
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The handler of a stop signal cannot be installed.
    #[error("handlers for SIGTERM and SIGINT cannot be installed")]
    Signals(#[source] io::Error),
}

/// A running service.
pub struct RunningService {
    node: RunningNode,
    operators: SocketAddr,
    tasks: JoinSet<()>,
}

impl RunningService {
    /// Returns the address on which callers and trainers are served.
    pub fn callers_address(&self) -> SocketAddr {
        self.node.callers_address()
    }

    /// Returns the address on which operators are served.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators
    }

    /// Stops the node, which first finishes its work, and then the operators' interface.
    pub async fn stop(mut self) {
        self.node.stop().await;
        self.tasks.shutdown().await;
    }
}

/// Runs the service until SIGTERM or SIGINT.
pub async fn run(
    settings: &ServeSettings,
    records: Arc<DecisionRecords>,
) -> Result<(), ServeError> {
    // The handlers are installed before anything is served: until then a signal has its default action,
    // which kills the process.
    let mut terminate = listen_for(SignalKind::terminate())?;
    let mut interrupt = listen_for(SignalKind::interrupt())?;
    let service = start(settings, records).await?;
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

/// Starts the service. `settings` must be valid (`ServeSettings::validate`), and `records` must be the
/// store to which the process's log writes decisions (`explain::RecordingWriter`).
pub async fn start(
    settings: &ServeSettings,
    records: Arc<DecisionRecords>,
) -> Result<RunningService, ServeError> {
    let listener = listen(settings.listen.operators).await?;
    let operators = listener
        .local_addr()
        .map_err(|source| ServeError::Operators {
            address: settings.listen.operators,
            source,
        })?;
    let store = Arc::new(MemoryStore::new(settings.memory_store())?);
    let engines = Arc::new(EmulatedEngines::start(settings, &store).await?);
    let versions = Arc::new(NamedVersions::new(store.clone()));
    let configuration = Configuration::new(
        settings.clone(),
        store.clone(),
        engines.clone(),
        versions.clone(),
    );
    let directory = Arc::new(RecordingDirectory::new(store.clone()));
    let dependencies = NodeDependencies {
        log: store.clone(),
        checkpoints: store,
        directory: directory.clone(),
        dialect: Arc::new(HavenstageDialect::new()),
        operations: None,
    };
    let node = node::start(settings.gateway(), dependencies).await?;
    let state = OperatorState {
        context: node.context().clone(),
        directory,
        configuration: Arc::new(configuration),
        engines,
        versions,
        records,
    };
    let mut tasks = JoinSet::new();
    tasks.spawn(serve_operators(listener, state));
    info!(event = "serving", callers = node.callers_address().to_string().as_str(),
        operators = operators.to_string().as_str(); "");
    Ok(RunningService {
        node,
        operators,
        tasks,
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
