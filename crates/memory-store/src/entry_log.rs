//! One directory: a log of entries of which the newest of each name is kept.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_gateway::edge::{DirectoryEntry, DirectoryPage, ListingPage, LogError};

use crate::entry_name::{is_removal, name_of};

/// What an entry counts for in a page of changes, in bytes: one of a back end with its models.
const ENTRY_BYTES: u32 = 400;

#[derive(Debug)]
struct KeptEntry {
    name: String,
    entry: DirectoryEntry,
    written_at: Instant,
}

/// A directory.
#[derive(Debug, Default)]
pub(crate) struct EntryLog {
    /// Offset of the next entry.
    end: u64,
    /// Changes before this offset cannot be told any more, as removals among them were forgotten.
    first: u64,
    entries: BTreeMap<u64, KeptEntry>,
    offsets: BTreeMap<String, u64>,
}

impl EntryLog {
    /// Writes an entry in place of the one of its name; answers its offset.
    pub(crate) fn write(&mut self, entry: DirectoryEntry, now: Instant) -> u64 {
        let offset = self.end;
        self.end += 1;
        let name = name_of(&entry);
        if let Some(former) = self.offsets.insert(name.clone(), offset) {
            self.entries.remove(&former);
        }
        let kept = KeptEntry {
            name,
            entry,
            written_at: now,
        };
        self.entries.insert(offset, kept);
        offset
    }

    /// A page of the entries in the order of their names, from behind a name on.
    pub(crate) fn list(&self, after: Option<&str>, most_entries: usize) -> ListingPage {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self
            .offsets
            .range::<str, _>((start, Bound::Unbounded))
            .filter_map(|(name, offset)| Some((name, &self.entries.get(offset)?.entry)))
            .filter(|(_, entry)| !is_removal(entry))
            .peekable();
        let mut entries = Vec::new();
        let mut last = None;
        while entries.len() < most_entries
            && let Some((name, entry)) = rest.next()
        {
            entries.push(entry.clone());
            last = Some(name.clone());
        }
        ListingPage {
            entries,
            end: self.end,
            more: last.filter(|_| rest.peek().is_some()),
        }
    }

    /// Changes from an offset on, up to so many bytes and at least one if there is one. Of a name that
    /// changed several times only the newest entry is told.
    pub(crate) fn changes(&self, from: u64, most_bytes: u32) -> Result<DirectoryPage, LogError> {
        if from < self.first {
            return Err(LogError::HistoryDropped { first: self.first });
        }
        let most_entries = (most_bytes / ENTRY_BYTES).max(1) as usize;
        let mut rest = self.entries.range(from..);
        let entries: Vec<DirectoryEntry> = rest
            .by_ref()
            .take(most_entries)
            .map(|(_, kept)| kept.entry.clone())
            .collect();
        let next_unread = rest.next().map(|(offset, _)| *offset);
        let remaining = rest.count() + usize::from(next_unread.is_some());
        Ok(DirectoryPage {
            entries,
            next: next_unread.unwrap_or(self.end.max(from)),
            remaining: remaining as u64,
        })
    }

    /// Forgets the removals that are older than the retention, which else would stay for each name that
    /// ever was.
    pub(crate) fn forget_removals(&mut self, retention: Duration, now: Instant) {
        let Some(oldest) = now.checked_sub(retention) else {
            return;
        };
        let is_old = |kept: &KeptEntry| is_removal(&kept.entry) && kept.written_at < oldest;
        let old: Vec<u64> = self
            .entries
            .iter()
            .filter(|(_, kept)| is_old(kept))
            .map(|(offset, _)| *offset)
            .collect();
        for offset in old {
            if let Some(kept) = self.entries.remove(&offset) {
                self.offsets.remove(&kept.name);
            }
            self.first = self.first.max(offset + 1);
        }
    }
}
