//! News about members waiting to be sent, each a bounded number of times.

use std::collections::{BTreeMap, BTreeSet};

use havenstage_types::ids::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Members with news, and how often that news has been sent. The news itself is read from the
/// roster when it is sent, so a newer state replaces an older one.
#[derive(Debug, Clone)]
pub(crate) struct UpdateQueue {
    transmissions: BTreeMap<NodeId, u32>,
    /// The same members, the least often sent first.
    order: BTreeSet<OrderKey>,
    /// Makes each node send in another order, so that together they spread all news at once.
    order_seed: u64,
}

/// Place of a member in the order: how often its news was sent, and a hash that decides ties.
type OrderKey = (u32, u64, NodeId);

impl UpdateQueue {
    /// An empty queue.
    pub(crate) fn new(order_seed: u64) -> Self {
        Self {
            transmissions: BTreeMap::new(),
            order: BTreeSet::new(),
            order_seed,
        }
    }

    /// There is news about a member; it is sent the full number of times again.
    pub(crate) fn add(&mut self, member: NodeId) {
        self.remove(member);
        self.insert(member, 0);
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.transmissions.is_empty()
    }

    /// Members with news, the least often sent first.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = NodeId> {
        self.order.iter().map(|(_, _, member)| *member)
    }

    /// The news about a member was sent once more, or was heard again from another member; it is
    /// dropped when that was the last time.
    pub(crate) fn sent(&mut self, member: NodeId, limit: u32) {
        let Some(transmissions) = self.transmissions.get(&member).copied() else {
            return;
        };
        self.remove(member);
        if transmissions + 1 < limit {
            self.insert(member, transmissions + 1);
        }
    }

    /// Drops the news about a member that is forgotten.
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
