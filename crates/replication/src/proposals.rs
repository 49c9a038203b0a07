//! Proposals and when they may be answered.

use havenstage_types::clock::Moment;
use havenstage_types::replica::EntryPayload;

use crate::action::{ProposalAnswer, ProposalId, ReplicaAction};
use crate::command::Command;
use crate::group::GROUP_SIZE;
use crate::replica::Replica;

impl<C: Command> Replica<C> {
    pub(crate) fn propose(&mut self, now: Moment, proposal: ProposalId, command: C) {
        if !self.is_leader() {
            self.answer(proposal, ProposalAnswer::NotLeader);
            self.demand(now);
            return;
        }
        let is_full = self.sequence.bytes() >= self.settings.memory_budget_bytes;
        if is_full && command.begins_work() {
            self.answer(proposal, ProposalAnswer::OverBudget);
            return;
        }
        match self.add_as_leader(EntryPayload::Command(command)) {
            Some(index) => {
                self.pending.insert(index, proposal);
            }
            None => self.answer(proposal, ProposalAnswer::Sealed),
        }
    }

    /// Answers every proposal that is in the log, or committed while the log is away.
    pub(crate) fn answer_pending(&mut self, now: Moment) {
        let through = if self.answers_on_majority(now) {
            self.committed
        } else {
            self.logged
        };
        while let Some(first) = self.pending.first_entry() {
            let index = *first.key();
            if index > through {
                return;
            }
            let proposal = first.remove();
            let answer = if index <= self.logged {
                ProposalAnswer::Logged
            } else {
                ProposalAnswer::Replicated
            };
            self.answer(proposal, answer);
        }
    }

    /// Whether a majority is enough: the log has not taken a committed entry for a while, and not
    /// so long ago that the group might have been replaced for good.
    pub fn answers_on_majority(&self, now: Moment) -> bool {
        let Some((_, oldest_commit)) = self.commit_times.front() else {
            return false;
        };
        let is_log_away = now >= *oldest_commit + self.settings.outage_after;
        let outlives_a_member = self.group.members.len() >= GROUP_SIZE;
        let is_in_force = self
            .log_confirmed_at
            .is_some_and(|at| now < at + self.settings.outage_limit);
        is_log_away && outlives_a_member && is_in_force
    }

    /// Whether the log takes entries without delay and was read lately. Only then should a group be
    /// sealed.
    pub fn is_log_prompt(&self, now: Moment) -> bool {
        let takes_entries = self
            .commit_times
            .front()
            .is_none_or(|(_, oldest_commit)| now < *oldest_commit + self.settings.outage_after);
        let is_read = self
            .log_confirmed_at
            .is_some_and(|at| now < at + self.settings.replace_after);
        takes_entries && is_read
    }

    /// When a proposal can be answered although the log has not taken it.
    pub(crate) fn next_outage_answer(&self) -> Option<Moment> {
        let oldest_pending = *self.pending.first_key_value()?.0;
        if oldest_pending > self.committed {
            return None;
        }
        let (_, oldest_commit) = self.commit_times.front()?;
        let at = *oldest_commit + self.settings.outage_after;
        let limit = self.log_confirmed_at? + self.settings.outage_limit;
        (at < limit).then_some(at)
    }

    pub(crate) fn interrupt_pending(&mut self) {
        while let Some((_, proposal)) = self.pending.pop_first() {
            self.answer(proposal, ProposalAnswer::Interrupted);
        }
    }

    fn answer(&mut self, proposal: ProposalId, answer: ProposalAnswer) {
        self.outbox.push(ReplicaAction::Answer { proposal, answer });
    }
}
