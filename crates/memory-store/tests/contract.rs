//! Runs the gateway's store contract tests against the in-memory store.

#[path = "../../gateway/tests/support/store_contract.rs"]
mod store_contract;

use std::sync::Arc;

use havenstage_gateway::edge::{DirectoryEntry, DirectoryKind, StreamPartition};
use havenstage_memory_store::{MemoryStore, MemoryStoreSettings};
use havenstage_rollout::backend::{BackendChange, BackendRecord};
use havenstage_rollout::ids::{BackendName, PoolName};
use store_contract::{StoreControls, StoreUnderTest};

struct Controls(Arc<MemoryStore>);

impl Controls {
    fn write(&self, name: &str, record: Option<BackendRecord>) {
        let name = BackendName::from(name);
        let entry = DirectoryEntry::Backend(BackendChange { name, record });
        self.0.write_entry(DirectoryKind::Backends, entry);
    }
}

impl StoreControls for Controls {
    fn write_backend(&self, name: &str, is_draining: bool) {
        let record = BackendRecord {
            pool: PoolName::from("pool"),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "zone".to_owned(),
            slots: 8,
            draining: is_draining,
            cold_left_ms: 0,
            models: Default::default(),
            started_at: None,
        };
        self.write(name, Some(record));
    }

    fn remove_backend(&self, name: &str) {
        self.write(name, None);
    }

    fn drop_before(&self, partition: StreamPartition, offset: u64) {
        self.0.drop_before(partition, offset);
    }
}

async fn start() -> StoreUnderTest {
    let settings = MemoryStoreSettings {
        listing_page_entries: 1,
        ..MemoryStoreSettings::default()
    };
    let store = Arc::new(MemoryStore::new(settings).unwrap());
    StoreUnderTest {
        log: store.clone(),
        checkpoints: store.clone(),
        directory: store.clone(),
        controls: Box::new(Controls(store)),
    }
}

store_contract_tests!(start());
