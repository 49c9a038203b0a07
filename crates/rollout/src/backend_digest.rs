//! A digest of the directory of back ends, for fleets whose nodes cannot all read the directory itself.
//!
//! The load that this answers: 1,000 nodes and 10,000 back ends, whose entries are some 4 MB. Read by every node they
//! are 4 GB, and a log that gives 80 MB a second takes 50 s for that, at each start of the fleet and each time that
//! many back ends change. So one node, the holder of the lease for orders, reads the directory and writes down what
//! the others need: the entries of as many back ends as the work takes, in a tenth of the bytes. The digest grows with
//! the work and not with the directory.
//!
//! Nodes of several versions of the program read it while a release goes on: new kinds of records stand behind the
//! others, and one that cannot be read is passed over.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::backend::{BackendChange, BackendList, BackendRecord};
use crate::ids::{BackendName, ModelName, PoolName, Version};
use crate::lease::Term;
use crate::stored::Stored;

/// An entry of a back end, as the digest has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    pool: PoolName,
    address: SocketAddr,
    zone: String,
    slots: u32,
    draining: bool,
    cold_left_ms: Millis,
    models: Vec<(ModelName, Version)>,
    started_at: Option<u64>,
}

impl From<&BackendRecord> for DigestEntry {
    fn from(record: &BackendRecord) -> Self {
        let models = record.models.iter();
        Self {
            pool: record.pool.clone(),
            address: record.address,
            zone: record.zone.clone(),
            slots: record.slots,
            draining: record.draining,
            cold_left_ms: record.cold_left_ms,
            models: models
                .map(|(model, version)| (model.clone(), *version))
                .collect(),
            started_at: record.started_at,
        }
    }
}

impl From<DigestEntry> for BackendRecord {
    fn from(entry: DigestEntry) -> Self {
        Self {
            pool: entry.pool,
            address: entry.address,
            zone: entry.zone,
            slots: entry.slots,
            draining: entry.draining,
            cold_left_ms: entry.cold_left_ms,
            models: entry.models.into_iter().collect(),
            started_at: entry.started_at,
        }
    }
}

/// A change of the digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestChange {
    /// Whose entry it is.
    pub name: BackendName,
    /// Its entry; `None` once it is not in the digest any more.
    pub entry: Option<DigestEntry>,
}

impl From<DigestChange> for BackendChange {
    fn from(change: DigestChange) -> Self {
        Self {
            name: change.name,
            record: change.entry.map(BackendRecord::from),
        }
    }
}

/// A record of the stream that holds the digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DigestRecord {
    /// The holder of a term keeps the digest up to date, and nothing has changed since its last record.
    Kept {
        /// The holder's term: records of earlier ones do not count any more.
        term: Term,
    },
    /// Entries changed.
    Changed {
        /// The holder's term.
        term: Term,
        /// What changed.
        changes: Vec<DigestChange>,
    },
    /// Some node found all back ends of a pool taken that the digest names.
    MoreWanted {
        /// The pool.
        pool: PoolName,
    },
}

impl Stored for DigestRecord {
    const DESCRIPTION: &'static str = "a record of the digest of back ends";
}

/// The digest up to an offset of its stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestCheckpoint {
    /// Offset of the first record that is not in it.
    pub next: u64,
    /// The newest term.
    pub term: Term,
    /// All entries.
    pub entries: Vec<DigestChange>,
}

impl Stored for DigestCheckpoint {
    const DESCRIPTION: &'static str = "a checkpoint of the digest of back ends";
}

/// The digest as far as it was read.
#[derive(Debug, Default)]
pub struct DigestState {
    term: Term,
    entries: BTreeMap<BackendName, DigestEntry>,
    /// Changes that were not taken yet.
    changes: Vec<DigestChange>,
    /// Pools of which more is wanted, and how often that was said.
    wanted: BTreeMap<PoolName, u64>,
    /// When a holder's record was last read.
    last_holder_record_at: Option<Millis>,
}

impl DigestState {
    /// The digest that a checkpoint tells of.
    pub fn restored(checkpoint: DigestCheckpoint) -> Self {
        let mut state = Self {
            term: checkpoint.term,
            ..Self::default()
        };
        for change in checkpoint.entries {
            state.take_change(change);
        }
        state
    }

    /// The digest up to `next`.
    pub fn checkpoint(&self, next: u64) -> DigestCheckpoint {
        let entries = self.entries.iter();
        DigestCheckpoint {
            next,
            term: self.term,
            entries: entries
                .map(|(name, entry)| DigestChange {
                    name: name.clone(),
                    entry: Some(entry.clone()),
                })
                .collect(),
        }
    }

    /// Takes the next record. One of a term that is over says what was true then.
    pub fn apply(&mut self, record: DigestRecord, now: Millis) {
        match record {
            DigestRecord::Kept { term } => self.note_term(term, now),
            DigestRecord::Changed { term, changes } if term >= self.term => {
                self.note_term(term, now);
                for change in changes {
                    self.take_change(change);
                }
            }
            DigestRecord::Changed { .. } => {}
            DigestRecord::MoreWanted { pool } => *self.wanted.entry(pool).or_default() += 1,
        }
    }

    fn note_term(&mut self, term: Term, now: Millis) {
        if term >= self.term {
            self.term = term;
            self.last_holder_record_at = Some(now);
        }
    }

    fn take_change(&mut self, change: DigestChange) {
        match &change.entry {
            Some(entry) => {
                self.entries.insert(change.name.clone(), entry.clone());
            }
            None => {
                self.entries.remove(&change.name);
            }
        }
        self.changes.push(change);
    }

    /// When a holder's record was last read.
    pub fn last_holder_record_at(&self) -> Option<Millis> {
        self.last_holder_record_at
    }

    /// How often more back ends of each pool were wanted.
    pub fn wanted(&self) -> &BTreeMap<PoolName, u64> {
        &self.wanted
    }

    /// All entries, as records of back ends; changes so far are in them.
    pub fn all(&mut self) -> BTreeMap<BackendName, BackendRecord> {
        self.changes.clear();
        let entries = self.entries.iter();
        entries
            .map(|(name, entry)| (name.clone(), BackendRecord::from(entry.clone())))
            .collect()
    }

    /// Changes since the last call.
    pub fn take_changes(&mut self) -> Vec<BackendChange> {
        let changes = std::mem::take(&mut self.changes);
        changes.into_iter().map(BackendChange::from).collect()
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Changes that bring a digest up to date with the directory: entries that changed or are gone, and new ones in the
/// order of their names until each pool has as many that take work as `wanted` says.
pub fn compute_changes(
    digest: &DigestState,
    directory: &BackendList,
    wanted: impl Fn(&PoolName) -> usize,
) -> Vec<DigestChange> {
    let mut changes = Vec::new();
    let mut ready: BTreeMap<&PoolName, usize> = BTreeMap::new();
    for (name, entry) in &digest.entries {
        let listed = directory.by_name(name);
        if let Some(record) = listed.filter(|record| !record.draining) {
            *ready.entry(&record.pool).or_default() += 1;
        }
        let listed = listed.map(DigestEntry::from);
        if listed.as_ref() != Some(entry) {
            changes.push(DigestChange {
                name: name.clone(),
                entry: listed,
            });
        }
    }
    let open = directory.all().filter(|(_, record)| !record.draining);
    for (name, record) in open {
        let count = ready.entry(&record.pool).or_default();
        if *count < wanted(&record.pool) && !digest.entries.contains_key(name) {
            *count += 1;
            changes.push(DigestChange {
                name: BackendName::from(name),
                entry: Some(DigestEntry::from(record)),
            });
        }
    }
    changes
}
