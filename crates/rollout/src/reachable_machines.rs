//! Addresses of a sample of the machines, to which nodes send what can't wait until the log accepts it.
//!
//! This covers the case that the log rejects the requests of some nodes for seconds, and one of these nodes crashes
//! before it could write what only it knows. Only the machines whose names have the smallest hashes announce their
//! addresses, as in [`fleet_size`](crate::fleet_size), so that the data written and kept doesn't grow with the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::MachineName;

/// Maximum number of addresses that are kept; 32 take 1 KB in a checkpoint. Hashing spreads them over all zones, so that
/// some remain when a zone fails.
pub const MAX_ADDRESSES: usize = 32;

/// Whether all machines of a fleet of this size may announce their addresses at once: each address is kept, so no
/// machine has to wait for those with smaller hashes. Early announcements matter: a node can pass on what only it knows
/// to no machine whose address is unknown.
pub fn can_announce_at_once(fleet: usize) -> bool {
    fleet <= MAX_ADDRESSES
}

/// Addresses of machines, as stored in a checkpoint.
pub type ReachableAddresses = BTreeMap<MachineName, SocketAddr>;

/// The announced addresses of the machines with the smallest hashes.
#[derive(Debug, Clone, Default)]
pub struct ReachableMachines {
    addresses: ReachableAddresses,
}

fn hash(machine: &MachineName) -> u64 {
    xxh3_64(machine.as_str().as_bytes())
}

impl ReachableMachines {
    /// Restores the addresses of a checkpoint.
    pub fn restored(addresses: ReachableAddresses) -> Self {
        let mut restored = Self::default();
        for (machine, address) in addresses {
            restored.record_address(machine, address);
        }
        restored
    }

    /// The addresses to store in a checkpoint.
    pub fn checkpoint(&self) -> ReachableAddresses {
        self.addresses.clone()
    }

    /// Records the address that a machine announced, which replaces its former one. If there are more than
    /// [`MAX_ADDRESSES`], the machine with the largest hash is removed.
    pub fn record_address(&mut self, machine: MachineName, address: SocketAddr) {
        self.addresses.insert(machine, address);
        if self.addresses.len() > MAX_ADDRESSES
            && let Some(largest) = self.machine_with_largest_hash().cloned()
        {
            self.addresses.remove(&largest);
        }
    }

    /// Whether the machine should announce this address: it would be kept, and is not known yet.
    pub fn is_wanted(&self, machine: &MachineName, address: SocketAddr) -> bool {
        match self.addresses.get(machine) {
            Some(known) => *known != address,
            None if self.addresses.len() < MAX_ADDRESSES => true,
            None => self
                .machine_with_largest_hash()
                .is_some_and(|largest| hash(machine) < hash(largest)),
        }
    }

    /// Up to `count` addresses of machines other than `own`, selected by the random number `draw`, so that a machine that
    /// is gone is not chosen each time. The selected machines are far apart in the order of names, as names often begin
    /// with the zone.
    pub fn sample_others(&self, own: &MachineName, count: usize, draw: u64) -> Vec<SocketAddr> {
        let others = self.addresses.iter().filter(|(machine, _)| *machine != own);
        let others: Vec<SocketAddr> = others.map(|(_, address)| *address).collect();
        let count = count.min(others.len());
        let at = |number: usize| {
            let first = draw % others.len() as u64;
            (first as usize + number * others.len() / count) % others.len()
        };
        (0..count).map(|number| others[at(number)]).collect()
    }

    /// All known addresses.
    pub fn addresses(&self) -> &ReachableAddresses {
        &self.addresses
    }

    fn machine_with_largest_hash(&self) -> Option<&MachineName> {
        self.addresses.keys().max_by_key(|machine| hash(machine))
    }
}
