//! KV memory in blocks, with a prefix cache. A block in use is private to one sequence or shared by
//! prefix hash; a shared block without users stays cached until its space is needed, the one
//! unused for longest going first.

use std::collections::BTreeMap;

use crate::cache_events::CacheChange;
use crate::settings::KvSettings;

/// Blocks a sequence holds: a shared prefix, then private ones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct KvLease {
    shared: Vec<u64>,
    private: u64,
}

impl KvLease {
    fn blocks(&self) -> u64 {
        self.shared.len() as u64 + self.private
    }

    /// Prefix hashes of the blocks that are shared.
    pub(crate) fn shared_hashes(&self) -> &[u64] {
        &self.shared
    }

    /// Number of blocks that are shared by prefix hash.
    pub(crate) fn shared_blocks(&self) -> usize {
        self.shared.len()
    }
}

#[derive(Debug, Clone, Copy)]
struct SharedBlock {
    users: u32,
    /// Key in `idle` while there are no users.
    idle_key: u64,
}

/// The memory of one engine.
#[derive(Debug)]
pub(crate) struct KvMemory {
    block_tokens: u64,
    capacity_blocks: u64,
    private_blocks: u64,
    shared: BTreeMap<u64, SharedBlock>,
    /// Hashes of shared blocks without users, the one unused for longest first.
    idle: BTreeMap<u64, u64>,
    next_idle_key: u64,
    changes: Vec<CacheChange>,
}

impl KvMemory {
    pub(crate) fn new(settings: &KvSettings) -> Self {
        let block_tokens = u64::from(settings.block_tokens);
        Self {
            block_tokens,
            capacity_blocks: settings.capacity_tokens / block_tokens,
            private_blocks: 0,
            shared: BTreeMap::new(),
            idle: BTreeMap::new(),
            next_idle_key: 0,
            changes: Vec::new(),
        }
    }

    /// Tokens of one block.
    pub(crate) fn block_tokens(&self) -> usize {
        self.block_tokens as usize
    }

    /// Tokens all blocks hold together.
    pub(crate) fn capacity_tokens(&self) -> u64 {
        self.capacity_blocks * self.block_tokens
    }

    /// Tokens of the blocks that sequences hold.
    pub(crate) fn used_tokens(&self) -> u64 {
        let in_use = self.shared.len() - self.idle.len();
        (self.private_blocks + in_use as u64) * self.block_tokens
    }

    /// Tokens of all occupied blocks, those only kept as cache included.
    pub(crate) fn occupied_tokens(&self) -> u64 {
        self.occupied_blocks() * self.block_tokens
    }

    fn occupied_blocks(&self) -> u64 {
        self.private_blocks + self.shared.len() as u64
    }

    /// Leases the longest cached prefix of a chain of block hashes.
    pub(crate) fn lease_prefix(&mut self, chain: &[u64]) -> KvLease {
        let mut lease = KvLease::default();
        for hash in chain {
            if !self.shared.contains_key(hash) {
                break;
            }
            self.add_user(*hash);
            lease.shared.push(*hash);
        }
        lease
    }

    /// Extends a lease to hold `tokens`; on failure it stays as it was.
    pub(crate) fn extend(&mut self, lease: &mut KvLease, tokens: u64) -> bool {
        let missing = tokens
            .div_ceil(self.block_tokens)
            .saturating_sub(lease.blocks());
        let free = self.capacity_blocks - self.occupied_blocks();
        let to_evict = missing.saturating_sub(free);
        if to_evict > self.idle.len() as u64 {
            return false;
        }
        for _ in 0..to_evict {
            self.evict_one();
        }
        self.private_blocks += missing;
        lease.private += missing;
        true
    }

    /// Shares the lease's next private block under its prefix hash. When another sequence has
    /// computed the same block meanwhile, the copy is freed.
    pub(crate) fn share_next(&mut self, lease: &mut KvLease, hash: u64) {
        debug_assert!(lease.private > 0, "only a block that is held can be shared");
        lease.private -= 1;
        self.private_blocks -= 1;
        lease.shared.push(hash);
        if self.shared.contains_key(&hash) {
            self.add_user(hash);
            return;
        }
        let block = SharedBlock {
            users: 1,
            idle_key: 0,
        };
        self.shared.insert(hash, block);
        self.changes.push(CacheChange::Stored(hash));
    }

    /// Caches a block that nobody uses yet, if there is space without evicting another.
    pub(crate) fn store_idle(&mut self, hash: u64) {
        if self.shared.contains_key(&hash) || self.occupied_blocks() >= self.capacity_blocks {
            return;
        }
        let block = SharedBlock {
            users: 0,
            idle_key: 0,
        };
        self.shared.insert(hash, block);
        self.make_idle(hash);
        self.changes.push(CacheChange::Stored(hash));
    }

    /// Gives back a lease. Of a prefix, the end becomes evictable before the beginning.
    pub(crate) fn release(&mut self, lease: KvLease) {
        self.private_blocks -= lease.private;
        for hash in lease.shared.into_iter().rev() {
            let Some(block) = self.shared.get_mut(&hash) else {
                continue;
            };
            block.users -= 1;
            if block.users == 0 {
                self.make_idle(hash);
            }
        }
    }

    /// Cache changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    fn add_user(&mut self, hash: u64) {
        if let Some(block) = self.shared.get_mut(&hash) {
            if block.users == 0 {
                self.idle.remove(&block.idle_key);
            }
            block.users += 1;
        }
    }

    fn make_idle(&mut self, hash: u64) {
        let key = self.next_idle_key;
        self.next_idle_key += 1;
        self.idle.insert(key, hash);
        if let Some(block) = self.shared.get_mut(&hash) {
            block.idle_key = key;
        }
    }

    fn evict_one(&mut self) {
        if let Some((_, hash)) = self.idle.pop_first() {
            self.shared.remove(&hash);
            self.changes.push(CacheChange::Evicted(hash));
        }
    }
}
