//! Engines that all crash together again and again, and are back at once under other names at the same addresses.
//!
//! The entries of the former incarnations stay listed for a while. A node must learn quickly which incarnations are gone, and
//! must not take the version that some of them loaded, or the items that they ran, for the cause of the crashes.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::backend::BackendChange;
use havenstage_rollout::ids::{BackendName, ModelName};
use support::backend::StandInBackend;
use support::caller::{submit, wait_for_results};
use support::deployment::{Deployment, ENGINES, listed, record, wait_until};
use support::dialect::{MODEL, write_batch};
use tokio::net::TcpSocket;

/// More items than the engines run at once.
const ITEMS: usize = 60;
const ENGINES_COUNT: usize = 6;
/// Number of times that all engines crash: more than the ends that bar a harmful version.
const CRASHES: usize = 3;
/// Time for which the engines are down after a crash: long enough that a node finds out that they ended.
const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// Number of incarnations whose entries have not expired yet, for each engine.
const FORMER_INCARNATIONS: usize = 8;
const LOAD_TIME: Duration = Duration::from_millis(400);
/// Time in which all engines have loaded the version once all is calm: two load at a time, and each of the loads that were
/// broken off may be found out late.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
const VERSION: u64 = 2;

/// The current incarnations of the engines.
struct Engines {
    current: Vec<Arc<StandInBackend>>,
    generation: usize,
}

impl Engines {
    async fn start(deployment: &Deployment) -> Self {
        let mut current = Vec::new();
        for at in 0..ENGINES_COUNT {
            let engine = StandInBackend::start(&format!("engine-{at}-0")).await;
            current.push(prepare(deployment, engine));
        }
        Self {
            current,
            generation: 0,
        }
    }

    /// All engines crash, and the next incarnations listen at their addresses.
    async fn crash_and_restart(&mut self, deployment: &Deployment) {
        self.generation += 1;
        self.current.iter().for_each(|engine| engine.end());
        let mut reserved = Vec::new();
        for engine in &self.current {
            reserved.push(reserve(engine.address).await);
        }
        tokio::time::sleep(DOWN_TIME).await;
        for (at, engine) in self.current.iter_mut().enumerate() {
            let id = format!("engine-{at}-{}", self.generation);
            let next = StandInBackend::start_at(&id, engine.address).await;
            *engine = prepare(deployment, next);
        }
    }

    /// Lists more names at the address of each engine, as incarnations that have crashed leave them behind.
    fn list_former(&self, deployment: &Deployment) {
        for engine in &self.current {
            for number in 0..FORMER_INCARNATIONS {
                let id = format!("former-{}-{number}", engine.id);
                let record = Some(record(engine, ENGINES));
                let name = BackendName::from(id.as_str());
                let entry = DirectoryEntry::Backend(BackendChange { name, record });
                deployment.log.write_backends(entry);
            }
        }
    }

    fn are_loading(&self) -> bool {
        self.current
            .iter()
            .any(|engine| !engine.orders().is_empty())
    }

    fn have_loaded(&self) -> bool {
        self.current
            .iter()
            .all(|engine| engine.version() == VERSION)
    }
}

/// Binds the address of an engine that ends without listening there, so that the system gives its port to no connection
/// while the engine is down.
async fn reserve(address: SocketAddr) -> TcpSocket {
    loop {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        if socket.bind(address).is_ok() {
            return socket;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Lists a new incarnation.
fn prepare(deployment: &Deployment, engine: Arc<StandInBackend>) -> Arc<StandInBackend> {
    engine.behave(|behaviour| {
        behaviour.load_time = LOAD_TIME;
        behaviour.answers_orders_at_once = true;
    });
    deployment
        .log
        .write_backends(listed(&engine, ENGINES, false));
    engine
}

fn remove_entry(deployment: &Deployment, id: &str) {
    deployment
        .log
        .write_backends(DirectoryEntry::Backend(BackendChange {
            name: BackendName::from(id),
            record: None,
        }));
}

fn name_version(deployment: &Deployment) {
    let named = DirectoryEntry::NamedVersion {
        model: ModelName::from(MODEL),
        version: VERSION,
    };
    deployment.log.write_operators(named);
}

/// Guards against a version that counts as harmful, and is loaded again only after ten seconds, because all engines crashed
/// while some of them loaded it.
#[tokio::test]
async fn a_version_is_loaded_soon_after_all_engines_crashed_while_some_loaded_it() {
    let deployment = Deployment::start(0, 0).await;
    let mut engines = Engines::start(&deployment).await;
    let _nodes = [
        deployment
            .node_with_known_backends("a", ENGINES_COUNT)
            .await,
        deployment
            .node_with_known_backends("b", ENGINES_COUNT)
            .await,
    ];
    name_version(&deployment);
    for _ in 0..CRASHES {
        wait_until("an engine loads the version", || engines.are_loading()).await;
        let former: Vec<String> = engines.current.iter().map(|e| e.id.clone()).collect();
        engines.crash_and_restart(&deployment).await;
        former.iter().for_each(|id| remove_entry(&deployment, id));
    }
    let calm_since = Instant::now();
    wait_until("all engines have the version", || engines.have_loaded()).await;
    let took = calm_since.elapsed();
    assert!(took < RECOVERY_TIME, "all have it after {took:?}");
}

/// Guards against work for incarnations that have ended: their entries look like empty engines, so that items and orders are
/// sent to them again and again while the engines that took their addresses have room.
#[tokio::test]
async fn former_incarnations_that_are_still_listed_get_no_work() {
    let deployment = Deployment::start(0, 0).await;
    let mut engines = Engines::start(&deployment).await;
    let node = deployment
        .node_with_known_backends("a", ENGINES_COUNT)
        .await;
    engines.list_former(&deployment);
    engines.crash_and_restart(&deployment).await;
    let listed = ENGINES_COUNT * (FORMER_INCARNATIONS + 2);
    node.wait_until_known(listed).await;
    name_version(&deployment);
    let items: Vec<String> = (0..ITEMS).map(|number| format!("i{number}")).collect();
    let groups: Vec<(&str, &str)> = items.iter().map(|item| (item.as_str(), "g1")).collect();
    let body = write_batch(1, &groups, false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    wait_for_results(node.callers, "batch", ITEMS).await;
    let loaded = || engines.current.iter().any(|e| e.version() == VERSION);
    wait_until("an engine has the version", loaded).await;
    for engine in &engines.current {
        let misdirected = engine.misdirected();
        assert!(misdirected.is_empty(), "requests for {misdirected:?}");
    }
}
