//! A digest of the directory of back ends, for fleets that are too large for every node to read the directory itself.
//!
//! The entries of 10,000 back ends take about 4 MB. Read by each of 1,000 nodes that is 4 GB, and a log that serves
//! 80 MB per second needs 50 s for it, at each start of the fleet and each time that many back ends change. So a single
//! node, the holder of the order lease (which tells back ends which model versions to load), reads the directory and
//! writes to the log what the others need: the entries of as many back ends as the workload uses, in a tenth of the
//! bytes. The size of the digest grows with the workload and not with the directory.
//!
//! During a rolling upgrade, nodes of several versions of the program read the digest. Therefore new kinds of records
//! are added after the existing ones, and readers skip records that they cannot decode.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::backend::{BackendChange, BackendList, BackendRecord};
use crate::ids::{BackendName, ModelName, PoolName, Version};
use crate::lease::Term;
use crate::stored::Stored;

/// The entry of a back end in the encoding of the digest.
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

/// A change of one entry of the digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestChange {
    /// Name of the back end.
    pub name: BackendName,
    /// The new entry; `None` if the back end was removed from the digest.
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

/// A record of the log stream that holds the digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DigestRecord {
    /// Heartbeat of the lease holder. A holder that writes [`Began`](Self::Began) confirms the digest by
    /// [`Confirmed`](Self::Confirmed); one that doesn't confirms it by this record and by `Changed`.
    Kept {
        /// Fencing token of the holder's lease; records with a lower term are ignored from here on.
        term: Term,
    },
    /// Changes of entries, written by the lease holder.
    Changed {
        /// Fencing token of the holder's lease.
        term: Term,
        /// The changes, in the order in which readers apply them.
        changes: Vec<DigestChange>,
    },
    /// Request of some node for more entries of a pool: all back ends of the pool in the digest were busy.
    MoreWanted {
        /// Pool that needs more back ends in the digest.
        pool: PoolName,
    },
    /// First record of a lease holder that confirms the digest by [`Confirmed`](Self::Confirmed). It has not read the
    /// directory yet.
    Began {
        /// Fencing token of the holder's lease; records with a lower term are ignored from here on.
        term: Term,
    },
    /// The lease holder has just read the directory up to an offset, and the digest includes all changes before it.
    Confirmed {
        /// Fencing token of the holder's lease.
        term: Term,
        /// Offset of the first change of the directory that the digest may lack.
        directory_offset: u64,
    },
    /// The whole digest, written by a lease holder that has missed records of it and so doesn't know all entries that
    /// other nodes have.
    Replaced {
        /// Fencing token of the holder's lease.
        term: Term,
        /// All entries, as additions to an empty digest.
        entries: Vec<DigestChange>,
    },
}

impl Stored for DigestRecord {
    const DESCRIPTION: &'static str = "a record of the digest of back ends";
}

/// A checkpoint of the digest, up to an offset of its stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestCheckpoint {
    /// Offset of the first record that the checkpoint doesn't include.
    pub next: u64,
    /// Highest lease term that was read.
    pub term: Term,
    /// All entries of the digest, as additions to an empty one.
    pub entries: Vec<DigestChange>,
}

impl Stored for DigestCheckpoint {
    const DESCRIPTION: &'static str = "a checkpoint of the digest of back ends";
}

/// What a list of back ends must apply to equal the digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DigestUpdate {
    /// All back ends of the digest; others are to be removed.
    Whole(BTreeMap<BackendName, BackendRecord>),
    /// Changes since the last update.
    Changes(Vec<BackendChange>),
}

/// The state of the digest after the records that this node has read.
#[derive(Debug, Default)]
pub struct DigestState {
    term: Term,
    entries: BTreeMap<BackendName, DigestEntry>,
    /// Changes since the last call of [`Self::take_changes`] or [`Self::all`].
    changes: Vec<DigestChange>,
    /// Whether an update was taken to which `changes` can be applied.
    has_update_base: bool,
    /// Number of [`DigestRecord::MoreWanted`] records for each pool.
    wanted: BTreeMap<PoolName, u64>,
    /// Whether records were dropped from the log before they were read here, so that entries may be missing or outdated.
    is_incomplete: bool,
    /// Whether the holder of the current term confirms the digest by [`DigestRecord::Confirmed`].
    holder_confirms: bool,
    /// Offset of the first change of the directory that the entries may lack, if it is known.
    directory_offset: Option<u64>,
    /// When a record was last read by which the lease holder confirms the digest.
    confirmed_at: Option<Millis>,
}

impl DigestState {
    /// Restores the state from a checkpoint.
    pub fn restored(checkpoint: DigestCheckpoint) -> Self {
        let mut state = Self {
            term: checkpoint.term,
            ..Self::default()
        };
        for change in checkpoint.entries {
            state.apply_change(change);
        }
        state
    }

    /// Creates a checkpoint; `next` is the offset of the first record that was not applied.
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

    /// Applies the next record, read at `now`. Records of a term that is over are ignored: they hold the outdated view of
    /// a former lease holder.
    pub fn apply(&mut self, record: DigestRecord, now: Millis) {
        match record {
            DigestRecord::Kept { term } => self.apply_heartbeat(term, now),
            DigestRecord::Changed { term, changes } if term >= self.term => {
                self.apply_heartbeat(term, now);
                for change in changes {
                    self.apply_change(change);
                }
            }
            DigestRecord::Began { term } if term >= self.term => self.begin_term(term),
            DigestRecord::Confirmed {
                term,
                directory_offset,
            } if term >= self.term => {
                self.begin_term(term);
                self.directory_offset = Some(directory_offset);
                self.confirmed_at = Some(now);
            }
            DigestRecord::Replaced { term, entries } if term >= self.term => {
                self.begin_term(term);
                self.replace_entries(entries);
            }
            DigestRecord::Changed { .. }
            | DigestRecord::Began { .. }
            | DigestRecord::Confirmed { .. }
            | DigestRecord::Replaced { .. } => {}
            DigestRecord::MoreWanted { pool } => *self.wanted.entry(pool).or_default() += 1,
        }
    }

    /// Applies a term of a holder that confirms the digest by [`DigestRecord::Confirmed`].
    fn begin_term(&mut self, term: Term) {
        self.term = term;
        self.holder_confirms = true;
    }

    /// Applies a heartbeat. If a new term begins with it, its holder doesn't write how far it has read the directory.
    fn apply_heartbeat(&mut self, term: Term, now: Millis) {
        if term < self.term {
            return;
        }
        if term > self.term {
            self.term = term;
            self.holder_confirms = false;
            self.directory_offset = None;
        }
        if !self.holder_confirms {
            self.confirmed_at = Some(now);
        }
    }

    fn replace_entries(&mut self, entries: Vec<DigestChange>) {
        self.entries.clear();
        for change in entries {
            self.apply_change(change);
        }
        self.discard_changes();
        self.is_incomplete = false;
    }

    /// Records that records were dropped from the log before they were read.
    pub fn mark_incomplete(&mut self) {
        self.is_incomplete = true;
    }

    /// Whether the digest includes all records up to the last one that was read.
    pub fn is_complete(&self) -> bool {
        !self.is_incomplete
    }

    fn apply_change(&mut self, change: DigestChange) {
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

    /// When a record was last read by which a lease holder confirms that the digest is up to date; `None` if none was
    /// read since the start or restore.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Offset in the directory of the first change that the digest may lack; `None` if it is not known.
    pub fn directory_offset(&self) -> Option<u64> {
        self.directory_offset
    }

    /// For each pool, how many requests for more back ends were read ([`DigestRecord::MoreWanted`]).
    pub fn wanted(&self) -> &BTreeMap<PoolName, u64> {
        &self.wanted
    }

    /// All entries as back end records. They include the pending changes, which [`Self::take_changes`] then doesn't
    /// return any more.
    pub fn all(&mut self) -> BTreeMap<BackendName, BackendRecord> {
        self.changes.clear();
        let entries = self.entries.iter();
        entries
            .map(|(name, entry)| (name.clone(), BackendRecord::from(entry.clone())))
            .collect()
    }

    /// Takes the changes since the last call of this or of [`Self::all`].
    pub fn take_changes(&mut self) -> Vec<BackendChange> {
        let changes = std::mem::take(&mut self.changes);
        changes.into_iter().map(BackendChange::from).collect()
    }

    /// Takes what has changed since the last update, or the whole digest if no update was taken since the start, the
    /// restore from a checkpoint or [`Self::discard_changes`].
    pub fn take_update(&mut self) -> DigestUpdate {
        match std::mem::replace(&mut self.has_update_base, true) {
            true => DigestUpdate::Changes(self.take_changes()),
            false => DigestUpdate::Whole(self.all()),
        }
    }

    /// Discards the changes, as the list has followed another source meanwhile; the next update is the whole digest.
    pub fn discard_changes(&mut self) {
        self.changes.clear();
        self.has_update_base = false;
    }

    /// Number of entries in the digest.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the digest has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Computes the changes that bring a digest up to date with the directory: entries that changed or were removed, and
/// additional ones, in the order of their names, until each pool has `wanted(pool)` back ends that are not draining.
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
