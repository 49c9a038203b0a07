//! What can be seen of node processes from outside.

use havenstage_types::ids::{NodeId, Revision};
use serde::{Deserialize, Serialize};

use super::operator::ConfigKey;
use crate::fingerprint::Fingerprint;

/// A node process started. A machine that starts again is a new node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStarted {
    /// Identity of this run of the process.
    pub node: NodeId,
    /// Machine it runs on.
    pub machine: String,
}

/// Something happened to a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEvent {
    /// The node.
    pub node: NodeId,
}

/// A node process ended by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeExited {
    /// The node.
    pub node: NodeId,
    /// Exit code; `None` after a signal.
    pub code: Option<i32>,
}

/// A resource was read at one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRead {
    /// The node that answered.
    pub node: NodeId,
    /// When the question was sent, on the recorder's clock; the event's time is that of the answer.
    pub asked_at_ms: u64,
    /// Resource asked for.
    pub key: ConfigKey,
    /// What the node answered.
    pub result: ReadResult,
}

/// What a node answered to a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadResult {
    /// The resource as the node has it.
    Found {
        /// Revision.
        revision: Revision,
        /// Fingerprint of the value.
        value: Fingerprint,
    },
    /// The node knows no such resource.
    Absent,
    /// The node refused because its configuration may be stale.
    RefusedStale,
}
