//! Proposals and when they may be answered.

use havenstage_types::clock::Moment;
use havenstage_types::replica::EntryPayload;

use crate::action::{ProposalAnswer, ProposalId, ReplicaAction};
use crate::command::Command;
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

    pub(crate) fn interrupt_pending(&mut self) {
        while let Some((_, proposal)) = self.pending.pop_first() {
            self.answer(proposal, ProposalAnswer::Interrupted);
        }
    }

    fn answer(&mut self, proposal: ProposalId, answer: ProposalAnswer) {
        self.outbox.push(ReplicaAction::Answer { proposal, answer });
    }
}
