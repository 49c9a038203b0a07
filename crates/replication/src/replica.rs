//! One member of a replica group as a state machine.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::ids::{EntryIndex, NodeId, Term};
use havenstage_types::replica::{
    EntryPayload, GroupMember, ReplicaGroup, ReplicaMessage, SequenceEnd, SequencedEntry,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::action::{LogRead, ProposalId, ReplicaAction, ReplicaInput};
use crate::command::Command;
use crate::flushing::FlushState;
use crate::outage::OutageState;
use crate::role::{Leadership, Role};
use crate::sequence::Sequence;
use crate::settings::{InvalidReplicaSettings, ReplicaSettings};

/// One member of a group.
#[derive(Debug, Clone)]
pub struct Replica<C> {
    pub(crate) settings: ReplicaSettings,
    pub(crate) id: NodeId,
    pub(crate) group: ReplicaGroup,
    pub(crate) random: ChaCha8Rng,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<NodeId>,
    pub(crate) role: Role,
    pub(crate) leader: Option<NodeId>,
    /// When the leader was last heard, or the member was created.
    pub(crate) leader_heard_at: Moment,
    pub(crate) sequence: Sequence<C>,
    /// Every entry up to here is committed.
    pub(crate) committed: EntryIndex,
    /// Every entry up to here was given out as committed, or read from the log.
    pub(crate) applied: EntryIndex,
    /// Every entry up to here is in the log.
    pub(crate) logged: EntryIndex,
    /// When a follower begins an election.
    pub(crate) election_at: Option<Moment>,
    pub(crate) demanded_until: Moment,
    /// Whether the log was read up to this group's start; before that nothing can be applied.
    pub(crate) has_read_log: bool,
    pub(crate) log_confirmed_at: Option<Moment>,
    /// When entries that are not in the log were committed here, oldest first.
    pub(crate) commit_times: VecDeque<(EntryIndex, Moment)>,
    pub(crate) outage: OutageState,
    pub(crate) is_retired: bool,
    pub(crate) pending: BTreeMap<EntryIndex, ProposalId>,
    pub(crate) flush: FlushState,
    pub(crate) next_round: u64,
    pub(crate) outbox: Vec<ReplicaAction<C>>,
}

impl<C: Command> Replica<C> {
    /// A member that knows nothing yet. A process must do this at most once for each group, since
    /// a member that forgets what it voted for is not the same member.
    pub fn new(
        settings: ReplicaSettings,
        id: NodeId,
        group: ReplicaGroup,
        seed: u64,
        now: Moment,
    ) -> Result<Self, InvalidReplicaSettings> {
        settings.validate()?;
        Ok(Self {
            settings,
            id,
            group,
            random: ChaCha8Rng::seed_from_u64(seed),
            term: Term(0),
            voted_for: None,
            role: Role::Follower,
            leader: None,
            leader_heard_at: now,
            sequence: Sequence::new(),
            committed: EntryIndex(0),
            applied: EntryIndex(0),
            logged: EntryIndex(0),
            election_at: None,
            demanded_until: now,
            has_read_log: false,
            log_confirmed_at: None,
            commit_times: VecDeque::new(),
            outage: OutageState::default(),
            is_retired: false,
            pending: BTreeMap::new(),
            flush: FlushState::new(now),
            next_round: 0,
            outbox: Vec::new(),
        })
    }

    /// The member's identity.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The group.
    pub fn group(&self) -> &ReplicaGroup {
        &self.group
    }

    /// Whether it leads its group.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader it knows, itself included.
    pub fn leader(&self) -> Option<&GroupMember> {
        self.group.member(self.leader?)
    }

    /// Committed entries that the log is not known to have.
    pub fn backlog(&self) -> u64 {
        self.committed.0 - self.logged.0
    }

    /// Last committed entry.
    pub fn committed(&self) -> EntryIndex {
        self.committed
    }

    /// Rough bytes of the entries kept in memory.
    pub fn memory_bytes(&self) -> usize {
        self.sequence.bytes()
    }

    /// Whether the group has been ended by an entry, committed or not.
    pub fn is_sealed(&self) -> bool {
        self.sequence.is_sealed()
    }

    /// Takes an input and returns what is to be done, in order.
    pub fn handle(&mut self, now: Moment, input: ReplicaInput<C>) -> Vec<ReplicaAction<C>> {
        self.note_idle_leader(now);
        self.take_input(now, input);
        self.check_quorum(now);
        self.check_election(now);
        self.advance_outage(now);
        self.send_due(now);
        self.advance_leader_commit(now);
        self.answer_pending(now);
        self.flush_due(now);
        std::mem::take(&mut self.outbox)
    }

    fn take_input(&mut self, now: Moment, input: ReplicaInput<C>) {
        match input {
            ReplicaInput::Tick => {}
            ReplicaInput::Message { from, message } => self.take_message(now, from, message),
            ReplicaInput::Propose { proposal, command } => self.propose(now, proposal, command),
            ReplicaInput::Demand => self.demand(now),
            ReplicaInput::LogRead(read) => self.take_log_read(now, read),
            ReplicaInput::Doubted => self.answer_doubt(now),
            ReplicaInput::BatchEnded { batch, end } => self.take_batch_end(now, batch, end),
            ReplicaInput::Seal { successor } => self.seal(EntryPayload::Seal { successor }),
            ReplicaInput::SettleLoss { generation } => {
                self.add_as_leader(EntryPayload::LossSettled { generation });
            }
        }
    }

    /// When [`ReplicaInput::Tick`] is wanted, if nothing else happens before.
    pub fn next_tick(&self, now: Moment) -> Option<Moment> {
        let times = [
            self.election_at,
            self.next_send(now),
            self.next_quorum_check(now),
            self.next_flush(now),
            self.next_outage_step(now),
        ];
        times.into_iter().flatten().min()
    }

    fn take_message(&mut self, now: Moment, from: NodeId, message: ReplicaMessage<C>) {
        if from == self.id || self.group.member(from).is_none() {
            return;
        }
        if self.is_retired {
            self.answer_as_retired(from, &message);
            return;
        }
        match message {
            ReplicaMessage::Retired => self.note_retired(from),
            ReplicaMessage::Wake => self.show_leadership(now, from),
            ReplicaMessage::PreVote { term, end } => self.take_pre_vote(now, from, term, end),
            ReplicaMessage::PreVoteReply { term, granted } => {
                self.take_pre_vote_reply(now, from, term, granted);
            }
            ReplicaMessage::Vote { term, end } => self.take_vote(now, from, term, end),
            ReplicaMessage::VoteReply { term, granted } => {
                self.take_vote_reply(now, from, term, granted);
            }
            ReplicaMessage::Append(append) => self.take_append(now, from, append),
            ReplicaMessage::AppendReply(reply) => self.take_append_reply(now, from, &reply),
        }
    }

    /// What the log has is committed, whatever the members know.
    fn take_log_read(&mut self, now: Moment, read: LogRead) {
        self.has_read_log = true;
        self.log_confirmed_at = self.log_confirmed_at.max(read.confirmed_at);
        let known_term = self.sequence.term_at(read.logged);
        let is_known =
            read.logged < self.sequence.base().index || known_term == Some(read.logged_term);
        if !is_known {
            self.sequence.restart_after(SequenceEnd {
                term: read.logged_term,
                index: read.logged,
            });
            self.outage.truncate_after(read.logged);
            self.step_down(now);
        }
        self.outage.note_read(read.logged, read.outage_step);
        self.applied = self.applied.max(read.logged);
        self.commit_through(now, read.logged);
        self.note_logged(now, read.logged);
        self.note_read_back(now);
    }

    /// Entries up to `index` are committed.
    pub(crate) fn commit_through(&mut self, now: Moment, index: EntryIndex) {
        self.committed = self.committed.max(index);
        let newest = self.commit_times.back().map(|(newest, _)| *newest);
        if self.committed > self.logged && newest < Some(self.committed) {
            self.commit_times.push_back((self.committed, now));
        }
        self.give_out_committed();
    }

    /// Gives out committed entries in order. A member that has not read the log so far, or lacks
    /// entries that only the log has, waits for its next read.
    fn give_out_committed(&mut self) {
        while self.has_read_log && self.applied < self.committed {
            let index = self.applied.next();
            let Some(entry) = self.sequence.get(index) else {
                return;
            };
            self.outbox.push(ReplicaAction::Committed {
                index,
                entry: entry.clone(),
            });
            self.applied = index;
        }
    }

    /// Whether it has applied all it knows to be committed; only then may it lead.
    pub(crate) fn can_lead(&self) -> bool {
        self.has_read_log && self.applied == self.committed
    }

    /// Everything up to `index` is in the log.
    pub(crate) fn note_logged(&mut self, now: Moment, index: EntryIndex) {
        if index <= self.logged {
            return;
        }
        self.logged = index;
        while self
            .commit_times
            .front()
            .is_some_and(|(newest, _)| *newest <= index)
        {
            self.commit_times.pop_front();
        }
        self.sequence
            .compact(index, self.settings.kept_logged_entries);
        self.disarm_if_idle(now);
    }

    /// Appends an entry if this member leads an unsealed group.
    pub(crate) fn add_as_leader(&mut self, payload: EntryPayload<C>) -> Option<EntryIndex> {
        if !self.is_leader() || self.is_sealed() {
            return None;
        }
        Some(self.add_entry(SequencedEntry {
            term: self.term,
            payload,
        }))
    }

    /// Appends an entry of any leader.
    pub(crate) fn add_entry(&mut self, entry: SequencedEntry<C>) -> EntryIndex {
        let index = self.sequence.last_index().next();
        self.outage.note_added(index, &entry.payload);
        self.sequence.push(entry);
        index
    }

    /// Any new entry in the log shows that the group is alive; one on its way will do.
    fn answer_doubt(&mut self, now: Moment) {
        self.demand(now);
        if self.sequence.last_index() == self.logged {
            self.add_as_leader(EntryPayload::StillInForce);
        }
    }

    fn seal(&mut self, seal: EntryPayload<C>) {
        self.add_as_leader(seal);
    }

    pub(crate) fn send(&mut self, to: NodeId, message: ReplicaMessage<C>) {
        self.outbox.push(ReplicaAction::Send { to, message });
    }

    pub(crate) fn other_members(&self) -> Vec<NodeId> {
        let members = self.group.members.iter().map(|member| member.id);
        members.filter(|id| *id != self.id).collect()
    }

    pub(crate) fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match &mut self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    /// A random time from `shortest` to twice that.
    pub(crate) fn random_wait(&mut self, shortest: Duration) -> Duration {
        self.random.random_range(shortest..=shortest * 2)
    }
}
