//! Configuration changes and reads of a history.

use std::collections::{BTreeMap, BTreeSet};

use havenstage_types::ids::{ChangeId, NodeId, Revision};

use super::bounds::Bounds;
use super::index::{HistoryIndex, Seen};
use crate::event::EventBody;
use crate::event::node::{ConfigRead, ReadResult};
use crate::event::operator::{ChangeOutcome, ChangeProposed, ConfigKey};
use crate::fingerprint::Fingerprint;

/// All that was told about one change.
#[derive(Debug, Default)]
pub(super) struct Change<'h> {
    pub proposals: Vec<Seen<&'h ChangeProposed>>,
    pub answers: Vec<Seen<ChangeOutcome>>,
    pub in_force: Vec<Seen<Revision>>,
}

impl<'h> Change<'h> {
    /// The proposal, which all repeats equal.
    pub fn proposal(&self) -> Option<Seen<&'h ChangeProposed>> {
        self.proposals.first().copied()
    }

    /// Every revision under which the change was called accepted or in force.
    pub fn accepted(&self) -> impl Iterator<Item = Seen<Revision>> {
        let answered = self.answers.iter().filter_map(|answer| match answer.what {
            ChangeOutcome::Accepted(revision) => Some(Seen {
                index: answer.index,
                at_ms: answer.at_ms,
                what: revision,
            }),
            ChangeOutcome::Conflict | ChangeOutcome::Unknown => None,
        });
        answered.chain(self.in_force.iter().copied())
    }

    /// The answer "conflict", if it was given.
    pub fn conflict(&self) -> Option<&Seen<ChangeOutcome>> {
        self.answers
            .iter()
            .find(|answer| answer.what == ChangeOutcome::Conflict)
    }
}

/// A change that was accepted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Accepted<'h> {
    pub change: &'h ChangeId,
    pub proposal: Seen<&'h ChangeProposed>,
    pub revision: Revision,
    /// Event that told of the acceptance.
    pub event: usize,
    /// From when on every node that serves must have it.
    pub due_ms: u64,
}

/// Changes and reads, arranged for the checks.
#[derive(Debug)]
pub(super) struct ConfigIndex<'h> {
    pub changes: BTreeMap<&'h ChangeId, Change<'h>>,
    /// Accepted changes of each resource.
    pub accepted: BTreeMap<&'h ConfigKey, Vec<Accepted<'h>>>,
    /// Reads of each resource at each node, in the order in which they were answered.
    pub reads: BTreeMap<(NodeId, &'h ConfigKey), Vec<Seen<&'h ConfigRead>>>,
    deletable: BTreeSet<&'h ConfigKey>,
    proposers: BTreeMap<(&'h ConfigKey, Fingerprint), BTreeSet<&'h ChangeId>>,
}

impl<'h> ConfigIndex<'h> {
    /// Arranges the changes and reads of a history.
    pub fn new(history: &HistoryIndex<'h>, bounds: &Bounds) -> Self {
        let changes = collect_changes(history);
        let deletable = changes
            .values()
            .flat_map(|change| &change.proposals)
            .filter(|proposal| proposal.what.value.is_none())
            .map(|proposal| &proposal.what.key)
            .collect();
        Self {
            accepted: collect_accepted(&changes, bounds),
            proposers: collect_proposers(&changes),
            reads: collect_reads(history),
            changes,
            deletable,
        }
    }

    /// Whether somebody tried to delete the resource, so that its absence can be right.
    pub fn may_be_deleted(&self, key: &ConfigKey) -> bool {
        self.deletable.contains(key)
    }

    /// The change that proposed `value` for the resource, if exactly one did.
    pub fn only_proposer(
        &self,
        key: &ConfigKey,
        value: Fingerprint,
    ) -> Option<(&'h ChangeId, &Change<'h>)> {
        let proposers = self.proposers.get(&(key, value))?;
        let id = proposers.first().filter(|_| proposers.len() == 1)?;
        self.changes.get(id).map(|change| (*id, change))
    }

    /// The newest change of a resource that every serving node must have at `at_ms`.
    pub fn required_at(&self, key: &ConfigKey, at_ms: u64) -> Option<Accepted<'h>> {
        let accepted = self.accepted.get(key)?;
        accepted
            .iter()
            .filter(|accepted| accepted.due_ms < at_ms)
            .max_by_key(|accepted| accepted.revision)
            .copied()
    }
}

/// The revision a read found, or `None` if it found none.
pub(super) fn found_revision(read: &ConfigRead) -> Option<Revision> {
    match read.result {
        ReadResult::Found { revision, .. } => Some(revision),
        ReadResult::Absent | ReadResult::RefusedStale => None,
    }
}

fn collect_changes<'h>(history: &HistoryIndex<'h>) -> BTreeMap<&'h ChangeId, Change<'h>> {
    let mut changes: BTreeMap<&'h ChangeId, Change<'h>> = BTreeMap::new();
    for (index, event) in history.events.iter().enumerate() {
        let at_ms = event.at_ms;
        match &event.body {
            EventBody::ChangeProposed(proposed) => {
                let change = changes.entry(&proposed.change).or_default();
                change.proposals.push(Seen {
                    index,
                    at_ms,
                    what: proposed,
                });
            }
            EventBody::ChangeAnswered(answered) => {
                let change = changes.entry(&answered.change).or_default();
                let what = answered.outcome;
                change.answers.push(Seen { index, at_ms, what });
            }
            EventBody::ChangeInForce(in_force) => {
                let change = changes.entry(&in_force.change).or_default();
                let what = in_force.revision;
                change.in_force.push(Seen { index, at_ms, what });
            }
            _ => {}
        }
    }
    changes
}

fn collect_proposers<'h>(
    changes: &BTreeMap<&'h ChangeId, Change<'h>>,
) -> BTreeMap<(&'h ConfigKey, Fingerprint), BTreeSet<&'h ChangeId>> {
    let mut proposers: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for proposal in changes.values().flat_map(|change| &change.proposals) {
        if let Some(value) = proposal.what.value {
            let of_value = proposers.entry((&proposal.what.key, value)).or_default();
            of_value.insert(&proposal.what.change);
        }
    }
    proposers
}

fn collect_accepted<'h>(
    changes: &BTreeMap<&'h ChangeId, Change<'h>>,
    bounds: &Bounds,
) -> BTreeMap<&'h ConfigKey, Vec<Accepted<'h>>> {
    let mut by_key: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (id, change) in changes {
        let first = change.accepted().min_by_key(Seen::position);
        let (Some(proposal), Some(first)) = (change.proposal(), first) else {
            continue;
        };
        let bound_ms = first.at_ms.saturating_add(bounds.config_in_force_ms);
        let told_ms = change.in_force.iter().map(|told| told.at_ms).min();
        by_key
            .entry(&proposal.what.key)
            .or_default()
            .push(Accepted {
                change: id,
                proposal,
                revision: first.what,
                event: first.index,
                due_ms: told_ms.map_or(bound_ms, |told_ms| told_ms.min(bound_ms)),
            });
    }
    by_key
}

fn collect_reads<'h>(
    history: &HistoryIndex<'h>,
) -> BTreeMap<(NodeId, &'h ConfigKey), Vec<Seen<&'h ConfigRead>>> {
    let mut reads: BTreeMap<_, Vec<Seen<&ConfigRead>>> = BTreeMap::new();
    for (index, event) in history.events.iter().enumerate() {
        if let EventBody::ConfigRead(read) = &event.body {
            let at_ms = event.at_ms;
            let of_node = reads.entry((read.node, &read.key)).or_default();
            of_node.push(Seen {
                index,
                at_ms,
                what: read,
            });
        }
    }
    for of_node in reads.values_mut() {
        of_node.sort_by_key(Seen::position);
    }
    reads
}
