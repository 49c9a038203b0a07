//! Gateway nodes on loopback that share one in-memory log.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use havenstage_gateway::context::Context;
use havenstage_gateway::edge::{DirectoryEntry, NodeDependencies};
use havenstage_gateway::node::{self, RunningNode};
use havenstage_gateway::operations::OperationsApi;
use havenstage_gateway::settings::Settings;
use havenstage_rollout::backend::{BackendChange, BackendRecord};
use havenstage_rollout::ids::{BackendName, ModelName, PoolName};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::route::{
    CallerLimits, Pool, RequestKind, Route, RoutingConfig, WeightedPool,
};

use tokio::runtime::{Builder, Runtime};

use super::backend::StandInBackend;
use super::dialect::{HOST, MODEL, TestDialect};
use super::log::{LogFaults, MemoryLog, NodeLog, Versions};
use super::operations::StandInOperations;
use super::suspension::suspend_this_thread;

pub const ENGINES: &str = "engines";
pub const APPLICATIONS: &str = "applications";

/// A node under test, on a runtime with one worker thread of its own.
pub struct TestNode {
    running: Option<RunningNode>,
    runtime: Option<Runtime>,
    context: Arc<Context>,
    pub log: Arc<NodeLog>,
    pub callers: SocketAddr,
}

impl TestNode {
    pub async fn start(shared: &Arc<MemoryLog>, name: &str) -> Self {
        Self::start_with_log(NodeLog::new(shared), name).await
    }

    pub async fn start_with_log(log: Arc<NodeLog>, name: &str) -> Self {
        Self::start_with_settings(log, settings(name)).await
    }

    pub async fn start_with_settings(log: Arc<NodeLog>, settings: Settings) -> Self {
        Self::start_with_operations(log, settings, None).await
    }

    /// Starts a node with the given operations API, if any.
    pub async fn start_with_operations(
        log: Arc<NodeLog>,
        settings: Settings,
        platform: Option<Arc<StandInOperations>>,
    ) -> Self {
        let dependencies = NodeDependencies {
            log: log.clone(),
            checkpoints: log.clone(),
            directory: log.clone(),
            dialect: TestDialect::new(),
            operations: platform.map(|platform| platform as Arc<dyn OperationsApi>),
        };
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let started = runtime.spawn(async move { node::start(settings, dependencies).await });
        let running = started.await.unwrap().unwrap();
        let (callers, context) = (running.callers_address(), running.context().clone());
        Self {
            running: Some(running),
            runtime: Some(runtime),
            context,
            log,
            callers,
        }
    }

    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Ends the node and all its connections abruptly, as killing its process does.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Blocks the node's only thread for this time; it is already blocked when this returns.
    pub async fn block_thread(&self, time: Duration) {
        let (started_sender, started) = tokio::sync::oneshot::channel();
        let runtime = self.runtime.as_ref().expect("the node runs");
        runtime.spawn(async move {
            started_sender.send(()).unwrap();
            std::thread::sleep(time);
        });
        started.await.unwrap();
    }

    /// Simulates that the node's machine was suspended for this time; when this returns the suspension is over. The
    /// monotonic clock does not advance by it.
    pub async fn suspend(&self, time: Duration) {
        self.run_on_node_thread(move || suspend_this_thread(time))
            .await;
    }

    /// Runs a closure on the one thread on which the node's tasks run.
    pub async fn run_on_node_thread<T: Send + 'static>(
        &self,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> T {
        let runtime = self.runtime.as_ref().expect("the node runs");
        runtime.spawn(async move { work() }).await.unwrap()
    }

    /// Stops the node gracefully.
    pub async fn stop(mut self) {
        if let (Some(running), Some(runtime)) = (self.running.take(), &self.runtime) {
            runtime.spawn(running.stop()).await.unwrap();
        }
    }

    /// CPU time that the one thread on which the node's tasks run has used.
    pub async fn cpu_time(&self) -> Duration {
        let runtime = self.runtime.as_ref().unwrap();
        // A task of the runtime runs on that thread, so it reads the kernel's counters of that thread.
        runtime.spawn(async { thread_time() }).await.unwrap()
    }

    pub fn set_faults(&self, faults: LogFaults) {
        self.log.set_faults(faults);
    }

    /// Waits until the node knows the addresses of this many machines.
    pub async fn wait_until_addresses_known(&self, machines: usize) {
        wait_until("the node knows the others' addresses", || {
            let control = self.context().control.lock();
            control.state.reachable().checkpoint().len() == machines
        })
        .await;
    }

    /// Waits until the node knows the routes and this many back ends.
    pub async fn wait_until_known(&self, backends: usize) {
        wait_until("the node knows its routes and back ends", || {
            let context = self.context();
            context.routes().is_some() && context.backends.lock().list.len() == backends
        })
        .await;
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Unit in which the kernel counts CPU time: USER_HZ is 100 on Linux.
const TICK: Duration = Duration::from_millis(10);
/// Index of the ticks in user mode among the fields after the thread's name; those in kernel mode come next. See
/// proc(5), /proc/pid/stat.
const USER_TICKS: usize = 11;

/// CPU time that this thread has used.
fn thread_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/thread-self/stat").unwrap();
    let (_, after_name) = stat.rsplit_once(')').unwrap();
    let fields = after_name.split_whitespace().skip(USER_TICKS).take(2);
    let ticks: u32 = fields.map(|field| field.parse::<u32>().unwrap()).sum();
    TICK * ticks
}

/// Waits up to 20 s for a condition, and panics with `what` if it does not become true.
pub async fn wait_until(what: &str, is_true: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if is_true() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out: {what}");
}

pub fn settings(name: &str) -> Settings {
    let text = format!(
        r#"
        node = "{name}"
        zone = "zone"
        [listen]
        callers = "127.0.0.1:0"
        ready = "127.0.0.1:0"
        datagrams = "127.0.0.1:0"
        [log]
        address = "127.0.0.1:1"
        partitions = 2
        record_bytes = 512
        call_bytes = 65536
        reads_per_s = 1000
        [bounds]
        stop_grace_s = 5.0
        order_lease_ms = 500
        order_thaw_ms = 50
        retention_s = 60.0
        [tuning]
        read_wait_ms = 200
        flush_ms = 5
        progress_ms = 20
        keep_ms = 100
        silence_ms = 600
        spread_ms = 50
        announce_ms = 50
        "#
    );
    Settings::parse(Path::new("test settings"), &text).unwrap()
}

pub fn route(name: &str, prefix: &str, kind: RequestKind, pool: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        timeout_ms: 3_000,
        objective_ms: 1_000,
        attempts: 3,
        priority: 0,
        pools: vec![WeightedPool {
            pool: PoolName::from(pool),
            weight: 1,
        }],
        due_ms: Some(7_500),
        give_up_after_ms: Some(30_000),
        single_version: false,
        is_public: false,
        residency: Residency::anywhere(),
    }
}

/// A route with a timeout of one hour.
fn long_timeout_route() -> Route {
    let route = route(
        "patient",
        "/patient/",
        RequestKind::Repeatable,
        APPLICATIONS,
    );
    Route {
        timeout_ms: 3_600_000,
        ..route
    }
}

fn single_version_route() -> Route {
    let route = route("single", "/batches/single/", RequestKind::Batch, ENGINES);
    Route {
        single_version: true,
        ..route
    }
}

pub fn routing(version: u64) -> RoutingConfig {
    let pool = |name: &str, models: Vec<ModelName>| Pool {
        name: PoolName::from(name),
        connections: 100,
        models,
        tokens_per_event: 1,
        memory_tokens: None,
        scaling: None,
        cold_limit: None,
    };
    RoutingConfig {
        version,
        routes: vec![
            route("calls", "/calls/", RequestKind::Repeatable, APPLICATIONS),
            route("once", "/once/", RequestKind::AtMostOnce, APPLICATIONS),
            route("batches", "/batches/", RequestKind::Batch, ENGINES),
            long_timeout_route(),
            single_version_route(),
            route(
                "streams",
                "/streams/",
                RequestKind::Stream { resumable: true },
                ENGINES,
            ),
            route(
                "unresumable",
                "/streams/once/",
                RequestKind::Stream { resumable: false },
                ENGINES,
            ),
        ],
        pools: vec![
            pool(ENGINES, vec![ModelName::from(MODEL)]),
            pool(APPLICATIONS, Vec::new()),
        ],
        limits: CallerLimits::default(),
        tenants: Vec::new(),
    }
}

pub fn listed(backend: &StandInBackend, pool: &str, draining: bool) -> DirectoryEntry {
    let record = BackendRecord {
        draining,
        ..record(backend, pool)
    };
    entry(backend, record)
}

/// The record of a back end that is ready and warm.
pub fn record(backend: &StandInBackend, pool: &str) -> BackendRecord {
    BackendRecord {
        pool: PoolName::from(pool),
        address: backend.address,
        zone: "zone".to_owned(),
        slots: 8,
        draining: false,
        cold_left_ms: 0,
        models: Versions::from([(ModelName::from(MODEL), 1)]),
        started_at: None,
    }
}

/// The directory entry that a back end writes with a record.
pub fn entry(backend: &StandInBackend, record: BackendRecord) -> DirectoryEntry {
    let name = BackendName::from(backend.id.as_str());
    DirectoryEntry::Backend(BackendChange {
        name,
        record: Some(record),
    })
}

/// A log with routes and back ends of both pools; nodes are added by the tests.
pub struct Deployment {
    pub log: Arc<MemoryLog>,
    pub engines: Vec<Arc<StandInBackend>>,
    pub applications: Vec<Arc<StandInBackend>>,
}

impl Deployment {
    pub async fn start(engines: usize, applications: usize) -> Self {
        let log = MemoryLog::new();
        log.write_operators(DirectoryEntry::Routing(routing(1)));
        let mut deployment = Self {
            log,
            engines: Vec::new(),
            applications: Vec::new(),
        };
        for at in 0..engines {
            let backend = StandInBackend::start(&format!("engine-{at}")).await;
            deployment
                .log
                .write_backends(listed(&backend, ENGINES, false));
            deployment.engines.push(backend);
        }
        for at in 0..applications {
            let backend = StandInBackend::start(&format!("application-{at}")).await;
            deployment
                .log
                .write_backends(listed(&backend, APPLICATIONS, false));
            deployment.applications.push(backend);
        }
        deployment
    }

    pub async fn node(&self, name: &str) -> TestNode {
        self.node_with_known_backends(name, self.engines.len() + self.applications.len())
            .await
    }

    /// Starts a node and waits until it knows this many back ends.
    pub async fn node_with_known_backends(&self, name: &str, backends: usize) -> TestNode {
        let node = TestNode::start(&self.log, name).await;
        node.wait_until_known(backends).await;
        node
    }
}
