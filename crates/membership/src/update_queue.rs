//! News about members waiting to be sent, each a bounded number of times.

use std::collections::BTreeMap;

use havenstage_types::ids::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Members with news, and how often that news has been sent. The news itself is read from the
/// roster when it is sent, so a newer state replaces an older one.
#[derive(Debug, Clone)]
pub(crate) struct UpdateQueue {
    transmissions: BTreeMap<NodeId, u32>,
    /// Makes each node send in another order, so that together they spread all news at once.
    order_seed: u64,
}

impl UpdateQueue {
    /// An empty queue.
    pub(crate) fn new(order_seed: u64) -> Self {
        Self {
            transmissions: BTreeMap::new(),
            order_seed,
        }
    }
    /// There is news about a member; it is sent the full number of times again.
    pub(crate) fn add(&mut self, member: NodeId) {
        self.transmissions.insert(member, 0);
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.transmissions.is_empty()
    }

    /// Members with news, the least often sent first.
    pub(crate) fn in_order(&self) -> Vec<NodeId> {
        let mut members: Vec<NodeId> = self.transmissions.keys().copied().collect();
        members.sort_by_cached_key(|member| {
            let shuffled = xxh3_64_with_seed(&member.0.to_le_bytes(), self.order_seed);
            (self.transmissions[member], shuffled)
        });
        members
    }

    /// The news about a member was sent once more, or was heard again from another member; it is dropped when that was the last time.
    pub(crate) fn sent(&mut self, member: NodeId, limit: u32) {
        let Some(transmissions) = self.transmissions.get_mut(&member) else {
            return;
        };
        *transmissions += 1;
        if *transmissions >= limit {
            self.transmissions.remove(&member);
        }
    }

    /// Drops the news about a member that is forgotten.
    pub(crate) fn remove(&mut self, member: NodeId) {
        self.transmissions.remove(&member);
    }
}
