//! How many slots of back ends are occupied, as the nodes that run batches report to each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::ids::{BackendId, NodeId};
use crate::stored::{Stored, UnreadableValue};

/// Report of a node on its running items, by back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccupancyRecord {
    /// The node that reports.
    pub node: NodeId,
    /// Number of its items that run on each back end.
    pub running: BTreeMap<BackendId, u32>,
    /// Further data on back ends. This is the last field, so that builds without it can decode the fields before it.
    pub details: BTreeMap<BackendId, BackendDetail>,
}

/// Data on a back end that a node reports besides its running items.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendDetail {
    /// Number of tokens that the node's items there are expected to hold in memory when they end.
    pub expected_tokens: u32,
    /// Typical time between two events of a stream there, in microseconds; `None` if the node does not know it.
    pub event_gap_us: Option<u32>,
}

/// The record as builds without `details` write it.
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

/// The latest report of each node.
#[derive(Debug, Default)]
pub struct Occupancy {
    nodes: BTreeMap<NodeId, NodeReport>,
}

#[derive(Debug)]
struct NodeReport {
    running: BTreeMap<BackendId, u32>,
    details: BTreeMap<BackendId, BackendDetail>,
    received_at: Millis,
}

impl Occupancy {
    /// Applies a record that arrives at `now`; it replaces the earlier report of its node.
    pub fn apply(&mut self, record: OccupancyRecord, now: Millis) {
        let report = NodeReport {
            running: record.running,
            details: record.details,
            received_at: now,
        };
        self.nodes.insert(record.node, report);
    }

    /// Number of items that run on each back end, summed over the nodes that reported at or after `since` and that
    /// `includes` accepts.
    pub fn running(
        &self,
        since: Millis,
        includes: impl Fn(&NodeId) -> bool,
    ) -> BTreeMap<BackendId, u32> {
        let mut running = BTreeMap::new();
        let recent = self
            .nodes
            .iter()
            .filter(|(_, report)| report.received_at >= since);
        for (_, report) in recent.filter(|(node, _)| includes(node)) {
            for (backend, count) in &report.running {
                *running.entry(backend.clone()).or_default() += count;
            }
        }
        running
    }

    /// The details on back ends from the nodes that reported at or after `since` and that `includes` accepts. A back end
    /// occurs once for each such node.
    pub fn details(
        &self,
        since: Millis,
        includes: impl Fn(&NodeId) -> bool,
    ) -> impl Iterator<Item = (&BackendId, &BackendDetail)> {
        let recent = self
            .nodes
            .iter()
            .filter(move |(_, report)| report.received_at >= since);
        recent
            .filter(move |(node, _)| includes(node))
            .flat_map(|(_, report)| &report.details)
    }

    /// Forgets nodes that did not report at or after `since`.
    pub fn forget_before(&mut self, since: Millis) {
        self.nodes.retain(|_, report| report.received_at >= since);
    }
}
