//! Checkpoints of the control stream. A checkpoint holds the state up to an offset, so that a node that starts
//! reads the checkpoint and the later records instead of all records in the log.
//!
//! A checkpoint holds no times of a node's clock. A node that loads it treats its content as read at that
//! moment.
//!
//! During a rolling upgrade, nodes of different releases read each other's checkpoints. New fields are appended
//! behind all others, where an older reader skips them. A newer reader takes the missing fields of an older
//! checkpoint as empty.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::batch_index::BatchNotice;
use crate::crash_ledger::{CrashCheckpoint, TrialCheckpoint};
use crate::ids::{BackendId, BatchId, MachineName, ModelName, NodeId, Version};
use crate::lease::Term;
use crate::peer_addresses::PeerAddress;
use crate::reachable_machines::ReachableAddresses;
use crate::sizing::OrderedSizes;
use crate::stored::{Stored, UnreadableValue};
use crate::usage::DecidedUsage;

/// Version of the current checkpoint format. It rises with each field that is added.
pub const FORMAT_VERSION: u8 = 8;
/// The oldest format that stores its version. Each later version has one more list at the end: the requests
/// during which back ends ended, the decided windows of usage, the ordered sizes, the addresses of nodes that run
/// batches, the addresses of other machines, the trials of suspected requests.
const OLDEST_VERSIONED_FORMAT: u8 = 2;
/// The encoding of an empty list: its length, 0.
const ENCODED_EMPTY_LIST: u8 = 0;
/// The first format, which does not store its version.
const UNVERSIONED_FORMAT: u8 = 1;

/// The state that the records of the control stream up to an offset define.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlCheckpoint {
    /// Offset of the first record that is not covered.
    pub next: u64,
    /// Machines that wrote a record that a node started there.
    pub machines: BTreeSet<MachineName>,
    /// Batches, in the order they were accepted.
    pub batches: Vec<BatchCheckpoint>,
    /// Current term of the order lease.
    pub term: Term,
    /// Holder of the order lease; `None` if it was released or never claimed.
    pub holder: Option<NodeId>,
    /// Pending orders: the model and the version to load.
    pub pending: BTreeMap<BackendId, (ModelName, Version)>,
    /// The last orders of each back end, oldest first.
    pub last_orders: Vec<OrderTime>,
    /// Lower bound of the time between the first record and this offset, in milliseconds.
    pub log_time: Millis,
    /// [`FORMAT_VERSION`] of the node that wrote the checkpoint. This field and all below are not in format 1.
    pub form: u8,
    /// Those of the last orders that no heartbeat of a lease holder follows yet.
    pub unsigned_orders: BTreeSet<(BackendId, MachineName)>,
    /// Newest version of each model that each back end was observed to serve.
    pub newest: BTreeMap<(BackendId, ModelName), Version>,
    /// Batches whose items a node has found in their partitions.
    pub found: BTreeSet<BatchId>,
    /// Requests during which back ends ended. Not in format 2.
    pub crashes: Vec<CrashCheckpoint>,
    /// Windows of usage that were decided. Not in format 3.
    pub usage: Vec<DecidedUsage>,
    /// Last ordered sizes of pools. Not in format 4.
    pub sizes: OrderedSizes,
    /// Addresses at which nodes that run batches accept requests of other nodes. Not in format 5.
    pub peers: Vec<PeerAddress>,
    /// Addresses at which some machines can be reached. Not in format 6.
    pub reachable: ReachableAddresses,
    /// Trials of suspected requests. Not in format 7.
    pub trials: Vec<TrialCheckpoint>,
}

/// Format 1, which is also the beginning of all later formats.
#[derive(Deserialize)]
struct UnversionedCheckpoint {
    next: u64,
    machines: BTreeSet<MachineName>,
    batches: Vec<BatchCheckpoint>,
    term: Term,
    holder: Option<NodeId>,
    pending: BTreeMap<BackendId, (ModelName, Version)>,
    last_orders: Vec<OrderTime>,
    log_time: Millis,
}

impl UnversionedCheckpoint {
    /// Decodes a checkpoint of format 1 with no bytes behind it, so that a truncated checkpoint of a later format
    /// is not mistaken for one of format 1.
    fn decode_exact(bytes: &[u8]) -> Option<Self> {
        let (checkpoint, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(checkpoint)
    }
}

impl From<UnversionedCheckpoint> for ControlCheckpoint {
    /// In format 1, the time of an order is that of the last heartbeat before it, which is too early. Such orders
    /// are read as orders without a heartbeat after them, so that a lease holder waits longer rather than
    /// shorter. Format 1 lacks the observed versions and found batches by which delayed duplicates are ignored.
    fn from(old: UnversionedCheckpoint) -> Self {
        let orders = old.last_orders.iter();
        let unsigned_orders = orders
            .map(|order| (order.backend.clone(), order.machine.clone()))
            .collect();
        Self {
            next: old.next,
            machines: old.machines,
            batches: old.batches,
            term: old.term,
            holder: old.holder,
            pending: old.pending,
            last_orders: old.last_orders,
            log_time: old.log_time,
            form: UNVERSIONED_FORMAT,
            unsigned_orders,
            newest: BTreeMap::new(),
            found: BTreeSet::new(),
            crashes: Vec::new(),
            usage: Vec::new(),
            sizes: OrderedSizes::new(),
            peers: Vec::new(),
            reachable: ReachableAddresses::new(),
            trials: Vec::new(),
        }
    }
}

/// A batch in a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchCheckpoint {
    /// The notice that was written when the batch was accepted.
    pub notice: BatchNotice,
    /// The node that last reported that it runs the batch; `None` if it has released the batch.
    pub owner: Option<NodeId>,
    /// Whether work is left for the batch.
    pub is_open: bool,
}

/// When a machine gave a back end its last order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderTime {
    /// The back end that got the order.
    pub backend: BackendId,
    /// The machine of the lease holder that gave it.
    pub machine: MachineName,
    /// [`ControlCheckpoint::log_time`] at the first heartbeat of a lease holder after the order, or at the last
    /// heartbeat before the checkpoint if there is none after the order; in milliseconds.
    pub log_time: Millis,
}

impl Stored for ControlCheckpoint {
    const DESCRIPTION: &'static str = "a checkpoint of the control stream";

    fn decode(bytes: &[u8]) -> Result<Self, UnreadableValue> {
        let current = postcard::from_bytes(bytes);
        current.or_else(|source| {
            let unversioned = || UnversionedCheckpoint::decode_exact(bytes).map(Self::from);
            let unreadable = || UnreadableValue::new(Self::DESCRIPTION, source);
            decode_older_version(bytes)
                .or_else(unversioned)
                .ok_or_else(unreadable)
        })
    }
}

/// Decodes an older format that stores its version. It is the current format without the last lists, so each
/// missing list is added as an empty one.
fn decode_older_version(bytes: &[u8]) -> Option<ControlCheckpoint> {
    (OLDEST_VERSIONED_FORMAT..FORMAT_VERSION)
        .rev()
        .find_map(|version| {
            let mut completed = bytes.to_vec();
            let missing = usize::from(FORMAT_VERSION - version);
            completed.extend(std::iter::repeat_n(ENCODED_EMPTY_LIST, missing));
            let checkpoint: ControlCheckpoint = postcard::from_bytes(&completed).ok()?;
            (checkpoint.form == version).then_some(checkpoint)
        })
}
