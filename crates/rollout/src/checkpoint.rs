//! What the control stream said up to an offset, so that a node that starts reads this and the rest
//! instead of all records that are kept.
//!
//! Times are left out: whoever takes a checkpoint up has seen its content at that moment, as if it had
//! read all records then.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::batch_index::BatchNotice;
use crate::ids::{BackendId, MachineName, ModelName, NodeId, Version};
use crate::lease::Term;
use crate::stored::Stored;

/// The fold of the control stream up to an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlCheckpoint {
    /// Offset of the first record that is not in it.
    pub next: u64,
    /// Machines on which a node ever started.
    pub machines: BTreeSet<MachineName>,
    /// Batches, in the order they were accepted.
    pub batches: Vec<BatchCheckpoint>,
    /// Term of the lease for orders.
    pub term: Term,
    /// Its holder, if there is one.
    pub holder: Option<NodeId>,
    /// Orders of which nothing was heard yet.
    pub pending: BTreeMap<BackendId, (ModelName, Version)>,
    /// The last orders of each back end, oldest first.
    pub last_orders: Vec<OrderTime>,
    /// Time that has certainly passed between the first record and this offset.
    pub log_time: Millis,
}

/// A batch in a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchCheckpoint {
    /// What was told when it was accepted.
    pub notice: BatchNotice,
    /// The node that last said that it runs the batch.
    pub owner: Option<NodeId>,
    /// Whether something is left to be done.
    pub is_open: bool,
}

/// When a machine gave a back end its last order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderTime {
    /// The back end.
    pub backend: BackendId,
    /// The machine.
    pub machine: MachineName,
    /// When, in time that certainly passed in the log.
    pub log_time: Millis,
}

impl Stored for ControlCheckpoint {
    const WHAT: &'static str = "a checkpoint of the control stream";
}
