//! How much a node takes from clients at a time: bytes of request bodies, and connections.

use std::sync::Arc;

use havenstage_http_server::{BodyMemory, Connections, max_descriptors};

use crate::settings::Settings;

/// Share of a node's memory that the bodies of callers' requests may hold, with what is decoded from them.
const BODY_MEMORY_SHARE: f64 = 0.25;
/// Share of a node's memory for the buffers of callers' connections.
const CONNECTION_MEMORY_SHARE: f64 = 0.125;
/// Memory of a connection whose client has sent most of a head.
const CONNECTION_BYTES: f64 = 24.0 * 1024.0;
/// Share of the descriptors for connections of callers. The others are for back ends, the log, peers and probes.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.5;
/// Share of the descriptors for connections of peers, and maximum number of these.
const PEER_DESCRIPTOR_SHARE: f64 = 0.125;
const MAX_PEER_CONNECTIONS: usize = 256;
/// Share of the descriptors for the connections of each listener for probes, and maximum number of these.
const PROBE_DESCRIPTOR_SHARE: f64 = 0.0625;
const MAX_PROBE_CONNECTIONS: usize = 64;

/// Bounds of what a node takes from clients.
pub struct Intake {
    /// Bodies of callers' requests.
    pub bodies: Arc<BodyMemory>,
    /// Connections of callers.
    pub callers: Arc<Connections>,
    /// Connections of peers.
    pub peers: Arc<Connections>,
    /// Connections of readiness probes.
    pub readiness: Arc<Connections>,
    /// Connections of readers of metrics.
    pub metrics: Arc<Connections>,
}

impl Intake {
    /// Derives the bounds from the memory and the descriptors of the process.
    pub fn new(settings: &Settings) -> Self {
        let memory_bytes = settings.memory_bytes() as f64;
        let descriptors = settings
            .max_descriptors
            .map_or_else(max_descriptors, |count| count as usize);
        let share_of_descriptors = |share: f64| (descriptors as f64 * share) as usize;
        let by_memory = memory_bytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES;
        let callers = share_of_descriptors(CALLER_DESCRIPTOR_SHARE).min(by_memory as usize);
        let peers = share_of_descriptors(PEER_DESCRIPTOR_SHARE).min(MAX_PEER_CONNECTIONS);
        let probes = share_of_descriptors(PROBE_DESCRIPTOR_SHARE).min(MAX_PROBE_CONNECTIONS);
        Self {
            bodies: BodyMemory::new((memory_bytes * BODY_MEMORY_SHARE) as usize),
            callers: Connections::new("callers", callers),
            peers: Connections::new("peers", peers),
            readiness: Connections::new("readiness", probes),
            metrics: Connections::new("metrics", probes),
        }
    }
}
