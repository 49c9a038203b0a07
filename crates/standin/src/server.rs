//! What all stand-ins share: starting, stopping, the control paths and broken answers.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures::stream;
use havenstage_emulator::InvalidEngineSettings;
use havenstage_http_server::{
    BodyLimits, BodyMemory, Connections, Refuse, RouterLimits, RouterServer, max_descriptors,
    refuse_plainly,
};
use havenstage_platform_http::http_client::InvalidHttpClientSettings;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::gate::{Gate, GatedListener};

/// Path that takes a misbehaviour command.
pub const MISBEHAVE_PATH: &str = "/misbehave";
/// Path that answers the stand-in's record.
pub const RECORD_PATH: &str = "/record";

/// Time for the answer to a command to leave before the command breaks the connections.
pub(crate) const OUTAGE_DELAY: Duration = Duration::from_millis(50);

/// Maximum size of a body in bytes, where a stand-in has no lower limit of its own.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of bodies that a stand-in holds at a time.
const BODY_MEMORY_BYTES: usize = 256 * 1024 * 1024;
/// Time within which a body must be received.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of the head of a request in bytes.
const HEAD_BYTES: usize = 64 * 1024;
/// Time for which a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// One part of the descriptors in so many is for connections of clients.
const DESCRIPTOR_PART: usize = 2;

/// What a stand-in takes from its clients at a time.
#[derive(Debug, Clone)]
pub struct Intake {
    /// Memory of the bodies; several stand-ins of a process may share it.
    pub bodies: Arc<BodyMemory>,
    /// Maximum number of connections.
    pub connections: usize,
    /// Answers requests whose bodies are not received.
    pub refuse: Refuse,
}

impl Default for Intake {
    fn default() -> Self {
        Self {
            bodies: BodyMemory::new(BODY_MEMORY_BYTES),
            connections: max_descriptors() / DESCRIPTOR_PART,
            refuse: refuse_plainly,
        }
    }
}

impl Intake {
    fn server(self, router: Router) -> RouterServer {
        let limits = RouterLimits {
            body: BodyLimits {
                max_bytes: MAX_BODY_BYTES,
                timeout: BODY_TIMEOUT,
            },
            head_bytes: HEAD_BYTES,
            idle_timeout: IDLE_TIMEOUT,
        };
        let connections = Connections::new("standin", self.connections);
        RouterServer::new(router, limits, self.bodies, connections, self.refuse)
    }
}

/// A stand-in's state, shared by its request handlers.
pub trait Standin: Send + Sync + Sized + 'static {
    /// Commands that make it misbehave or behave again.
    type Misbehaviour: DeserializeOwned + Send + 'static;
    /// What it saw.
    type Record: Serialize + Send + 'static;

    /// Takes a command.
    fn misbehave(&self, command: Self::Misbehaviour);

    /// What it saw until now.
    fn record(&self) -> Self::Record;
}

/// Why a stand-in could not start, or stopped.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The socket failed.
    #[error("socket: {0}")]
    Io(#[from] io::Error),
    /// A setting is outside its range.
    #[error("{field}: allowed is {allowed}")]
    InvalidSetting {
        /// Name of the field.
        field: &'static str,
        /// Allowed range.
        allowed: &'static str,
    },
    /// The settings of the engine model are invalid.
    #[error(transparent)]
    InvalidEngine(#[from] InvalidEngineSettings),
    /// The settings of an HTTP client are invalid.
    #[error(transparent)]
    InvalidClient(#[from] InvalidHttpClientSettings),
}

/// A stand-in that is running in this process. Dropping it stops it.
#[derive(Debug)]
pub struct Running<S> {
    address: SocketAddr,
    gate: Gate,
    state: Arc<S>,
    tasks: Vec<JoinHandle<()>>,
}

impl<S: Standin> Running<S> {
    /// Starts serving `routes` and the control paths.
    pub(crate) fn start(
        listener: TcpListener,
        gate: Gate,
        state: Arc<S>,
        routes: Router<Arc<S>>,
    ) -> Result<Self, StandinError> {
        Self::start_with(listener, gate, state, routes, Intake::default())
    }

    /// Starts serving `routes` and the control paths within the bounds of `intake`.
    pub(crate) fn start_with(
        listener: TcpListener,
        gate: Gate,
        state: Arc<S>,
        routes: Router<Arc<S>>,
        intake: Intake,
    ) -> Result<Self, StandinError> {
        let address = listener.local_addr()?;
        let listener = GatedListener::new(listener, gate.clone())?;
        let router = routes
            .route(MISBEHAVE_PATH, post(take_command::<S>))
            .route(RECORD_PATH, get(show_record::<S>))
            .with_state(state.clone());
        let server = tokio::spawn(intake.server(router).serve(listener, future::pending()));
        Ok(Self {
            address,
            gate,
            state,
            tasks: vec![server],
        })
    }

    /// Adds a task that ends with the stand-in.
    pub(crate) fn with_task(mut self, task: JoinHandle<()>) -> Self {
        self.tasks.push(task);
        self
    }

    /// Address it serves on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its gate, to refuse and break connections.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Its state.
    pub fn state(&self) -> &Arc<S> {
        &self.state
    }

    /// Gives it a command, as `POST /misbehave` does.
    pub fn misbehave(&self, command: S::Misbehaviour) {
        self.state.misbehave(command);
    }

    /// What it saw until now.
    pub fn record(&self) -> S::Record {
        self.state.record()
    }

    /// Serves until the task is dropped.
    pub async fn wait(mut self) {
        if let Some(server) = self.tasks.first_mut() {
            // A server task that panicked has said so on its own.
            let _ = server.await;
        }
    }
}

impl<S> Drop for Running<S> {
    fn drop(&mut self) {
        self.gate.close();
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn take_command<S: Standin>(
    State(state): State<Arc<S>>,
    Json(command): Json<S::Misbehaviour>,
) {
    state.misbehave(command);
}

async fn show_record<S: Standin>(State(state): State<Arc<S>>) -> Json<S::Record> {
    Json(state.record())
}

/// An answer whose head is sent and whose body then breaks the connection: the caller cannot
/// know what it would have said.
pub(crate) fn lost_answer() -> Response {
    let broken: Result<bytes::Bytes, io::Error> = Err(io::ErrorKind::ConnectionReset.into());
    Body::from_stream(stream::iter([broken])).into_response()
}
