//! The replica group in force in a claim stream, and how its entries reach the fold.
//!
//! Entries count in the order of their indexes, each once. A batch of another generation than the
//! one in force is ignored, and so is a batch that would leave a gap: whoever flushes reads the
//! stream back and sends again.

use havenstage_types::claim::ClaimCommand;
use havenstage_types::ids::{EntryIndex, LogOffset, Term};
use havenstage_types::replica::{
    EntryPayload, GroupMember, OutageStep, ReplicaGroup, SequencedEntry,
};
use serde::{Deserialize, Serialize};

use super::ClaimLedger;
use crate::error::FoldError;

/// A group and how far its entries have come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimGroup {
    /// Offset of the record that formed the group.
    pub generation: LogOffset,
    /// Its members.
    pub members: Vec<GroupMember>,
    /// Last entry applied, from the log or from the group.
    pub applied: EntryIndex,
    /// Last entry that the log has.
    pub logged: EntryIndex,
    /// Term of the last entry that the log has.
    pub logged_term: Term,
    /// The last step into or out of answering on a majority alone that the log has.
    pub outage_step: Option<OutageStep>,
    /// Whether somebody doubts the group and the log has got no entry of it since.
    pub is_doubted: bool,
}

impl ClaimGroup {
    fn new(generation: LogOffset, members: &[GroupMember]) -> Self {
        Self {
            generation,
            members: members.to_vec(),
            applied: EntryIndex::default(),
            logged: EntryIndex::default(),
            logged_term: Term::default(),
            outage_step: None,
            is_doubted: false,
        }
    }

    /// The group without its progress.
    pub fn description(&self) -> ReplicaGroup {
        ReplicaGroup {
            generation: self.generation,
            members: self.members.clone(),
        }
    }

    /// Moves past the entry if it is the next one to apply.
    pub(super) fn take_if_next(&mut self, index: EntryIndex) -> bool {
        let is_next = index == self.applied.next();
        if is_next {
            self.applied = index;
        }
        is_next
    }
}

impl ClaimLedger {
    /// A fold that is ahead of the log may not see its group replaced: what it took is lost.
    pub(super) fn check_not_ahead(&self, previous: Option<LogOffset>) -> Result<(), FoldError> {
        match &self.group {
            Some(group)
                if Some(group.generation) == previous
                    && group.is_doubted
                    && group.applied > group.logged =>
            {
                Err(FoldError::AheadOfLog {
                    generation: group.generation,
                    logged: group.logged,
                })
            }
            _ => Ok(()),
        }
    }

    /// Notes that a group is doubted.
    pub(super) fn doubt_group(&mut self, generation: LogOffset) {
        if let Some(group) = &mut self.group
            && group.generation == generation
        {
            group.is_doubted = true;
        }
    }

    /// Puts a group in force if the record names the one it replaces, and that one left a doubt
    /// unanswered. Replacing a group that has
    /// not sealed itself, and for which nobody vouches, may lose records.
    pub(super) fn form_group(
        &mut self,
        offset: LogOffset,
        previous: Option<LogOffset>,
        members: &[GroupMember],
        is_vouched: bool,
    ) {
        let in_force = self.group.as_ref().map(|group| group.generation);
        let may_replace = self.group.as_ref().is_none_or(|group| group.is_doubted);
        if in_force != previous || !may_replace {
            return;
        }
        let replaced = self.group.as_ref().map(ClaimGroup::description);
        if replaced.is_some_and(|group| group.is_full()) && !is_vouched {
            self.open_loss = Some(offset);
        }
        self.group = Some(ClaimGroup::new(offset, members));
    }

    /// Applies the entries of a batch that are new to the log, in order.
    pub(super) fn apply_batch(
        &mut self,
        offset: LogOffset,
        generation: LogOffset,
        first_index: EntryIndex,
        entries: &[SequencedEntry<ClaimCommand>],
    ) {
        let Some(group) = self.group.as_ref() else {
            return;
        };
        if group.generation != generation || first_index > group.logged.next() {
            return;
        }
        let known = (group.logged.next().0 - first_index.0) as usize;
        let mut index = group.logged;
        for entry in entries.iter().skip(known) {
            index = index.next();
            self.apply_entry(generation, index, entry);
            self.note_logged(index, entry);
            if let EntryPayload::Seal { successor } = &entry.payload {
                self.group = Some(ClaimGroup::new(offset, successor));
                return;
            }
        }
    }

    fn note_logged(&mut self, index: EntryIndex, entry: &SequencedEntry<ClaimCommand>) {
        let Some(group) = &mut self.group else {
            return;
        };
        group.is_doubted = false;
        group.logged = index;
        group.logged_term = entry.term;
        if let EntryPayload::Outage(step) = &entry.payload {
            group.outage_step = Some(*step);
        }
    }
}
