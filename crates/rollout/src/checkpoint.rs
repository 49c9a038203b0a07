//! What the control stream said up to an offset, so that a node that starts reads this and the rest
//! instead of all records that are kept.
//!
//! Times are left out: whoever takes a checkpoint up has seen its content at that moment, as if it had
//! read all records then.
//!
//! Nodes of several versions of the program read each other's checkpoints while a release goes on. New
//! fields stand behind all others, where an older reader passes them over; a checkpoint without them is
//! read as the first form.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::batch_index::BatchNotice;
use crate::crash_ledger::CrashCheckpoint;
use crate::ids::{BackendId, BatchId, MachineName, ModelName, NodeId, Version};
use crate::lease::Term;
use crate::peer_addresses::PeerAddress;
use crate::reachable_machines::ReachableAddresses;
use crate::sizing::OrderedSizes;
use crate::stored::{Stored, UnreadableValue};
use crate::usage::DecidedUsage;

/// Number of the present form of checkpoints; rises with each field that is added.
pub const FORMAT_VERSION: u8 = 7;
/// Number of the oldest form that names its number. Each one since has one more list at its end: the requests
/// under which back ends ended, the decided windows of usage, the ordered sizes, the addresses of nodes that run
/// batches, the addresses of other machines.
const SECOND_FORM: u8 = 2;
/// An empty list, as it is encoded.
const ENCODED_EMPTY_LIST: u8 = 0;
/// Number of the form that does not name its number.
const FIRST_FORM: u8 = 1;

/// The fold of the control stream up to an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlCheckpoint {
    /// Offset of the first record that is not in it.
    pub next: u64,
    /// Machines that announced that a node started there.
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
    /// [`FORMAT_VERSION`] of the node that wrote it. What stands from here on is not in the first form.
    pub form: u8,
    /// Those of the last orders behind which no sign of life stands yet.
    pub unsigned_orders: BTreeSet<(BackendId, MachineName)>,
    /// Newest version of each model that each back end was seen to have.
    pub newest: BTreeMap<(BackendId, ModelName), Version>,
    /// Batches that a node found in their partitions.
    pub found: BTreeSet<BatchId>,
    /// Requests under which back ends ended. Not in the second form.
    pub crashes: Vec<CrashCheckpoint>,
    /// Windows of usage that were decided. Not in the third form.
    pub usage: Vec<DecidedUsage>,
    /// Sizes of pools that were ordered. Not in the fourth form.
    pub sizes: OrderedSizes,
    /// Addresses at which nodes that run batches answer others. Not in the fifth form.
    pub peers: Vec<PeerAddress>,
    /// Where some machines can be reached. Not in the sixth form.
    pub reachable: ReachableAddresses,
}

/// The fold as it was kept first: what all forms begin with.
#[derive(Deserialize)]
struct FirstForm {
    next: u64,
    machines: BTreeSet<MachineName>,
    batches: Vec<BatchCheckpoint>,
    term: Term,
    holder: Option<NodeId>,
    pending: BTreeMap<BackendId, (ModelName, Version)>,
    last_orders: Vec<OrderTime>,
    log_time: Millis,
}

impl FirstForm {
    /// Reads a checkpoint that has this form and nothing behind it: a longer one that is cut off is not
    /// taken for it.
    fn read_whole(bytes: &[u8]) -> Option<Self> {
        let (form, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(form)
    }
}

impl From<FirstForm> for ControlCheckpoint {
    /// Its orders have times of the signs in front of them, which are too early. They are taken for
    /// orders without a sign behind them, so that a holder waits longer rather than less. What late copies
    /// may not change is not known from it.
    fn from(form: FirstForm) -> Self {
        let orders = form.last_orders.iter();
        let unsigned_orders = orders
            .map(|order| (order.backend.clone(), order.machine.clone()))
            .collect();
        Self {
            next: form.next,
            machines: form.machines,
            batches: form.batches,
            term: form.term,
            holder: form.holder,
            pending: form.pending,
            last_orders: form.last_orders,
            log_time: form.log_time,
            form: FIRST_FORM,
            unsigned_orders,
            newest: BTreeMap::new(),
            found: BTreeSet::new(),
            crashes: Vec::new(),
            usage: Vec::new(),
            sizes: OrderedSizes::new(),
            peers: Vec::new(),
            reachable: ReachableAddresses::new(),
        }
    }
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
    /// The first sign of life behind it, or the last one if there is none yet, in time that certainly
    /// passed in the log.
    pub log_time: Millis,
}

impl Stored for ControlCheckpoint {
    const DESCRIPTION: &'static str = "a checkpoint of the control stream";

    fn decode(bytes: &[u8]) -> Result<Self, UnreadableValue> {
        let whole = postcard::from_bytes(bytes);
        whole.or_else(|source| {
            let first_form = || FirstForm::read_whole(bytes).map(Self::from);
            let unreadable = || UnreadableValue::new(Self::DESCRIPTION, source);
            read_shorter_form(bytes)
                .or_else(first_form)
                .ok_or_else(unreadable)
        })
    }
}

/// Reads a form that names its number, which is the present one without its last lists.
fn read_shorter_form(bytes: &[u8]) -> Option<ControlCheckpoint> {
    (SECOND_FORM..FORMAT_VERSION).rev().find_map(|form| {
        let mut completed = bytes.to_vec();
        let missing = usize::from(FORMAT_VERSION - form);
        completed.extend(std::iter::repeat_n(ENCODED_EMPTY_LIST, missing));
        let checkpoint: ControlCheckpoint = postcard::from_bytes(&completed).ok()?;
        (checkpoint.form == form).then_some(checkpoint)
    })
}
