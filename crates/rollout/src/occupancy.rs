//! Places that are taken on back ends, as the nodes that run batches tell each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::ids::{BackendId, NodeId};
use crate::stored::Stored;

/// A node's running items, by back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccupancyRecord {
    /// The node.
    pub node: NodeId,
    /// How many of its items run on each back end.
    pub running: BTreeMap<BackendId, u32>,
}

impl Stored for OccupancyRecord {
    const WHAT: &'static str = "a record of occupancy";
}

/// What each node last told.
#[derive(Debug, Default)]
pub struct Occupancy {
    nodes: BTreeMap<NodeId, Told>,
}

#[derive(Debug)]
struct Told {
    running: BTreeMap<BackendId, u32>,
    at: Millis,
}

impl Occupancy {
    /// Takes the next record, which replaces what its node told before.
    pub fn apply(&mut self, record: OccupancyRecord, now: Millis) {
        let told = Told {
            running: record.running,
            at: now,
        };
        self.nodes.insert(record.node, told);
    }

    /// Items that run on each back end, of nodes that told of theirs since `since` and that `counts`
    /// takes.
    pub fn running(
        &self,
        since: Millis,
        counts: impl Fn(&NodeId) -> bool,
    ) -> BTreeMap<BackendId, u32> {
        let mut running = BTreeMap::new();
        let recent = self.nodes.iter().filter(|(_, told)| told.at >= since);
        for (_, told) in recent.filter(|(node, _)| counts(node)) {
            for (backend, count) in &told.running {
                *running.entry(backend.clone()).or_default() += count;
            }
        }
        running
    }

    /// Forgets nodes that told nothing since `since`.
    pub fn forget_before(&mut self, since: Millis) {
        self.nodes.retain(|_, told| told.at >= since);
    }
}
