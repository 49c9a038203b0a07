//! Promise 9: an accepted configuration is in force everywhere within the bound and never reverts.
//!
//! A change is due at every node that serves from the moment an operator was told that it is in
//! force, or from the bound after its acceptance. A node may refuse a read because its view may
//! be stale; it may never answer with an older revision than one that is due. A read is judged by
//! when it was asked, so that answers under way do no harm.

use std::collections::BTreeMap;

use havenstage_types::ids::{ChangeId, NodeId, Revision};
use thiserror::Error;

use super::bounds::Bounds;
use super::config_index::{Change, ConfigIndex, found_revision};
use super::index::{HistoryIndex, Seen};
use super::outcome::PromiseReport;
use crate::event::engine::ExecutionId;
use crate::event::node::{ConfigRead, ReadResult};
use crate::event::operator::ConfigKey;

/// How the promise about configuration was broken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigBroken {
    /// Two changes were accepted against one revision.
    #[error("changes {first} and {second} of {key} were both accepted against the same revision")]
    SameBase {
        /// The resource.
        key: ConfigKey,
        /// One change.
        first: ChangeId,
        /// The other.
        second: ChangeId,
    },
    /// Two changes were given one revision.
    #[error("changes {first} and {second} were both accepted as revision {revision}")]
    SameRevision {
        /// The revision.
        revision: Revision,
        /// One change.
        first: ChangeId,
        /// The other.
        second: ChangeId,
    },
    /// A change was accepted with a revision that is not newer than the one it was made against.
    #[error("change {change} was accepted as revision {revision}, which is not after its base")]
    RevisionNotNewer {
        /// The change.
        change: ChangeId,
        /// Its revision.
        revision: Revision,
    },
    /// A change was called accepted and refused, or accepted under two revisions.
    #[error("contradictory answers were given about change {0}")]
    ContradictoryAnswers(ChangeId),
    /// A change that was refused as a conflict took effect.
    #[error("change {change} was refused as a conflict, yet node {node} has its value")]
    ConflictInForce {
        /// The change.
        change: ChangeId,
        /// The node.
        node: NodeId,
    },
    /// A node has another value than the one accepted under that revision.
    #[error("node {node} has another value of {key} than the one accepted as revision {revision}")]
    WrongValue {
        /// The node.
        node: NodeId,
        /// The resource.
        key: ConfigKey,
        /// The revision.
        revision: Revision,
    },
    /// A node answered with an older state than one that was due.
    #[error("node {node} answered {key} at {found:?}, but revision {due} was due")]
    NotInForce {
        /// The node.
        node: NodeId,
        /// The resource.
        key: ConfigKey,
        /// What it answered; `None` when it knew no such resource.
        found: Option<Revision>,
        /// Revision that was due.
        due: Revision,
    },
    /// A node went back to an older state.
    #[error("node {node} went back from revision {from} of {key} to {to:?}")]
    Reverted {
        /// The node.
        node: NodeId,
        /// The resource.
        key: ConfigKey,
        /// Newest revision it had answered with before.
        from: Revision,
        /// What it answered later; `None` when it knew no such resource.
        to: Option<Revision>,
    },
    /// A node gave work to an engine although it lacked a change that was due.
    #[error("node {node} started execution {execution} without revision {due} of {key}")]
    ServedWithout {
        /// The node.
        node: NodeId,
        /// The execution.
        execution: ExecutionId,
        /// The resource.
        key: ConfigKey,
        /// Revision that was due.
        due: Revision,
    },
}

/// Judges the promise.
pub(super) fn judge(history: &HistoryIndex<'_>, bounds: &Bounds) -> PromiseReport {
    let config = ConfigIndex::new(history, bounds);
    let mut report = PromiseReport::default();
    for (id, change) in &config.changes {
        judge_answers(id, change, &mut report);
    }
    judge_accepted(&config, &mut report);
    for ((node, key), reads) in &config.reads {
        judge_never_back(&config, *node, key, reads, &mut report);
        for read in reads {
            judge_read(&config, *read, &mut report);
            judge_work(history, &config, *read, &mut report);
        }
    }
    report
}

fn judge_answers(id: &ChangeId, change: &Change<'_>, report: &mut PromiseReport) {
    let accepted: Vec<_> = change.accepted().collect();
    let Some(first) = accepted.first() else {
        return;
    };
    report.fact();
    let other = accepted.iter().find(|told| told.what != first.what);
    let other = other.map(|told| told.index);
    let conflict = change.conflict().map(|told| told.index);
    if let Some(other) = other.or(conflict) {
        let reason = ConfigBroken::ContradictoryAnswers(id.clone());
        report.broken(reason, &[first.index, other]);
    }
}

fn judge_accepted(config: &ConfigIndex<'_>, report: &mut PromiseReport) {
    let mut by_revision = BTreeMap::new();
    let mut by_base = BTreeMap::new();
    for accepted in config.accepted.values().flatten() {
        let proposal = accepted.proposal;
        let key = &proposal.what.key;
        let base = proposal.what.base;
        if base.is_some_and(|base| base >= accepted.revision) {
            let reason = ConfigBroken::RevisionNotNewer {
                change: accepted.change.clone(),
                revision: accepted.revision,
            };
            report.broken(reason, &[proposal.index, accepted.event]);
        }
        if let Some(first) = by_revision.insert(accepted.revision, accepted) {
            let reason = ConfigBroken::SameRevision {
                revision: accepted.revision,
                first: first.change.clone(),
                second: accepted.change.clone(),
            };
            report.broken(reason, &[first.event, accepted.event]);
        }
        let recreated = base.is_none() && config.may_be_deleted(key);
        let first = by_base.insert((key, base), accepted);
        if let Some(first) = first.filter(|_| !recreated) {
            let reason = ConfigBroken::SameBase {
                key: key.clone(),
                first: first.change.clone(),
                second: accepted.change.clone(),
            };
            report.broken(reason, &[first.event, accepted.event]);
        }
    }
}

/// Compares each read with the newest revision that the same node had answered with before the
/// read was asked. `reads` are in the order of their answers.
fn judge_never_back(
    config: &ConfigIndex<'_>,
    node: NodeId,
    key: &ConfigKey,
    reads: &[Seen<&ConfigRead>],
    report: &mut PromiseReport,
) {
    let mut asked: Vec<_> = reads.iter().collect();
    asked.sort_by_key(|read| read.what.asked_at_ms);
    let mut answered = reads.iter().peekable();
    let mut newest: Option<Seen<Revision>> = None;
    for read in asked {
        while let Some(earlier) = answered.next_if(|earlier| earlier.at_ms < read.what.asked_at_ms)
        {
            newest = newer(newest, *earlier);
        }
        let Some(newest) = newest.filter(|newest| is_older(config, read.what, newest.what)) else {
            continue;
        };
        let reason = ConfigBroken::Reverted {
            node,
            key: key.clone(),
            from: newest.what,
            to: found_revision(read.what),
        };
        report.broken(reason, &[newest.index, read.index]);
    }
}

fn newer(newest: Option<Seen<Revision>>, read: Seen<&ConfigRead>) -> Option<Seen<Revision>> {
    let found = found_revision(read.what).map(|revision| Seen {
        index: read.index,
        at_ms: read.at_ms,
        what: revision,
    });
    match (newest, found) {
        (Some(newest), Some(found)) if found.what <= newest.what => Some(newest),
        (newest, found) => found.or(newest),
    }
}

/// Whether a read shows a state before `revision`. Absence does so unless the resource may have
/// been deleted since.
fn is_older(config: &ConfigIndex<'_>, read: &ConfigRead, revision: Revision) -> bool {
    match read.result {
        ReadResult::Found {
            revision: found, ..
        } => found < revision,
        ReadResult::Absent => !config.may_be_deleted(&read.key),
        ReadResult::RefusedStale => false,
    }
}

fn judge_read(config: &ConfigIndex<'_>, read: Seen<&ConfigRead>, report: &mut PromiseReport) {
    judge_value(config, read, report);
    judge_conflict_in_force(config, read, report);
    let Some(due) = config.required_at(&read.what.key, read.what.asked_at_ms) else {
        return;
    };
    report.fact();
    if is_older(config, read.what, due.revision) {
        let reason = ConfigBroken::NotInForce {
            node: read.what.node,
            key: read.what.key.clone(),
            found: found_revision(read.what),
            due: due.revision,
        };
        report.broken(reason, &[due.event, read.index]);
    }
}

fn judge_value(config: &ConfigIndex<'_>, read: Seen<&ConfigRead>, report: &mut PromiseReport) {
    let ReadResult::Found { revision, value } = read.what.result else {
        return;
    };
    let accepted = config.accepted.get(&read.what.key).into_iter().flatten();
    for accepted in accepted.filter(|accepted| accepted.revision == revision) {
        if accepted.proposal.what.value != Some(value) {
            let reason = ConfigBroken::WrongValue {
                node: read.what.node,
                key: read.what.key.clone(),
                revision,
            };
            let events = [accepted.proposal.index, accepted.event, read.index];
            report.broken(reason, &events);
        }
    }
}

/// A refused change took effect if a node has its value under a revision after its base and
/// nobody else proposed that value.
fn judge_conflict_in_force(
    config: &ConfigIndex<'_>,
    read: Seen<&ConfigRead>,
    report: &mut PromiseReport,
) {
    let ReadResult::Found { revision, value } = read.what.result else {
        return;
    };
    let Some((id, change)) = config.only_proposer(&read.what.key, value) else {
        return;
    };
    let (Some(proposal), Some(conflict)) = (change.proposal(), change.conflict()) else {
        return;
    };
    if proposal.what.base.is_none_or(|base| revision > base) {
        let reason = ConfigBroken::ConflictInForce {
            change: id.clone(),
            node: read.what.node,
        };
        report.broken(reason, &[conflict.index, read.index]);
    }
}

/// A node that answers with an old revision had no newer one at any time before, so work it gave
/// to engines before that read, but after a newer revision was due, was given without it.
fn judge_work(
    history: &HistoryIndex<'_>,
    config: &ConfigIndex<'_>,
    read: Seen<&ConfigRead>,
    report: &mut PromiseReport,
) {
    let key = &read.what.key;
    let due_by_read = config.required_at(key, read.what.asked_at_ms);
    if !due_by_read.is_some_and(|due| is_older(config, read.what, due.revision)) {
        return;
    }
    for execution in history.executions.values() {
        let started = execution.started;
        if started.what.attempt.node() != Some(read.what.node)
            || started.at_ms > read.what.asked_at_ms
        {
            continue;
        }
        let due = config.required_at(key, started.at_ms);
        let Some(due) = due.filter(|due| is_older(config, read.what, due.revision)) else {
            continue;
        };
        let reason = ConfigBroken::ServedWithout {
            node: read.what.node,
            execution: started.what.execution.clone(),
            key: key.clone(),
            due: due.revision,
        };
        report.broken(reason, &[due.event, started.index, read.index]);
    }
}
