//! Back ends as their own entries in the platform's list tell of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::{BackendId, ModelName, PoolName, Version};

/// What a back end says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRecord {
    /// Pool it belongs to.
    pub pool: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone it stands in.
    pub zone: String,
    /// Requests it works on at a time.
    pub slots: u32,
    /// Whether it leaves: it gets no new work.
    pub draining: bool,
    /// Versions of the models it holds.
    pub models: BTreeMap<ModelName, Version>,
}

/// A change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendChange {
    /// Whose entry changed.
    pub id: BackendId,
    /// The new entry, or `None` when it was removed.
    pub record: Option<BackendRecord>,
}

/// All back ends known.
#[derive(Debug, Default)]
pub struct BackendList {
    entries: BTreeMap<BackendId, BackendRecord>,
}

impl BackendList {
    /// Takes one change.
    pub fn apply(&mut self, change: BackendChange) {
        match change.record {
            Some(record) => self.entries.insert(change.id, record),
            None => self.entries.remove(&change.id),
        };
    }

    /// Replaces the whole list.
    pub fn replace(&mut self, entries: BTreeMap<BackendId, BackendRecord>) {
        self.entries = entries;
    }

    /// An entry.
    pub fn get(&self, id: &BackendId) -> Option<&BackendRecord> {
        self.entries.get(id)
    }

    /// Back ends of a pool that take new work, in the order of their ids.
    pub fn ready_in<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = (&'a BackendId, &'a BackendRecord)> {
        self.entries
            .iter()
            .filter(move |(_, record)| record.pool == *pool && !record.draining)
    }

    /// Whether another back end is listed at an address: the next life of the one that was there.
    pub fn is_taken_over(&self, address: SocketAddr, by_other_than: &BackendId) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|(id, record)| record.address == address && id != by_other_than)
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
