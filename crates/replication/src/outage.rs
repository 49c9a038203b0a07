//! When a majority is enough: the steps into and out of answering without the log.
//!
//! A leader that finds the log away has every member consent before it answers on a majority
//! alone. A member that has not consented, or knows the log to hold the end of the last outage, can
//! therefore vouch that nothing was acknowledged outside the log, and by leaving the group for good
//! it sees to it that nothing will be.

use std::collections::BTreeMap;

use havenstage_types::clock::Moment;
use havenstage_types::ids::{EntryIndex, NodeId};
use havenstage_types::replica::{EntryPayload, OutageStep, ReplicaMessage};

use crate::command::Command;
use crate::replica::Replica;
use crate::role::Role;

/// What a member knows of its group's outages.
#[derive(Debug, Clone, Default)]
pub(crate) struct OutageState {
    /// Last entry of the group that this member has read from the log.
    read_through: EntryIndex,
    /// Last step up to there.
    step_in_log: Option<OutageStep>,
    /// Steps in the member's sequence beyond there.
    steps: BTreeMap<EntryIndex, OutageStep>,
    /// When the log was last seen to be late.
    late_at: Option<Moment>,
}

impl OutageState {
    /// Notes an entry that was added to the sequence.
    pub(crate) fn note_added<C>(&mut self, index: EntryIndex, payload: &EntryPayload<C>) {
        if let EntryPayload::Outage(step) = payload {
            self.steps.insert(index, *step);
        }
    }

    /// Forgets the steps after `index`, which are no longer in the sequence.
    pub(crate) fn truncate_after(&mut self, index: EntryIndex) {
        self.steps.split_off(&index.next());
    }

    /// The log was read up to `logged`.
    pub(crate) fn note_read(&mut self, logged: EntryIndex, step_in_log: Option<OutageStep>) {
        self.read_through = logged;
        self.step_in_log = step_in_log;
        self.steps = self.steps.split_off(&logged.next());
    }

    /// Whether the group may have acknowledged what the log has not got. The end of an outage
    /// counts only once the log has it.
    fn may_have_acknowledged(&self) -> bool {
        let is_open_in_log = self
            .step_in_log
            .is_some_and(|step| step != OutageStep::Ended);
        is_open_in_log || self.steps.values().any(|step| *step == OutageStep::Begun)
    }

    /// The last step, with an index that is not before it.
    fn last_step(&self) -> Option<(EntryIndex, OutageStep)> {
        let last = self.steps.last_key_value();
        let in_log = self.step_in_log.map(|step| (self.read_through, step));
        last.map(|(index, step)| (*index, *step)).or(in_log)
    }

    fn is_open(&self) -> bool {
        let last = self.last_step();
        last.is_some_and(|(_, step)| step != OutageStep::Ended)
    }
}

impl<C: Command> Replica<C> {
    /// Leaves the group for good. Returns whether this member vouches that nothing was, or ever
    /// will be, acknowledged which the log has not got.
    pub fn retire(&mut self, now: Moment) -> bool {
        self.is_retired = true;
        self.step_down(now);
        self.election_at = None;
        !self.outage.may_have_acknowledged()
    }

    /// Whether the member has left the group for good.
    pub fn is_retired(&self) -> bool {
        self.is_retired
    }

    /// Tells whoever asks that this member takes no further part.
    pub(crate) fn answer_as_retired(&mut self, from: NodeId, message: &ReplicaMessage<C>) {
        let is_answer = matches!(
            message,
            ReplicaMessage::Retired
                | ReplicaMessage::PreVoteReply { .. }
                | ReplicaMessage::VoteReply { .. }
                | ReplicaMessage::AppendReply(_)
        );
        if !is_answer {
            self.send(from, ReplicaMessage::Retired);
        }
    }

    /// Takes the step that is due, if this member leads.
    pub(crate) fn advance_outage(&mut self, now: Moment) {
        if !self.is_leader() {
            return;
        }
        let is_late = self.is_log_late(now) || self.unread_at().is_some_and(|at| at <= now);
        if is_late {
            self.outage.late_at = Some(now);
        }
        let is_open = self.outage.is_open();
        let step = match self.outage.last_step() {
            _ if is_open && self.is_log_calm(now) => OutageStep::Ended,
            _ if !is_open && is_late && self.group.is_full() => OutageStep::Begun,
            Some((begun, OutageStep::Begun)) if self.has_everybody(begun) => OutageStep::Agreed,
            _ => return,
        };
        self.add_as_leader(EntryPayload::Outage(step));
    }

    fn has_everybody(&self, index: EntryIndex) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        leadership.peers.values().all(|peer| peer.matched >= index)
    }

    /// Whether the log has not taken a committed entry for a while.
    fn is_log_late(&self, now: Moment) -> bool {
        self.log_late_at().is_some_and(|at| at <= now)
    }

    fn log_late_at(&self) -> Option<Moment> {
        let (_, oldest_commit) = self.commit_times.front()?;
        Some(*oldest_commit + self.settings.outage_after)
    }

    /// When the log counts as away unless it is read before.
    fn unread_at(&self) -> Option<Moment> {
        Some(self.log_confirmed_at? + self.settings.unread_after)
    }

    fn is_log_calm(&self, now: Moment) -> bool {
        self.is_log_prompt(now) && self.calm_at().is_none_or(|at| at <= now)
    }

    fn calm_at(&self) -> Option<Moment> {
        Some(self.outage.late_at? + self.settings.calm_after)
    }

    /// Whether the log takes entries without delay and was read lately. Only then should a group be
    /// sealed.
    pub fn is_log_prompt(&self, now: Moment) -> bool {
        let is_read = self.unread_at().is_some_and(|at| now < at);
        !self.is_log_late(now) && is_read
    }

    /// Whether a majority is enough: every member has consented to an outage that has not ended, and
    /// the log confirmed not too long ago that the group is in force.
    pub fn answers_on_majority(&self, now: Moment) -> bool {
        let has_consent = match self.outage.last_step() {
            Some((agreed, OutageStep::Agreed)) => agreed <= self.committed,
            _ => false,
        };
        let is_in_force = self
            .log_confirmed_at
            .is_some_and(|at| now < at + self.settings.outage_limit);
        has_consent && is_in_force
    }

    /// When the outage needs attention: a step is due or proposals can be answered.
    pub(crate) fn next_outage_step(&self, now: Moment) -> Option<Moment> {
        if !self.is_leader() {
            return None;
        }
        let late_at = self.log_late_at().filter(|at| *at > now);
        let unread_at = self.unread_at().filter(|at| *at > now);
        let is_ending = self.outage.is_open() && self.commit_times.is_empty();
        let calm_at = self.calm_at().filter(|at| is_ending && *at > now);
        [late_at, unread_at, calm_at].into_iter().flatten().min()
    }
}
