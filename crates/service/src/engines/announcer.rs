//! Keeps an engine's entry in the directory of back ends up to date.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use havenstage_gateway::edge::{DirectoryEntry, DirectoryKind};
use havenstage_memory_store::MemoryStore;
use havenstage_rollout::backend::{BackendChange, BackendRecord};
use havenstage_standin::engine::EngineStandin;
use log::info;

use super::EngineIdentity;

/// Interval at which the announcer polls the engine's state.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Task that writes an engine's directory entry whenever the engine's state changes.
pub(super) struct Announcer {
    identity: Arc<EngineIdentity>,
    engine: Arc<EngineStandin>,
    address: SocketAddr,
    store: Arc<MemoryStore>,
}

impl Announcer {
    /// Creates the announcer of the engine that serves at `address`.
    pub(super) fn new(
        identity: Arc<EngineIdentity>,
        engine: Arc<EngineStandin>,
        address: SocketAddr,
        store: Arc<MemoryStore>,
    ) -> Self {
        Self {
            identity,
            engine,
            address,
            store,
        }
    }

    /// Polls the engine and writes its entry on each change, until the task is aborted.
    pub(super) async fn run(self) {
        let mut announced = None;
        loop {
            let record = self.record();
            if announced.as_ref() != Some(&record) {
                self.announce(&record);
                announced = Some(record);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn record(&self) -> BackendRecord {
        let load = self.engine.true_load();
        let version = load.version.map(|version| version.0);
        let models = version.map(|version| (self.identity.model.clone(), version));
        BackendRecord {
            pool: self.identity.pool.clone(),
            address: self.address,
            zone: self.identity.zone.clone(),
            slots: self.identity.settings.max_running_requests,
            draining: load.leaving || self.identity.is_draining.load(Ordering::Relaxed),
            cold_left_ms: 0,
            models: models.into_iter().collect::<BTreeMap<_, _>>(),
            started_at: Some(self.identity.started_at_ms),
        }
    }

    fn announce(&self, record: &BackendRecord) {
        let change = BackendChange {
            name: self.identity.name.clone(),
            record: Some(record.clone()),
        };
        let entry = DirectoryEntry::Backend(change);
        self.store.write_entry(DirectoryKind::Backends, entry);
        info!(event = "engine_announced", engine = self.identity.name.as_str(),
            address = self.address.to_string().as_str(), is_leaving = record.draining,
            models = format!("{:?}", record.models).as_str(); "");
    }
}
