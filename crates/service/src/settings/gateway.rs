//! Converts the settings of `serve` to those of the gateway and of the store in memory.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use havenstage_gateway::settings::{
    BoundSettings, ListenSettings, LogSettings, Settings, TuningSettings,
};
use havenstage_http_server::max_descriptors;
use havenstage_memory_store::MemoryStoreSettings;

use super::ServeSettings;

const BYTES_PER_MB: usize = 1_000_000;
/// One part of the descriptors in so many is for the gateway. A call to an emulated engine takes three: the caller's
/// connection, and both ends of the one to the engine.
const GATEWAY_DESCRIPTOR_PART: usize = 2;
/// One part of the memory in so many is for the bodies that emulated engines receive, and what they decode from them.
const ENGINE_BODY_MEMORY_PART: usize = 2;
/// Time for which the store keeps records in addition to the time for which nodes keep batches. The margin
/// is needed because the retention of a batch starts at its last record.
const STORE_MARGIN: Duration = Duration::from_secs(60);
/// Number of reads per second that the store in memory can serve.
const STORE_READS_PER_S: u32 = 10_000;
/// Read throughput of the store in memory, in megabytes per second.
const STORE_READ_MB_PER_S: f64 = 1_000.0;
/// Number of partitions of each stream.
const PARTITIONS: u32 = 4;
/// Number of streams over whose partitions batches are spread, so that batches that are open at the same
/// time rarely share a partition.
const BATCH_STREAMS: u32 = 8;
/// Maximum size of a record, in bytes.
const RECORD_BYTES: usize = 64 * 1024;
/// Maximum size of a call to the store, in bytes.
const CALL_BYTES: usize = 1024 * 1024;
/// Milliseconds between the last order of one holder of the order lease and the first of the next.
const ORDER_LEASE_MS: u64 = 1_000;
/// Milliseconds for which a node sends no orders after its process was suspended.
const ORDER_THAW_MS: u64 = 100;
/// Milliseconds after the end of a batch was acknowledged from which none of its items may reach an engine.
const END_IN_FORCE_MS: u64 = 3_000;
/// Milliseconds after an engine's entry says that it drains from which no request may reach it.
const DRAIN_IN_FORCE_MS: u64 = 2_000;

impl ServeSettings {
    /// Returns the settings of the gateway.
    pub fn gateway(&self) -> Settings {
        Settings {
            node: self.node.clone(),
            zone: self.zone.clone(),
            regions: BTreeMap::new(),
            memory_mb: self.memory_mb,
            // The emulated engines and the operators' interface use descriptors of this process too.
            max_descriptors: Some((max_descriptors() / GATEWAY_DESCRIPTOR_PART) as u32),
            listen: ListenSettings {
                callers: self.listen.callers,
                ready: self.listen.ready,
                metrics: self.listen.metrics,
                peers: None,
                peers_told: None,
                datagrams: None,
            },
            log: LogSettings {
                // The gateway needs an address here, but the store in memory has none and ignores it.
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
                drain_in_force_ms: DRAIN_IN_FORCE_MS,
                usage_window_s: None,
                usage_due_s: None,
            },
            tuning: TuningSettings {
                log_lines_per_s: self.log_lines_per_s,
                ..TuningSettings::default()
            },
        }
    }

    /// Returns the number of bytes of bodies that all emulated engines together may hold.
    pub(crate) fn engine_body_bytes(&self) -> usize {
        self.memory_mb as usize * BYTES_PER_MB / ENGINE_BODY_MEMORY_PART
    }

    /// Returns the settings of the store in memory.
    pub fn memory_store(&self) -> MemoryStoreSettings {
        MemoryStoreSettings {
            retention: Duration::from_secs_f64(self.store.retention_s) + STORE_MARGIN,
            most_bytes: self.store.most_mb as usize * BYTES_PER_MB,
            ..MemoryStoreSettings::default()
        }
    }
}
