//! Assembles the service, runs it, and shuts it down gracefully.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use havenstage_gateway::edge::NodeDependencies;
use havenstage_gateway::node::{self, NodeError, RunningNode};
use havenstage_http_server::{
    BodyLimits, BodyMemory, Connections, RouterLimits, RouterServer, max_descriptors,
    refuse_plainly,
};
use havenstage_memory_store::{InvalidStoreSetting, MemoryStore};
use log::info;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinSet;

use crate::dialect::HavenstageDialect;
use crate::engines::{EmulatedEngines, EngineStartError};
use crate::explain::DecisionRecords;
use crate::operators::{Configuration, NamedVersions, OperatorState, RecordingDirectory, router};
use crate::settings::ServeSettings;

/// Maximum size of a body of the operators' interface in bytes.
const OPERATOR_BODY_BYTES: usize = 2 * 1024 * 1024;
/// Bytes of bodies that the operators' interface holds at a time.
const OPERATOR_BODY_MEMORY: usize = 8 * 1024 * 1024;
/// Time within which a body of the operators' interface must be received.
const OPERATOR_BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request's head at the operators' interface in bytes.
const OPERATOR_HEAD_BYTES: usize = 16 * 1024;
/// Time for which a connection of the operators' interface may be idle.
const OPERATOR_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// One part of the descriptors in so many is for connections of operators.
const OPERATOR_DESCRIPTOR_PART: usize = 16;

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
    let limits = RouterLimits {
        body: BodyLimits {
            max_bytes: OPERATOR_BODY_BYTES,
            timeout: OPERATOR_BODY_TIMEOUT,
        },
        head_bytes: OPERATOR_HEAD_BYTES,
        idle_timeout: OPERATOR_IDLE_TIMEOUT,
    };
    let connections = max_descriptors() / OPERATOR_DESCRIPTOR_PART;
    let server = RouterServer::new(
        router(state),
        limits,
        BodyMemory::new(OPERATOR_BODY_MEMORY),
        Connections::new("operators", connections),
        refuse_plainly,
    );
    server.serve(listener, pending()).await;
}
