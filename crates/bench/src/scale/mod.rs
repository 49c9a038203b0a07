//! The scale run: many real nodes in one process, over loopback, before stand-ins of the platform
//! that run on threads of their own.
//!
//! Each hollow node is the whole node with its real network (TCP and UDP), its real codecs and its
//! real HTTP clients; only the HTTP front towards callers is left out. Engines are the engine
//! stand-ins, whose answers take no time: they are real HTTP endpoints, because load reports and
//! orders are part of the nodes' traffic. Processor time is that of the threads which run nodes.

mod clients;
mod cluster;
mod error;
mod hollow_node;
mod network;
mod phases;
mod platform;
mod process;
mod report;
mod settings;
mod slopes;
mod table;
mod traffic;
mod window;

use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};

pub use error::ScaleError;
pub use report::{
    ConfigChangesReport, EventCost, KindRate, LatencyReport, NodeDeathReport, RateReport,
    ScaleReport, SizeReport, TrainingReport, VersionReport, WindowReport, ZoneCutReport,
};
pub use settings::{ClusterSize, InvalidScaleSettings, Phase, ScaleSettings};
pub use slopes::{Line, Metric, Slope, least_squares};
pub use table::render;
pub use traffic::{KindTotals, TrafficKind, TrafficTotals};

use cluster::Cluster;
use platform::Platform;

/// Name of the threads that run nodes.
pub(crate) const NODE_THREAD_NAME: &str = "hollow-node";

/// Threads of the run itself.
const DRIVER_THREADS: usize = 2;

/// Time that threads get to end when a part of the run is over.
const RUNTIME_END: Duration = Duration::from_secs(5);

/// How far a scale run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScaleProgress {
    /// Nodes of a size are being started.
    Starting(ClusterSize),
    /// All nodes of the size agree.
    Converged(ClusterSize),
    /// A phase begins.
    Phase(ClusterSize, Phase),
}

/// Runs all sizes. Blocks; must not be called from a tokio runtime.
pub fn run(
    settings: &ScaleSettings,
    mut progress: impl FnMut(ScaleProgress),
) -> Result<ScaleReport, ScaleError> {
    settings.validate()?;
    let mut sizes = Vec::with_capacity(settings.sizes.len());
    for size in &settings.sizes {
        sizes.push(run_size(*size, settings, &mut progress)?);
    }
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    Ok(ScaleReport::new(settings.clone(), processors, sizes))
}

fn run_size(
    size: ClusterSize,
    settings: &ScaleSettings,
    progress: &mut impl FnMut(ScaleProgress),
) -> Result<SizeReport, ScaleError> {
    let driver = runtime("driver", DRIVER_THREADS)?;
    let platform = runtime("platform", settings.platform_threads)?;
    let nodes = runtime(NODE_THREAD_NAME, settings.node_threads)?;
    let report = driver.block_on(measure(size, settings, &platform, &nodes, progress));
    for finished in [driver, nodes, platform] {
        finished.shutdown_timeout(RUNTIME_END);
    }
    report
}

fn runtime(name: &str, threads: usize) -> Result<Runtime, ScaleError> {
    Ok(Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()?)
}

async fn measure(
    size: ClusterSize,
    settings: &ScaleSettings,
    platform_runtime: &Runtime,
    node_runtime: &Runtime,
    progress: &mut impl FnMut(ScaleProgress),
) -> Result<SizeReport, ScaleError> {
    progress(ScaleProgress::Starting(size));
    let platform_settings = settings.clone();
    let starting = platform_runtime
        .spawn(async move { Platform::start(size.engines, &platform_settings).await });
    let platform = Arc::new(starting.await??);
    let memory_before = process::resident_bytes()?;
    let nodes = node_runtime.handle().clone();
    let mut cluster = Cluster::start(size, platform, nodes, settings).await?;
    let converged_after = cluster.converged().await?;
    progress(ScaleProgress::Converged(size));
    tokio::time::sleep(Duration::from_millis(settings.settle_ms)).await;
    let gained = process::resident_bytes()?.saturating_sub(memory_before);
    let mut report = SizeReport {
        size,
        converge_seconds: converged_after.as_secs_f64(),
        memory_bytes_per_node: gained as f64 / size.nodes as f64,
        ..SizeReport::default()
    };
    for phase in Phase::ALL {
        if settings.phases.contains(&phase) {
            progress(ScaleProgress::Phase(size, phase));
            phases::run(phase, &mut cluster, &mut report).await?;
        }
    }
    Ok(report)
}
