//! Elections: who asks for one, who votes, who leads.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::ids::{NodeId, Term};
use havenstage_types::replica::{EntryPayload, ReplicaMessage, SequenceEnd, SequencedEntry};
use rand::Rng;

use crate::command::Command;
use crate::replica::Replica;
use crate::role::{Leadership, PeerProgress, Role};

/// Share of the election timeout within which the first election of a group begins.
const FIRST_ELECTION_DIVISOR: u32 = 4;

impl<C: Command> Replica<C> {
    /// Somebody looks for the leader: ask it to show itself, and replace it if it does not.
    pub(crate) fn demand(&mut self, now: Moment) {
        if self.is_leader() || self.is_retired {
            return;
        }
        self.demanded_until = now + self.settings.demand_duration;
        if self.election_at.is_some() {
            return;
        }
        match self.leader {
            Some(leader) => {
                self.send(leader, ReplicaMessage::Wake);
                self.arm_election(now);
            }
            None => self.election_at = Some(now + self.first_election_wait()),
        }
    }

    /// The member that should lead a new group does not wait for anybody.
    fn first_election_wait(&mut self) -> Duration {
        let should_lead = self.group.members.first().map(|member| member.id);
        if self.term == Term(0) && should_lead == Some(self.id) {
            return Duration::ZERO;
        }
        let longest = self.settings.election_timeout / FIRST_ELECTION_DIVISOR;
        self.random.random_range(longest / 2..=longest)
    }

    pub(crate) fn arm_election(&mut self, now: Moment) {
        let wait = self.random_wait(self.settings.election_timeout);
        self.election_at = Some(now + wait);
    }

    /// Whether there is work for which a leader is needed.
    fn needs_leader(&self, now: Moment) -> bool {
        let end = self.sequence.last_index();
        end > self.logged || self.committed < end || now < self.demanded_until
    }

    pub(crate) fn disarm_if_idle(&mut self, now: Moment) {
        if matches!(self.role, Role::Follower) && !self.needs_leader(now) {
            self.election_at = None;
        }
    }

    pub(crate) fn check_election(&mut self, now: Moment) {
        let is_due = self.election_at.is_some_and(|at| at <= now);
        if self.is_leader() || self.is_retired || !is_due {
            return;
        }
        if !self.needs_leader(now) {
            self.role = Role::Follower;
            self.election_at = None;
            return;
        }
        self.arm_election(now);
        if self.can_lead() {
            self.begin_pre_vote(now);
        }
    }

    fn begin_pre_vote(&mut self, now: Moment) {
        self.role = Role::PreCandidate(BTreeSet::from([self.id]));
        self.leader = None;
        let message = ReplicaMessage::PreVote {
            term: Term(self.term.0 + 1),
            end: self.sequence.end(),
        };
        self.send_to_others(&message);
        self.count_pre_votes(now);
    }

    fn send_to_others(&mut self, message: &ReplicaMessage<C>) {
        for member in self.other_members() {
            self.send(member, message.clone());
        }
    }

    pub(crate) fn take_pre_vote(
        &mut self,
        now: Moment,
        from: NodeId,
        term: Term,
        end: SequenceEnd,
    ) {
        let hears_leader = self.leader.is_some_and(|leader| leader != from)
            && now.since(self.leader_heard_at) < self.settings.election_timeout;
        let granted =
            term > self.term && end >= self.sequence.end() && !hears_leader && !self.is_leader();
        let term = if granted { term } else { self.term };
        self.send(from, ReplicaMessage::PreVoteReply { term, granted });
        self.show_leadership(now, from);
    }

    pub(crate) fn take_pre_vote_reply(
        &mut self,
        now: Moment,
        from: NodeId,
        term: Term,
        granted: bool,
    ) {
        if !granted {
            if term > self.term {
                self.adopt_term(now, term);
            }
            return;
        }
        let is_current = term == Term(self.term.0 + 1);
        if let Role::PreCandidate(granted_by) = &mut self.role
            && is_current
        {
            granted_by.insert(from);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: Moment) {
        let Role::PreCandidate(granted_by) = &self.role else {
            return;
        };
        if granted_by.len() < self.group.majority() {
            return;
        }
        self.term = Term(self.term.0 + 1);
        self.voted_for = Some(self.id);
        self.role = Role::Candidate(BTreeSet::from([self.id]));
        self.arm_election(now);
        let message = ReplicaMessage::Vote {
            term: self.term,
            end: self.sequence.end(),
        };
        self.send_to_others(&message);
        self.count_votes(now);
    }

    /// A member votes once in a term, and only for a sequence at least as complete as its own.
    pub(crate) fn take_vote(&mut self, now: Moment, from: NodeId, term: Term, end: SequenceEnd) {
        if term > self.term {
            self.adopt_term(now, term);
        }
        let is_free = self.voted_for.is_none_or(|voted_for| voted_for == from);
        let granted = term == self.term && is_free && end >= self.sequence.end();
        if granted {
            self.voted_for = Some(from);
            self.election_at = None;
            if self.needs_leader(now) {
                self.arm_election(now);
            }
        }
        let term = self.term;
        self.send(from, ReplicaMessage::VoteReply { term, granted });
    }

    pub(crate) fn take_vote_reply(&mut self, now: Moment, from: NodeId, term: Term, granted: bool) {
        if term > self.term {
            self.adopt_term(now, term);
        }
        let is_current = term == self.term && granted;
        if let Role::Candidate(granted_by) = &mut self.role
            && is_current
        {
            granted_by.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Moment) {
        let Role::Candidate(granted_by) = &self.role else {
            return;
        };
        if granted_by.len() < self.group.majority() {
            return;
        }
        self.begin_leading(now);
    }

    fn begin_leading(&mut self, now: Moment) {
        let next = self.sequence.last_index().next();
        let peers: BTreeMap<NodeId, PeerProgress> = self
            .other_members()
            .into_iter()
            .map(|member| (member, PeerProgress::new(next, now)))
            .collect();
        self.role = Role::Leader(Leadership {
            peers,
            busy_since: now,
        });
        self.leader = Some(self.id);
        self.election_at = None;
        // Entries of earlier terms are committed only through one of the leader's own term.
        self.add_entry(SequencedEntry {
            term: self.term,
            payload: EntryPayload::TermStart,
        });
    }

    /// A higher term was seen: whoever led or stood for election does so no more.
    pub(crate) fn adopt_term(&mut self, now: Moment, term: Term) {
        self.term = term;
        self.voted_for = None;
        self.leader = None;
        self.step_down(now);
    }

    /// Becomes a follower; proposals without an answer are answered as interrupted.
    pub(crate) fn step_down(&mut self, now: Moment) {
        if self.is_leader() {
            self.leader = None;
            self.interrupt_pending();
        }
        self.role = Role::Follower;
        if self.needs_leader(now) && self.election_at.is_none() && !self.is_retired {
            self.arm_election(now);
        }
    }
}
