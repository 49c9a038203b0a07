//! Places that are taken on back ends, as the nodes that run batches tell each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::ids::{BackendId, NodeId};
use crate::stored::{Stored, UnreadableValue};

/// A node's running items, by back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccupancyRecord {
    /// The node.
    pub node: NodeId,
    /// How many of its items run on each back end.
    pub running: BTreeMap<BackendId, u32>,
    /// What else it knows of back ends. Last, so that builds without it read what stands before.
    pub details: BTreeMap<BackendId, BackendDetail>,
}

/// What a node tells the others of a back end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendDetail {
    /// Tokens that the node's items there are expected to hold in memory when they end.
    pub expected_tokens: u32,
    /// Lasting time between two events of a stream there, in microseconds, if the node knows it.
    pub event_gap_us: Option<u32>,
}

/// The record as builds without details write it.
#[derive(Deserialize)]
struct PlainOccupancyRecord {
    node: NodeId,
    running: BTreeMap<BackendId, u32>,
}

impl Stored for OccupancyRecord {
    const DESCRIPTION: &'static str = "a record of occupancy";

    fn decode(bytes: &[u8]) -> Result<Self, UnreadableValue> {
        postcard::from_bytes(bytes)
            .or_else(|_| postcard::from_bytes(bytes).map(Self::without_details))
            .map_err(|source| UnreadableValue::new(Self::DESCRIPTION, source))
    }
}

impl OccupancyRecord {
    fn without_details(plain: PlainOccupancyRecord) -> Self {
        Self {
            node: plain.node,
            running: plain.running,
            details: BTreeMap::new(),
        }
    }
}

/// What each node last told.
#[derive(Debug, Default)]
pub struct Occupancy {
    nodes: BTreeMap<NodeId, Told>,
}

#[derive(Debug)]
struct Told {
    running: BTreeMap<BackendId, u32>,
    details: BTreeMap<BackendId, BackendDetail>,
    at: Millis,
}

impl Occupancy {
    /// Takes the next record, which replaces what its node told before.
    pub fn apply(&mut self, record: OccupancyRecord, now: Millis) {
        let told = Told {
            running: record.running,
            details: record.details,
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

    /// What nodes that told of it since `since`, and that `counts` takes, know of each back end.
    pub fn details(
        &self,
        since: Millis,
        counts: impl Fn(&NodeId) -> bool,
    ) -> impl Iterator<Item = (&BackendId, &BackendDetail)> {
        let recent = self.nodes.iter().filter(move |(_, told)| told.at >= since);
        recent
            .filter(move |(node, _)| counts(node))
            .flat_map(|(_, told)| &told.details)
    }

    /// Forgets nodes that told nothing since `since`.
    pub fn forget_before(&mut self, since: Millis) {
        self.nodes.retain(|_, told| told.at >= since);
    }
}
