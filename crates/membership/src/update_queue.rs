//! Queue of members with updates to gossip, each a limited number of times.

use std::collections::{BTreeMap, BTreeSet};

use havenstage_types::ids::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Members with pending updates, and how often each update has been sent. The update itself is read
/// from the roster when it is sent, so a newer state replaces an older one.
#[derive(Debug, Clone)]
pub(crate) struct UpdateQueue {
    transmissions: BTreeMap<NodeId, u32>,
    /// The same members, the least often sent first.
    order: BTreeSet<OrderKey>,
    /// Differs between nodes, so that they send in different orders and together spread all updates
    /// at the same time.
    order_seed: u64,
}

/// Sort key of a member: how often its update was sent, and a hash that breaks ties.
type OrderKey = (u32, u64, NodeId);

impl UpdateQueue {
    /// Creates an empty queue.
    pub(crate) fn new(order_seed: u64) -> Self {
        Self {
            transmissions: BTreeMap::new(),
            order: BTreeSet::new(),
            order_seed,
        }
    }

    /// Adds an update about a member, to be sent the full number of times again.
    pub(crate) fn add(&mut self, member: NodeId) {
        self.remove(member);
        self.insert(member, 0);
    }

    /// Whether no update is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.transmissions.is_empty()
    }

    /// Members with pending updates, the least often sent first.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = NodeId> {
        self.order.iter().map(|(_, _, member)| *member)
    }

    /// Counts one more transmission of the update about a member, by this node or by another one;
    /// removes the update once it reaches `limit`.
    pub(crate) fn record_sent(&mut self, member: NodeId, limit: u32) {
        let Some(transmissions) = self.transmissions.get(&member).copied() else {
            return;
        };
        self.remove(member);
        if transmissions + 1 < limit {
            self.insert(member, transmissions + 1);
        }
    }

    /// Removes the pending update about a member.
    pub(crate) fn remove(&mut self, member: NodeId) {
        if let Some(transmissions) = self.transmissions.remove(&member) {
            self.order.remove(&self.order_key(member, transmissions));
        }
    }

    fn insert(&mut self, member: NodeId, transmissions: u32) {
        self.transmissions.insert(member, transmissions);
        self.order.insert(self.order_key(member, transmissions));
    }

    fn order_key(&self, member: NodeId, transmissions: u32) -> OrderKey {
        let shuffled = xxh3_64_with_seed(&member.0.to_le_bytes(), self.order_seed);
        (transmissions, shuffled, member)
    }
}
