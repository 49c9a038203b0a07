//! Back ends as their own entries in the platform's list tell of them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::Millis;
use crate::ids::{BackendId, BackendName, ModelName, PoolName, Version, ZoneName};

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
    /// Time for which it is cold from when it wrote this, in milliseconds.
    pub cold_left_ms: Millis,
    /// Versions of the models it holds.
    pub models: BTreeMap<ModelName, Version>,
    /// When its process started, in milliseconds since the beginning of 1970, if it tells that.
    pub started_at: Option<u64>,
}

/// A change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendChange {
    /// Whose entry changed.
    pub name: BackendName,
    /// The new entry, or `None` when it was removed.
    pub record: Option<BackendRecord>,
}

impl BackendChange {
    /// The life that the new entry is of.
    pub fn incarnation(&self) -> Option<BackendId> {
        let record = self.record.as_ref()?;
        Some(BackendId::from_name_and_start(
            &self.name,
            record.started_at,
        ))
    }
}

/// Lives that are remembered after the next one took their place: a node that stood still looks back by
/// seconds.
const REMEMBERED_LIVES: usize = 64;

/// All back ends known.
#[derive(Debug, Default)]
pub struct BackendList {
    entries: BTreeMap<BackendId, BackendRecord>,
    lives: BTreeMap<BackendName, BackendId>,
    /// Lives that ended without a word of leaving: the next one is listed under their name.
    crashed: VecDeque<BackendId>,
    /// Zones that operators want emptied: their back ends get nothing new.
    evacuated: BTreeSet<ZoneName>,
}

impl BackendList {
    /// Takes one change; answers whether a life is not listed any more. An entry of an earlier life than the
    /// one known was written late and changes nothing.
    pub fn apply(&mut self, change: BackendChange) -> bool {
        let life = change.incarnation();
        let BackendChange { name, record } = change;
        let known = self.lives.get(&name).cloned();
        let (Some(life), Some(record)) = (life, record) else {
            return self.remove(&name);
        };
        let former = known.filter(|known| *known != life);
        if let Some(former) = &former {
            if former.started_at() > life.started_at() {
                return false;
            }
            self.next_life_took_place_of(&name, former);
        }
        self.lives.insert(name, life.clone());
        self.entries.insert(life, record);
        former.is_some()
    }

    fn remove(&mut self, name: &BackendName) -> bool {
        let life = self.lives.remove(name);
        life.is_some_and(|life| self.entries.remove(&life).is_some())
    }

    fn next_life_took_place_of(&mut self, name: &BackendName, former: &BackendId) {
        let has_left = self.get(former).is_some_and(|record| record.draining);
        self.remove(name);
        if has_left {
            return;
        }
        if self.crashed.len() == REMEMBERED_LIVES {
            self.crashed.pop_front();
        }
        self.crashed.push_back(former.clone());
    }

    /// Replaces the whole list.
    pub fn replace(&mut self, entries: BTreeMap<BackendName, BackendRecord>) {
        let gone: Vec<BackendName> = self
            .lives
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

    /// Whether a life ended without a word of leaving, as the next one is listed under its name.
    pub fn has_crashed(&self, id: &BackendId) -> bool {
        self.crashed.contains(id)
    }

    /// An entry.
    pub fn get(&self, id: &BackendId) -> Option<&BackendRecord> {
        self.entries.get(id)
    }

    /// Back ends of a pool that take new work, in the order of their ids. This, and
    /// [`can_accept_requests`](Self::can_accept_requests) right before a request is sent, are all that says who does.
    pub fn ready_in<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = (&'a BackendId, &'a BackendRecord)> {
        self.serving_in(pool)
            .filter(|(_, record)| !self.is_evacuated(&record.zone))
    }

    /// Back ends of a pool that do not leave, also those of evacuated zones.
    pub fn serving_in<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = (&'a BackendId, &'a BackendRecord)> {
        self.entries
            .iter()
            .filter(move |(_, record)| record.pool == *pool && !record.draining)
    }

    /// Whether a back end may be sent a request that was meant for it a moment ago.
    pub fn can_accept_requests(&self, id: &BackendId) -> bool {
        self.get(id)
            .is_some_and(|record| !self.is_evacuated(&record.zone))
    }

    fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Begins or ends the evacuation of a zone; answers whether that is new.
    pub fn set_evacuated(&mut self, zone: &ZoneName, is_evacuated: bool) -> bool {
        if is_evacuated {
            self.evacuated.insert(zone.clone())
        } else {
            self.evacuated.remove(zone)
        }
    }

    /// Zones that are evacuated.
    pub fn evacuated(&self) -> &BTreeSet<ZoneName> {
        &self.evacuated
    }

    /// The newest life of a back end.
    pub fn by_name(&self, name: &BackendName) -> Option<&BackendRecord> {
        self.get(self.lives.get(name)?)
    }

    /// The newest life of every back end, in the order of their names.
    pub fn all(&self) -> impl Iterator<Item = (&str, &BackendRecord)> {
        self.entries.iter().map(|(id, record)| (id.name(), record))
    }

    /// Back ends in a zone.
    pub fn in_zone<'a>(
        &'a self,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = (&'a BackendId, &'a BackendRecord)> {
        self.entries
            .iter()
            .filter(|(_, record)| record.zone == zone.as_str())
    }

    /// Whether another back end is listed at an address: the next life of the one that was there.
    pub fn is_address_reused(&self, address: SocketAddr, former: &BackendId) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|(id, record)| record.address == address && id != former)
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
