//! How much a node takes from clients at a time: bytes of request bodies, and connections.

use std::sync::Arc;

use havenstage_http_server::{BodyMemory, Connections};

use crate::settings::Settings;

/// Share of a node's memory that the bodies of callers' requests may hold, with what is decoded from them.
const BODY_MEMORY_SHARE: f64 = 0.25;
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
    /// Derives the bounds from the memory of the process.
    pub fn new(settings: &Settings) -> Self {
        let memory_bytes = settings.memory_bytes() as f64;
        Self {
            bodies: BodyMemory::new((memory_bytes * BODY_MEMORY_SHARE) as usize),
            callers: Connections::new("callers", usize::MAX),
            peers: Connections::new("peers", usize::MAX),
            readiness: Connections::new("readiness", usize::MAX),
            metrics: Connections::new("metrics", usize::MAX),
        }
    }
}
