//! Where some of the machines can be reached by others, for what cannot wait until the log takes it.
//!
//! The load that this answers: the log turns a part of the nodes away for seconds, and one of them dies with what it
//! alone knows. Only the machines whose names have the smallest hashes tell their addresses, as with
//! [`fleet_size`](crate::fleet_size): what is written and kept does not grow with the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::MachineName;

/// Most addresses that are kept; 32 take 1 KB in a checkpoint. They stand in all zones, so that some are left when a zone
/// is gone.
pub const MAX_ADDRESSES: usize = 32;

/// Whether all machines of a fleet may tell their addresses at once: each is kept, so none has to wait for those with
/// smaller hashes. Until a machine has told its own, nobody hears from others what it alone knows.
pub fn can_announce_at_once(fleet: usize) -> bool {
    fleet <= MAX_ADDRESSES
}

/// Addresses of machines as a checkpoint keeps them.
pub type ReachableAddresses = BTreeMap<MachineName, SocketAddr>;

/// Addresses that machines told.
#[derive(Debug, Clone, Default)]
pub struct ReachableMachines {
    addresses: ReachableAddresses,
}

fn hash(machine: &MachineName) -> u64 {
    xxh3_64(machine.as_str().as_bytes())
}

impl ReachableMachines {
    /// What a checkpoint kept.
    pub fn restored(addresses: ReachableAddresses) -> Self {
        let mut restored = Self::default();
        for (machine, address) in addresses {
            restored.record_address(machine, address);
        }
        restored
    }

    /// What a checkpoint keeps.
    pub fn checkpoint(&self) -> ReachableAddresses {
        self.addresses.clone()
    }

    /// A machine told its address; its newest one counts.
    pub fn record_address(&mut self, machine: MachineName, address: SocketAddr) {
        self.addresses.insert(machine, address);
        if self.addresses.len() > MAX_ADDRESSES
            && let Some(largest) = self.largest().cloned()
        {
            self.addresses.remove(&largest);
        }
    }

    /// Whether the others are to be told this address of a machine.
    pub fn is_wanted(&self, machine: &MachineName, address: SocketAddr) -> bool {
        match self.addresses.get(machine) {
            Some(known) => *known != address,
            None if self.addresses.len() < MAX_ADDRESSES => true,
            None => self
                .largest()
                .is_some_and(|largest| hash(machine) < hash(largest)),
        }
    }

    /// Up to `count` addresses of other machines than `own`. Which ones, the draw decides, so that a machine that is
    /// gone is not asked again and again. They lie far apart in the order of names, which often name the zone.
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

    fn largest(&self) -> Option<&MachineName> {
        self.addresses.keys().max_by_key(|machine| hash(machine))
    }
}
