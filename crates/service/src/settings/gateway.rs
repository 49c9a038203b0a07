//! The gateway's and the store's settings that follow from those of `serve`.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use havenstage_gateway::settings::{
    BoundSettings, ListenSettings, LogSettings, Settings, TuningSettings,
};
use havenstage_memory_store::MemoryStoreSettings;

use super::ServeSettings;

const BYTES_PER_MB: usize = 1_000_000;
/// Time for which the store keeps records beyond that for which nodes keep batches: a batch is
/// counted from its last record.
const STORE_MARGIN: Duration = Duration::from_secs(60);
/// Calls a second and megabytes a second that a store in the process bears.
const STORE_READS_PER_S: u32 = 10_000;
const STORE_READ_MB_PER_S: f64 = 1_000.0;
/// Partitions of each stream, and streams of batches: batches open at once mostly lie apart.
const PARTITIONS: u32 = 4;
const BATCH_STREAMS: u32 = 8;
/// Most bytes of a record, and of a call of the store.
const RECORD_BYTES: usize = 64 * 1024;
const CALL_BYTES: usize = 1024 * 1024;
/// Megabytes of the process besides the store.
const PROCESS_MB: u32 = 256;
/// Milliseconds between the orders of two holders, and after a thaw without orders.
const ORDER_LEASE_MS: u64 = 1_000;
const ORDER_THAW_MS: u64 = 100;
/// Milliseconds after which an acknowledged end of a batch is in force.
const END_IN_FORCE_MS: u64 = 3_000;

impl ServeSettings {
    /// The gateway's settings.
    pub fn gateway(&self) -> Settings {
        Settings {
            node: self.node.clone(),
            zone: self.zone.clone(),
            regions: BTreeMap::new(),
            memory_mb: PROCESS_MB + self.store.most_mb,
            listen: ListenSettings {
                callers: self.listen.callers,
                ready: self.listen.ready,
                metrics: self.listen.metrics,
                peers: None,
                peers_told: None,
                datagrams: None,
            },
            log: LogSettings {
                // The store in the process has no address.
                address: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0),
                partitions: PARTITIONS,
                batch_streams: BATCH_STREAMS,
                record_bytes: RECORD_BYTES,
                call_bytes: CALL_BYTES,
                reads_per_s: STORE_READS_PER_S,
                read_mb_per_s: STORE_READ_MB_PER_S,
            },
            operations: None,
            bounds: BoundSettings {
                stop_grace_s: self.stop_grace_s,
                order_lease_ms: ORDER_LEASE_MS,
                order_thaw_ms: ORDER_THAW_MS,
                retention_s: self.store.retention_s,
                end_in_force_ms: END_IN_FORCE_MS,
                usage_window_s: None,
                usage_due_s: None,
            },
            tuning: TuningSettings {
                log_lines_per_s: self.log_lines_per_s,
                ..TuningSettings::default()
            },
        }
    }

    /// The store's settings.
    pub fn memory_store(&self) -> MemoryStoreSettings {
        MemoryStoreSettings {
            retention: Duration::from_secs_f64(self.store.retention_s) + STORE_MARGIN,
            most_bytes: self.store.most_mb as usize * BYTES_PER_MB,
            ..MemoryStoreSettings::default()
        }
    }
}
