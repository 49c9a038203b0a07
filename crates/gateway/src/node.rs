//! Starts the tasks of a node, runs it, and shuts it down gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::ids::{MachineName, NodeId};
use log::info;
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::checkpoints;
use crate::context::Context;
use crate::coordinator::Coordinator;
use crate::digest_writer;
use crate::directories;
use crate::edge::NodeDependencies;
use crate::engine::Engine;
use crate::followers;
use crate::knowledge_metrics;
use crate::metering::{self, UsageReporter};
use crate::metrics::{self, MetricsError};
use crate::peer_notices::{self, PeerSocket};
use crate::peers;
use crate::server::{self, InFlight, ListenError};
use crate::settings::Settings;
use crate::sizing::PoolSizeController;

/// Time from the stop signal until connections are closed, so that the load balancer of the callers has noticed that
/// the node is not ready.
const READINESS_NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Time before the process would be killed at which it exits on its own.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// Share of the stop grace period in which the node continues to run its batches.
const BATCH_WORK_SHARE: f64 = 0.7;
/// Interval between two checks whether requests are still in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a node cannot run.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// Metrics cannot be collected.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The local address of a listener cannot be determined.
    #[error("cannot determine the local address of a listener: {0}")]
    Address(std::io::Error),
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(std::io::Error),
}

/// A node whose tasks run.
pub struct RunningNode {
    context: Arc<Context>,
    callers: SocketAddr,
    in_flight: Arc<InFlight>,
    close: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl RunningNode {
    /// The state that the parts of the node share.
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// The address on which the node listens for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Shuts the node down: lets its work finish within the stop grace period, then ends all its tasks.
    pub async fn stop(mut self) {
        stop(&self.context, &self.in_flight, &self.close).await;
        self.tasks.shutdown().await;
    }
}

/// Runs a node until it receives SIGTERM or SIGINT. `reload` is called at each SIGHUP, as the settings may have changed.
pub async fn run(
    settings: Settings,
    dependencies: NodeDependencies,
    reload: impl Fn(),
) -> Result<(), NodeError> {
    // Handlers are installed before anything is served, as the default action of the signals kills the process.
    let signals = Signals::listen()?;
    let running = start(settings, dependencies).await?;
    signals.wait_for_stop(reload).await;
    running.stop().await;
    Ok(())
}

/// Binds the addresses of a node and starts its tasks.
pub async fn start(
    settings: Settings,
    dependencies: NodeDependencies,
) -> Result<RunningNode, NodeError> {
    let machine = MachineName::from(settings.node.as_str());
    let node = NodeId {
        machine,
        life: rand::random(),
    };
    let listen = settings.listen.clone();
    let callers = server::listen("callers'", listen.callers).await?;
    let callers_address = callers.local_addr().map_err(NodeError::Address)?;
    let ready = server::listen("readiness", listen.ready).await?;
    let context = Context::new(settings, node, dependencies);
    if let Some(address) = listen.datagrams {
        let socket = PeerSocket::bind(address).await?;
        // Set once: a node starts once.
        let _ = context.peer_socket.set(socket);
    }
    let mut tasks = JoinSet::new();
    if let Some(address) = listen.metrics {
        let handle = metrics::start(address)?;
        let listener = server::listen("metrics", address).await?;
        tasks.spawn(server::serve_metrics(context.clone(), handle, listener));
    }
    if let Some(address) = listen.peers {
        let listener = server::listen("peers'", address).await?;
        let listened = listener.local_addr().map_err(NodeError::Address)?;
        context
            .peers
            .set_own_address(listen.peers_told.unwrap_or(listened));
        tasks.spawn(peers::serve(context.clone(), listener));
    }
    let in_flight = Arc::new(InFlight::default());
    let (close, closing) = watch::channel(false);
    start_followers(&context, &mut tasks);
    tasks.spawn(peer_notices::serve(context.clone()));
    tasks.spawn(server::serve_readiness(context.clone(), ready));
    tasks.spawn(server::serve_callers(
        context.clone(),
        callers,
        in_flight.clone(),
        closing,
    ));
    tasks.spawn(Engine::new(context.clone()).run());
    tasks.spawn(Coordinator::new(context.clone()).run());
    start_metering(&context, &mut tasks);
    start_sizing(&context, &mut tasks);
    info!(event = "started", node = context.node.to_string().as_str(),
        zone = context.settings.zone.as_str(), version = env!("CARGO_PKG_VERSION"); "");
    Ok(RunningNode {
        context,
        callers: callers_address,
        in_flight,
        close,
        tasks,
    })
}

fn start_followers(context: &Arc<Context>, tasks: &mut JoinSet<()>) {
    tasks.spawn(directories::follow_operators(context.clone()));
    tasks.spawn(directories::follow_backends(context.clone()));
    tasks.spawn(digest_writer::write_digest(context.clone()));
    tasks.spawn(followers::follow_control(context.clone()));
    tasks.spawn(knowledge_metrics::report(context.clone()));
    tasks.spawn(checkpoints::write_checkpoints(context.clone()));
    tasks.spawn(followers::follow_occupancy(context.clone()));
    tasks.spawn(followers::follow_batches(context.clone()));
    tasks.spawn(followers::forget_old_batches(context.clone()));
}

/// Starts counting and reporting usage, if the settings enable it.
fn start_metering(context: &Arc<Context>, tasks: &mut JoinSet<()>) {
    let Some((settings, api)) = context.settings.metering().zip(context.operations.clone()) else {
        return;
    };
    tasks.spawn(metering::write_usage(context.clone()));
    tasks.spawn(UsageReporter::new(context.clone(), api, settings).run());
}

/// Starts requesting pool sizes from the platform, if the settings enable it.
fn start_sizing(context: &Arc<Context>, tasks: &mut JoinSet<()>) {
    let settings = context.settings.operations.as_ref();
    let is_enabled = settings.is_some_and(|operations| operations.autoscale);
    if let (true, Some(api)) = (is_enabled, context.operations.clone()) {
        tasks.spawn(PoolSizeController::new(context.clone(), api).run());
    }
}

/// Signals that tell a node to stop or to reload its settings.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn listen() -> Result<Self, NodeError> {
        let listen_for = |kind| signal(kind).map_err(NodeError::Signals);
        Ok(Self {
            terminate: listen_for(SignalKind::terminate())?,
            interrupt: listen_for(SignalKind::interrupt())?,
            hang_up: listen_for(SignalKind::hangup())?,
        })
    }

    async fn wait_for_stop(mut self, reload: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => reload(),
            }
        }
    }
}

/// Waits until the load balancer has noticed that the node stops, lets batches and requests in flight finish, and
/// releases the leases of batches.
async fn stop(context: &Context, in_flight: &InFlight, close: &watch::Sender<bool>) {
    let began = Instant::now();
    context.stopping.store(true, Ordering::Relaxed);
    context.control_changed.notify_one();
    let grace = Duration::from_secs_f64(context.settings.bounds.stop_grace_s);
    let deadline = began + grace.saturating_sub(EXIT_MARGIN);
    // Set once: a node stops once.
    let _ = context.stop_deadline.set(deadline);
    let release_at = began + grace.mul_f64(BATCH_WORK_SHARE);
    info!(event = "stopping", in_flight = in_flight.count(); "");
    havenstage_clock::sleep_until((began + READINESS_NOTICE_TIME).min(deadline)).await;
    close.send_replace(true);
    // Requests that are read meanwhile count as in flight afterwards.
    tokio::time::sleep(server::CLOSE_DELAY * 2).await;
    while context.holds_batches() && Instant::now() < release_at {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    context.releasing.store(true, Ordering::Relaxed);
    context.work.notify_one();
    while !is_done(context, in_flight) && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let took_ms = began.elapsed().as_millis() as u64;
    info!(event = "stopped", in_flight = in_flight.count(), took_ms = took_ms; "");
}

fn is_done(context: &Context, in_flight: &InFlight) -> bool {
    let has_released = context.released.load(Ordering::Relaxed);
    in_flight.count() == 0 && has_released && context.usage.is_written(&context.node)
}
