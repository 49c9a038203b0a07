//! One directory: a compacted log that keeps the newest entry of each name.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_gateway::edge::{DirectoryEntry, DirectoryPage, ListingPage, LogError};

use crate::entry_name::{is_removal, name_of};

/// Assumed size of an entry in a page of changes, in bytes: that of a back end with its models.
const ENTRY_BYTES: u32 = 400;

#[derive(Debug)]
struct KeptEntry {
    name: String,
    entry: DirectoryEntry,
    written_at: Instant,
}

/// Entries of one directory, by offset and by name.
#[derive(Debug, Default)]
pub(crate) struct EntryLog {
    /// Offset of the next entry.
    end: u64,
    /// Oldest offset from which changes can still be read; removals at earlier offsets were discarded.
    first_readable: u64,
    entries: BTreeMap<u64, KeptEntry>,
    offsets: BTreeMap<String, u64>,
}

impl EntryLog {
    /// Writes an entry, which replaces an older one of the same name, and returns its offset.
    pub(crate) fn write(&mut self, entry: DirectoryEntry, now: Instant) -> u64 {
        let offset = self.end;
        self.end += 1;
        let name = name_of(&entry);
        if let Some(previous_offset) = self.offsets.insert(name.clone(), offset) {
            self.entries.remove(&previous_offset);
        }
        let kept = KeptEntry {
            name,
            entry,
            written_at: now,
        };
        self.entries.insert(offset, kept);
        offset
    }

    /// Returns a page of entries without removals, ordered by name, that starts after the name `after`.
    pub(crate) fn list(&self, after: Option<&str>, max_entries: usize) -> ListingPage {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self
            .offsets
            .range::<str, _>((start, Bound::Unbounded))
            .filter_map(|(name, offset)| Some((name, &self.entries.get(offset)?.entry)))
            .filter(|(_, entry)| !is_removal(entry))
            .peekable();
        let mut entries = Vec::new();
        let mut last = None;
        while entries.len() < max_entries
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

    /// Returns the changes from an offset on: as many as fit into `max_bytes`, but at least one if there is one. Of a
    /// name that changed several times only the newest entry is included. Returns [`LogError::HistoryDropped`] if
    /// removals at or after `from` were discarded.
    pub(crate) fn changes(&self, from: u64, max_bytes: u32) -> Result<DirectoryPage, LogError> {
        if from < self.first_readable {
            return Err(LogError::HistoryDropped {
                first: self.first_readable,
            });
        }
        let max_entries = (max_bytes / ENTRY_BYTES).max(1) as usize;
        let mut rest = self.entries.range(from..);
        let entries: Vec<DirectoryEntry> = rest
            .by_ref()
            .take(max_entries)
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

    /// Discards removals that are older than the retention; otherwise one would remain for each name that was ever
    /// removed.
    pub(crate) fn discard_old_removals(&mut self, retention: Duration, now: Instant) {
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
            self.first_readable = self.first_readable.max(offset + 1);
        }
    }
}
