//! How entries get from the leader to the others, and when they are committed.

use havenstage_types::clock::Moment;
use havenstage_types::ids::{EntryIndex, NodeId, Term};
use havenstage_types::replica::{
    AppendEntries, AppendReply, AppendResult, ReplicaMessage, SequenceEnd,
};

use crate::command::Command;
use crate::replica::Replica;
use crate::role::{PeerProgress, Role};

/// Election timeouts of silence after which a member is no longer waited for.
const PATIENCE_WITH_PEER: u32 = 4;

impl<C: Command> Replica<C> {
    /// Whether the leader has work that its members should know of.
    fn is_busy(&self, now: Moment) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let end = self.sequence.last_index();
        if end > self.committed || self.committed > self.logged {
            return true;
        }
        let patience = self.settings.election_timeout * PATIENCE_WITH_PEER;
        leadership.peers.values().any(|peer| {
            let last_heard = peer.heard_at.unwrap_or(leadership.busy_since);
            let is_behind = peer.matched < end || peer.logged < self.logged;
            is_behind && !peer.is_retired && now.since(last_heard) < patience
        })
    }

    /// While there is no work, silence means nothing.
    pub(crate) fn note_idle_leader(&mut self, now: Moment) {
        if !self.is_busy(now)
            && let Some(leadership) = self.leadership_mut()
        {
            leadership.busy_since = now;
        }
    }

    /// Sends an append now, so that `to` knows who leads.
    pub(crate) fn show_leadership(&mut self, now: Moment, to: NodeId) {
        if self.is_leader() {
            self.send_append(now, to);
        }
    }

    /// Sends to every member for which there is something new or whose answer is overdue.
    pub(crate) fn send_due(&mut self, now: Moment) {
        let is_busy = self.is_busy(now);
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let end = self.sequence.last_index();
        let due: Vec<NodeId> = leadership
            .peers
            .iter()
            .filter(|(_, peer)| self.is_due(now, peer, end, is_busy))
            .map(|(member, _)| *member)
            .collect();
        for member in due {
            self.send_append(now, member);
        }
    }

    fn is_due(&self, now: Moment, peer: &PeerProgress, end: EntryIndex, is_busy: bool) -> bool {
        let has_news = peer.in_flight.is_none() && !peer.is_stalled && peer.next <= end;
        let is_overdue = now >= peer.sent_at + self.settings.heartbeat_interval;
        !peer.is_retired && (has_news || (is_busy && is_overdue))
    }

    /// When the next append is due.
    pub(crate) fn next_send(&self, now: Moment) -> Option<Moment> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        if !self.is_busy(now) {
            return None;
        }
        let peers = leadership.peers.values();
        let sent = peers
            .filter(|peer| !peer.is_retired)
            .map(|peer| peer.sent_at);
        sent.min()
            .map(|sent_at| sent_at + self.settings.heartbeat_interval)
    }

    fn send_append(&mut self, now: Moment, to: NodeId) {
        let round = self.next_round;
        let first_kept = self.sequence.base().index.next();
        let Some(peer) = self
            .leadership_mut()
            .and_then(|leadership| leadership.peers.get_mut(&to))
        else {
            return;
        };
        let first = peer.next.max(first_kept);
        peer.next = first;
        peer.in_flight = Some(round);
        peer.sent_at = now;
        self.next_round += 1;
        let append = self.append_from(first, round);
        self.send(to, ReplicaMessage::Append(append));
    }

    fn append_from(&self, first: EntryIndex, round: u64) -> AppendEntries<C> {
        let previous_index = EntryIndex(first.0 - 1);
        let previous = SequenceEnd {
            index: previous_index,
            term: self.sequence.term_at(previous_index).unwrap_or(Term(0)),
        };
        let settings = &self.settings;
        AppendEntries {
            term: self.term,
            round,
            previous,
            entries: self.sequence.slice(
                first,
                self.sequence.last_index(),
                settings.max_batch_entries,
                settings.max_batch_bytes,
            ),
            committed: self.committed,
            logged: self.logged,
        }
    }

    pub(crate) fn take_append(&mut self, now: Moment, from: NodeId, append: AppendEntries<C>) {
        let round = append.round;
        let result = if append.term < self.term {
            AppendResult::StaleTerm
        } else {
            self.follow(now, from, append.term);
            let result = self.take_entries(now, append);
            self.wait_for_leader(now);
            result
        };
        let reply = AppendReply {
            term: self.term,
            round,
            result,
            logged: self.logged,
        };
        self.send(from, ReplicaMessage::AppendReply(reply));
    }

    fn follow(&mut self, now: Moment, leader: NodeId, term: Term) {
        if term > self.term {
            self.adopt_term(now, term);
        }
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.leader_heard_at = now;
        self.demanded_until = now;
    }

    /// Doubts the leader only if there is work left that needs it.
    fn wait_for_leader(&mut self, now: Moment) {
        self.arm_election(now);
        self.disarm_if_idle(now);
    }

    fn take_entries(&mut self, now: Moment, append: AppendEntries<C>) -> AppendResult {
        let previous = append.previous;
        if previous.index > self.sequence.last_index() {
            return AppendResult::Mismatch(self.sequence.last_index());
        }
        // What is committed is the same everywhere; only beyond it can sequences differ.
        let is_beyond_committed = previous.index > self.committed;
        if is_beyond_committed && self.sequence.term_at(previous.index) != Some(previous.term) {
            return AppendResult::Mismatch(self.committed);
        }
        let mut matched = previous.index;
        for entry in append.entries {
            matched = matched.next();
            let is_known = self.sequence.term_at(matched) == Some(entry.term);
            if matched <= self.committed || is_known {
                continue;
            }
            let last_same = EntryIndex(matched.0 - 1);
            self.sequence.truncate_after(last_same);
            self.outage.truncate_after(last_same);
            self.add_entry(entry);
        }
        self.commit_through(now, append.committed.min(matched));
        self.note_logged(now, append.logged.min(self.committed));
        AppendResult::Matched(matched)
    }

    pub(crate) fn take_append_reply(&mut self, now: Moment, from: NodeId, reply: &AppendReply) {
        if reply.term > self.term {
            self.adopt_term(now, reply.term);
            return;
        }
        if reply.term < self.term {
            return;
        }
        let Some(peer) = self
            .leadership_mut()
            .and_then(|leadership| leadership.peers.get_mut(&from))
        else {
            return;
        };
        let is_latest = peer.in_flight == Some(reply.round);
        if is_latest {
            peer.in_flight = None;
            peer.heard_at = Some(peer.sent_at);
        }
        peer.logged = peer.logged.max(reply.logged);
        match reply.result {
            AppendResult::Matched(index) => {
                peer.matched = peer.matched.max(index);
                peer.next = peer.next.max(index.next());
                peer.is_stalled = false;
            }
            AppendResult::Mismatch(index) if is_latest => {
                let next = index.next().max(peer.matched.next());
                peer.is_stalled = next >= peer.next;
                peer.next = next;
            }
            AppendResult::Mismatch(_) | AppendResult::StaleTerm => {}
        }
    }

    /// A member that left the group is neither waited for nor sent to.
    pub(crate) fn note_retired(&mut self, from: NodeId) {
        let leadership = self.leadership_mut();
        if let Some(peer) = leadership.and_then(|leadership| leadership.peers.get_mut(&from)) {
            peer.is_retired = true;
        }
    }

    /// Members that told this leader that they left the group.
    pub fn retired_members(&self) -> Vec<NodeId> {
        let Role::Leader(leadership) = &self.role else {
            return Vec::new();
        };
        let retired = leadership.peers.iter().filter(|(_, peer)| peer.is_retired);
        retired.map(|(member, _)| *member).collect()
    }

    /// Commits what a majority has, up to an entry of the leader's own term.
    pub(crate) fn advance_leader_commit(&mut self, now: Moment) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let mut matched: Vec<EntryIndex> =
            leadership.peers.values().map(|peer| peer.matched).collect();
        matched.push(self.sequence.last_index());
        matched.sort_unstable_by(|one, other| other.cmp(one));
        let by_majority = matched[self.group.majority() - 1];
        if self.sequence.term_at(by_majority) == Some(self.term) {
            self.commit_through(now, by_majority);
        }
    }

    /// A leader with work that no majority answers leads no more, so that the others, whom it may
    /// still reach, can elect one that hears them.
    pub(crate) fn check_quorum(&mut self, now: Moment) {
        if self.next_quorum_check(now).is_some_and(|at| at <= now) {
            self.step_down(now);
        }
    }

    pub(crate) fn next_quorum_check(&self, now: Moment) -> Option<Moment> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        if !self.is_busy(now) {
            return None;
        }
        let others_needed = self.group.majority().checked_sub(2)?;
        let mut heard: Vec<Moment> = leadership
            .peers
            .values()
            .map(|peer| peer.heard_at.unwrap_or_default().max(leadership.busy_since))
            .collect();
        heard.sort_unstable_by(|one, other| other.cmp(one));
        let heard_by_majority = heard.get(others_needed)?;
        Some(*heard_by_majority + self.settings.election_timeout * 2)
    }
}
