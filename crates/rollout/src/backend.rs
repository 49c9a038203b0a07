//! The list of back ends, built from the entries that they write about themselves into the platform's directory.
//!
//! An incarnation is one start of a back end's process. Processes that start one after the other under the same name
//! are different incarnations of one back end.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::Millis;
use crate::address_claims::AddressClaims;
use crate::ids::{BackendId, BackendName, ModelName, PoolName, Version, ZoneName};

/// The entry that a back end writes about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRecord {
    /// Pool whose requests the back end serves.
    pub pool: PoolName,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: String,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to stop, and is to get no new work.
    pub draining: bool,
    /// Milliseconds for which it stays cold, counted from when it wrote the entry; 0 if it is warm.
    pub cold_left_ms: Millis,
    /// Loaded version of each model.
    pub models: BTreeMap<ModelName, Version>,
    /// Start of its process in milliseconds since the Unix epoch; `None` if the back end doesn't report it.
    pub started_at: Option<u64>,
}

/// A change of one entry of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendChange {
    /// Name of the back end whose entry changed.
    pub name: BackendName,
    /// The new entry; `None` if it was removed.
    pub record: Option<BackendRecord>,
}

impl BackendChange {
    /// The incarnation that wrote the new entry; `None` if the entry was removed.
    pub fn incarnation(&self) -> Option<BackendId> {
        let record = self.record.as_ref()?;
        Some(BackendId::from_name_and_start(
            &self.name,
            record.started_at,
        ))
    }
}

/// Number of crashed incarnations that are remembered after the next one replaced them. A node that was suspended
/// asks about incarnations that ended some seconds ago.
const MAX_CRASHED_INCARNATIONS: usize = 64;

/// All known back ends, with the newest incarnation of each.
#[derive(Debug, Default)]
pub struct BackendList {
    entries: BTreeMap<BackendId, BackendRecord>,
    incarnations: BTreeMap<BackendName, BackendId>,
    /// Incarnations that were replaced by the next one without having been listed as draining.
    crashed: VecDeque<BackendId>,
    /// Zones that operators evacuate: their back ends get no new work.
    evacuated: BTreeSet<ZoneName>,
    /// Which back end listens at an address where several are listed.
    claims: AddressClaims,
}

impl BackendList {
    /// Applies a change, and returns whether an incarnation is no longer listed because of it. An entry of an earlier
    /// incarnation than the known one was written late and is ignored.
    pub fn apply(&mut self, change: BackendChange) -> bool {
        let incarnation = change.incarnation();
        let BackendChange { name, record } = change;
        let known = self.incarnations.get(&name).cloned();
        let (Some(incarnation), Some(record)) = (incarnation, record) else {
            return self.remove(&name);
        };
        let former = known.filter(|known| *known != incarnation);
        if let Some(former) = &former {
            if former.started_at() > incarnation.started_at() {
                return false;
            }
            self.remove_replaced(&name, former);
        }
        self.incarnations.insert(name, incarnation.clone());
        self.insert(incarnation, record);
        former.is_some()
    }

    fn insert(&mut self, id: BackendId, record: BackendRecord) {
        let address = record.address;
        let former = self.entries.insert(id.clone(), record);
        if let Some(former) = former.filter(|former| former.address != address) {
            self.claims.record_unlisted(&id, former.address);
        }
        self.claims.record_listed(&id, address);
    }

    fn remove(&mut self, name: &BackendName) -> bool {
        let Some(incarnation) = self.incarnations.remove(name) else {
            return false;
        };
        let Some(record) = self.entries.remove(&incarnation) else {
            return false;
        };
        self.claims.record_unlisted(&incarnation, record.address);
        true
    }

    /// Removes an incarnation that the next one replaces, and remembers it as crashed unless it was draining.
    fn remove_replaced(&mut self, name: &BackendName, former: &BackendId) {
        let was_draining = self.get(former).is_some_and(|record| record.draining);
        self.remove(name);
        if was_draining {
            return;
        }
        if self.crashed.len() == MAX_CRASHED_INCARNATIONS {
            self.crashed.pop_front();
        }
        self.crashed.push_back(former.clone());
    }

    /// Replaces the list by the entries of a full listing; back ends that are not among them are removed.
    pub fn replace(&mut self, entries: BTreeMap<BackendName, BackendRecord>) {
        let gone: Vec<BackendName> = self
            .incarnations
            .keys()
            .filter(|name| !entries.contains_key(*name))
            .cloned()
            .collect();
        for name in &gone {
            self.remove(name);
        }
        for (name, record) in entries {
            self.apply(BackendChange {
                name,
                record: Some(record),
            });
        }
    }

    /// Whether an incarnation is known to have crashed: the next one was listed under its name before it was listed as
    /// draining. Only the most recent ones are remembered.
    pub fn has_crashed(&self, id: &BackendId) -> bool {
        self.crashed.contains(id)
    }

    /// The entry of an incarnation; `None` if it is not listed, or not any more.
    pub fn get(&self, id: &BackendId) -> Option<&BackendRecord> {
        self.entries.get(id)
    }

    /// Back ends of a pool that take new work, in the order of their ids. Eligibility for work is decided only here, and
    /// by [`can_accept_requests`](Self::can_accept_requests) right before a request is sent.
    pub fn ready_in<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = (&'a BackendId, &'a BackendRecord)> {
        self.serving_in(pool)
            .filter(|(id, record)| self.may_get_work(id, record))
    }

    fn may_get_work(&self, id: &BackendId, record: &BackendRecord) -> bool {
        !self.is_evacuated(&record.zone) && self.claims.is_current(id, record.address)
    }

    /// Records that another back end turned a request for this one away, so that this one gets no work for a while.
    /// Returns whether that is news.
    pub fn record_replaced(&mut self, id: &BackendId, now: Millis) -> bool {
        self.entries.contains_key(id) && self.claims.record_replaced(id, now)
    }

    /// Makes back ends eligible again that were found to be replaced some time ago.
    pub fn expire_replaced(&mut self, now: Millis) {
        self.claims.expire(now);
    }

    /// Whether a back end is listed and taken to be the one that listens at its address.
    pub fn is_current(&self, id: &BackendId) -> bool {
        self.get(id)
            .is_some_and(|record| self.claims.is_current(id, record.address))
    }

    /// Listed back ends that have ended, as this one was listed at their address later. None if it is not the one that is
    /// taken to listen there.
    pub fn replaced_by<'a>(&'a self, id: &'a BackendId) -> impl Iterator<Item = &'a BackendId> {
        let current = self.get(id).filter(|_| self.is_current(id));
        let others = current.map(|record| self.claims.others_at(record.address, id));
        others.into_iter().flatten().filter(|other| {
            let record = self.get(other);
            record.is_some_and(|record| !record.draining)
        })
    }

    /// The newest incarnation that is listed under a name.
    pub fn incarnation(&self, name: &BackendName) -> Option<&BackendId> {
        self.incarnations.get(name)
    }

    /// Back ends of a pool that are not draining, including those of evacuated zones.
    pub fn serving_in<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = (&'a BackendId, &'a BackendRecord)> {
        self.entries
            .iter()
            .filter(move |(_, record)| record.pool == *pool && !record.draining)
    }

    /// Whether a request that was just assigned to a back end may still be sent to it: the back end is listed, no other
    /// one is taken to listen at its address, and its zone is not evacuated. A draining back end still accepts such a
    /// request.
    pub fn can_accept_requests(&self, id: &BackendId) -> bool {
        self.get(id)
            .is_some_and(|record| self.may_get_work(id, record))
    }

    fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Starts or ends the evacuation of a zone, and returns whether that changed its state.
    pub fn set_evacuated(&mut self, zone: &ZoneName, is_evacuated: bool) -> bool {
        if is_evacuated {
            self.evacuated.insert(zone.clone())
        } else {
            self.evacuated.remove(zone)
        }
    }

    /// Zones under evacuation, whose back ends get no new work.
    pub fn evacuated(&self) -> &BTreeSet<ZoneName> {
        &self.evacuated
    }

    /// The incarnation that replaced one that has crashed; `None` if `former` is not known to have crashed.
    pub fn next_incarnation(&self, former: &BackendId) -> Option<&BackendId> {
        let name = BackendName::from(former.name());
        let newest = self.incarnations.get(&name);
        newest.filter(|newest| self.has_crashed(former) && *newest != former)
    }

    /// The entry of the newest incarnation of a back end.
    pub fn by_name(&self, name: &BackendName) -> Option<&BackendRecord> {
        self.get(self.incarnations.get(name)?)
    }

    /// The entry of the newest incarnation of every back end, in the order of their names.
    pub fn all(&self) -> impl Iterator<Item = (&str, &BackendRecord)> {
        self.entries.iter().map(|(id, record)| (id.name(), record))
    }

    /// Back ends that run in a zone, in the order of their ids.
    pub fn in_zone<'a>(
        &'a self,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = (&'a BackendId, &'a BackendRecord)> {
        self.entries
            .iter()
            .filter(|(_, record)| record.zone == zone.as_str())
    }

    /// Whether a back end other than `former` is listed at an address: the incarnation that follows the one that used
    /// it before.
    pub fn is_address_reused(&self, address: SocketAddr, former: &BackendId) -> bool {
        self.claims.others_at(address, former).next().is_some()
    }

    /// Number of listed back ends.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no back end is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
