//! The entries a member has, after a base that the log has.

use std::collections::VecDeque;

use havenstage_types::ids::{EntryIndex, Term};
use havenstage_types::replica::{EntryPayload, SequenceEnd, SequencedEntry};

use crate::command::Command;

/// Rough bytes of an entry that carries no command.
const PLAIN_ENTRY_BYTES: usize = 16;

/// Entries with consecutive indexes.
#[derive(Debug, Clone)]
pub(crate) struct Sequence<C> {
    /// The entry right before the first one kept.
    base: SequenceEnd,
    entries: VecDeque<SequencedEntry<C>>,
    bytes: usize,
}

fn size_of<C: Command>(entry: &SequencedEntry<C>) -> usize {
    match &entry.payload {
        EntryPayload::Command(command) => PLAIN_ENTRY_BYTES + command.size_bytes(),
        _ => PLAIN_ENTRY_BYTES,
    }
}

impl<C: Command> Sequence<C> {
    /// No entries after the start.
    pub(crate) fn new() -> Self {
        Self {
            base: SequenceEnd {
                term: Term(0),
                index: EntryIndex(0),
            },
            entries: VecDeque::new(),
            bytes: 0,
        }
    }

    /// The entry right before the first one kept.
    pub(crate) fn base(&self) -> SequenceEnd {
        self.base
    }

    /// The last entry.
    pub(crate) fn end(&self) -> SequenceEnd {
        SequenceEnd {
            term: self.entries.back().map_or(self.base.term, |last| last.term),
            index: self.last_index(),
        }
    }

    /// Index of the last entry.
    pub(crate) fn last_index(&self) -> EntryIndex {
        EntryIndex(self.base.index.0 + self.entries.len() as u64)
    }

    /// Rough bytes of the entries kept.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Term of an entry; `None` when it is not kept and not the base.
    pub(crate) fn term_at(&self, index: EntryIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// An entry that is kept.
    pub(crate) fn get(&self, index: EntryIndex) -> Option<&SequencedEntry<C>> {
        let position = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Adds an entry at the end.
    pub(crate) fn push(&mut self, entry: SequencedEntry<C>) {
        self.bytes += size_of(&entry);
        self.entries.push_back(entry);
    }

    /// Drops every entry after `index`.
    pub(crate) fn truncate_after(&mut self, index: EntryIndex) {
        while self.last_index() > index {
            let Some(dropped) = self.entries.pop_back() else {
                return;
            };
            self.bytes -= size_of(&dropped);
        }
    }

    /// Drops everything and goes on after `base`.
    pub(crate) fn restart_after(&mut self, base: SequenceEnd) {
        self.base = base;
        self.entries.clear();
        self.bytes = 0;
    }

    /// Drops entries up to `through`, except the last `kept` of them.
    pub(crate) fn compact(&mut self, through: EntryIndex, kept: usize) {
        let kept = u64::try_from(kept).unwrap_or(u64::MAX);
        let drop_through = through.0.saturating_sub(kept);
        while self.base.index.0 < drop_through {
            let Some(dropped) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= size_of(&dropped);
            self.base = SequenceEnd {
                term: dropped.term,
                index: self.base.index.next(),
            };
        }
    }

    /// Entries from `first` to at most `last`, within the limits; at least one if there is one.
    pub(crate) fn slice(
        &self,
        first: EntryIndex,
        last: EntryIndex,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<SequencedEntry<C>> {
        let mut slice = Vec::new();
        let mut bytes = 0;
        let mut index = first;
        while index <= last && slice.len() < max_entries {
            let Some(entry) = self.get(index) else {
                break;
            };
            bytes += size_of(entry);
            if bytes > max_bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
            index = index.next();
        }
        slice
    }

    /// Whether an entry ends the group.
    pub(crate) fn is_sealed(&self) -> bool {
        let last = self.entries.iter().rev();
        last.take_while(|entry| !matches!(entry.payload, EntryPayload::Command(_)))
            .any(|entry| matches!(entry.payload, EntryPayload::Seal { .. }))
    }
}
