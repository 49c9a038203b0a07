//! Everything outside a node that it is given at its start.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use havenstage_edge::engine::EngineClient;
use havenstage_edge::log_service::LogService;
use havenstage_edge::machine_list::MachineList;
use havenstage_edge::peer::PeerNetwork;
use havenstage_edge::scorer::Scorer;
use havenstage_edge::weight_store::WeightStore;
use havenstage_types::clock::Moment;
use tokio::time::Instant;

use crate::spawner::TaskSpawner;

/// Services, network, clock and source of randomness of one node.
#[derive(Clone)]
pub struct Environment {
    /// The platform's log.
    pub log: Arc<dyn LogService>,
    /// Speaks to engines.
    pub engines: Arc<dyn EngineClient>,
    /// The platform's machine list.
    pub machines: Arc<dyn MachineList>,
    /// Scores samples.
    pub scorer: Arc<dyn Scorer>,
    /// The platform's weight store.
    pub weights: Arc<dyn WeightStore>,
    /// Sends to other nodes.
    pub peers: Arc<dyn PeerNetwork>,
    /// Spawns the node's tasks.
    pub spawner: TaskSpawner,
    /// Tells the time.
    pub clock: NodeClock,
    /// Seed of the node's random numbers.
    pub seed: u64,
}

/// A node's monotonic clock, counted from its start, and a wall clock for people.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    start: Instant,
    wall_clock_start_ms: u64,
}

impl NodeClock {
    /// A clock that starts now and reads the machine's wall clock once.
    pub fn system() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Self::with_wall_clock(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }

    /// A clock that starts now, at the given wall-clock time in milliseconds since 1970.
    pub fn with_wall_clock(wall_clock_start_ms: u64) -> Self {
        Self {
            start: Instant::now(),
            wall_clock_start_ms,
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Moment {
        let elapsed = self.start.elapsed().as_millis();
        Moment(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Milliseconds since 1970, for people only.
    pub fn wall_clock_ms(&self) -> u64 {
        self.wall_clock_start_ms.saturating_add(self.now().0)
    }
}
