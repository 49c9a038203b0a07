//! What a node costs: the time it adds to a request, against calling the engine directly, and the
//! requests a second it serves.
//!
//! Every measurement alternates its cases in short slices within one run, so that other load on
//! the machine meets all of them alike. Load is closed-loop: a connection sends its next request
//! when it has read the answer before to its end.

mod caller;
mod case;
mod deployment;
mod measure;
mod process;
mod report;
mod settings;
mod summary;

use std::net::SocketAddr;

use havenstage_types::ids::PoolName;
use thiserror::Error;
use tokio::runtime::Runtime;

pub use case::{AnswerKind, Case, Path};
pub use deployment::DeploymentError;
pub use process::{MachineLoad, ProcessError};
pub use report::{CaseReport, LatencyReport, NodeCost, ThroughputReport};
pub use settings::{InvalidLatencySettings, LatencySettings};
pub use summary::{Percentiles, Spread};

use deployment::Deployment;
use process::CpuMeter;

/// Where the measured services are.
#[derive(Debug, Clone)]
pub struct Targets {
    /// The engine, called directly.
    pub engine: SocketAddr,
    /// HTTP address of the node that is the engine's home.
    pub home: SocketAddr,
    /// HTTP address of a node that is not the engine's home.
    pub front: SocketAddr,
    /// Pool whose only engine that is.
    pub pool: PoolName,
}

/// Process ids of nodes that run as processes of their own, to measure their CPU time and memory.
#[derive(Debug, Clone, Copy, Default)]
pub struct NodeProcesses {
    /// The engine's home.
    pub home: Option<u32>,
    /// The other node.
    pub front: Option<u32>,
}

/// Why a measurement failed.
#[derive(Debug, Error)]
pub enum LatencyError {
    /// The settings are not allowed.
    #[error(transparent)]
    Settings(#[from] InvalidLatencySettings),
    /// The deployment in this process could not be started.
    #[error("starting the deployment: {0}")]
    Deployment(#[from] DeploymentError),
    /// The runtime of the load could not be started.
    #[error("starting the load: {0}")]
    Runtime(#[from] std::io::Error),
    /// CPU time or memory could not be read.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The first requests of a case were not answered, so there is nothing to measure.
    #[error("{case} is not served: {reason}")]
    NotServed {
        /// The case.
        case: Case,
        /// What came instead of an answer.
        reason: String,
    },
}

/// Threads that put load on the services.
const LOAD_THREADS: usize = 2;

/// Starts everything in this process, each role on a runtime of its own, and measures it.
///
/// Each node has two worker threads, so that it uses two cores at most. Must not be called from
/// within a runtime.
pub fn run_in_process(settings: &LatencySettings) -> Result<LatencyReport, LatencyError> {
    settings.validate()?;
    let deployment = Deployment::start(settings)?;
    let load = load_runtime()?;
    let targets = deployment.targets();
    load.block_on(measure::run(
        settings,
        &targets,
        &CpuMeter::of_threads(deployment::HOME_THREADS),
        &CpuMeter::of_threads(deployment::FRONT_THREADS),
    ))
}

/// Measures services that run already. Must not be called from within a runtime.
pub fn run_against(
    settings: &LatencySettings,
    targets: &Targets,
    processes: NodeProcesses,
) -> Result<LatencyReport, LatencyError> {
    settings.validate()?;
    load_runtime()?.block_on(measure::run(
        settings,
        targets,
        &CpuMeter::of_process(processes.home),
        &CpuMeter::of_process(processes.front),
    ))
}

fn load_runtime() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(LOAD_THREADS)
        .thread_name("load")
        .enable_all()
        .build()
}
