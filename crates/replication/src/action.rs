//! What goes into a replica and what comes out of it.

use havenstage_types::clock::Moment;
use havenstage_types::ids::{EntryIndex, LogOffset, NodeId, Term};
use havenstage_types::replica::{GroupMember, OutageStep, ReplicaMessage, SequencedEntry};

/// Number the caller gives a proposal, to know it again in the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProposalId(pub u64);

/// Something that happened to a replica.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaInput<C> {
    /// Time has passed.
    Tick,
    /// A message of another member.
    Message {
        /// Sender.
        from: NodeId,
        /// The message.
        message: ReplicaMessage<C>,
    },
    /// A user of the group wants a command agreed on.
    Propose {
        /// Number given by the caller.
        proposal: ProposalId,
        /// The command.
        command: C,
    },
    /// Somebody looks for the leader. A follower makes sure that there is one.
    Demand,
    /// The log was read and this group is the one in force.
    LogRead(LogRead),
    /// Somebody doubts in the log that the group is alive.
    Doubted,
    /// An append asked for by [`ReplicaAction::WriteBatch`] ended.
    BatchEnded {
        /// Number of the batch.
        batch: u64,
        /// How it ended.
        end: BatchEnd,
    },
    /// The leader should end the group and hand over to these members.
    Seal {
        /// Members of the next group.
        successor: Vec<GroupMember>,
    },
    /// The leader should record that a loss is settled.
    SettleLoss {
        /// Generation whose forming revealed the loss.
        generation: LogOffset,
    },
}

/// What a read of the log showed of this group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogRead {
    /// When the last read that reached the log's end was sent: as of then no other group was in
    /// force. `None` while the end has not been reached.
    pub confirmed_at: Option<Moment>,
    /// Last entry of the group that the log has.
    pub logged: EntryIndex,
    /// Term of that entry.
    pub logged_term: Term,
    /// The last step into or out of answering on a majority alone that the log has.
    pub outage_step: Option<OutageStep>,
}

/// How an append to the log ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchEnd {
    /// The log answered that it took the batch.
    Taken,
    /// No answer, or a refusal; the batch may be in the log all the same.
    Failed,
}

/// Something a replica wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaAction<C> {
    /// Send a message to a member. It may be lost, doubled or late.
    Send {
        /// Receiver.
        to: NodeId,
        /// The message.
        message: ReplicaMessage<C>,
    },
    /// The entry is committed; apply it. Entries come in order, each once.
    Committed {
        /// Its index.
        index: EntryIndex,
        /// The entry.
        entry: SequencedEntry<C>,
    },
    /// Append these committed entries to the log as one record.
    WriteBatch {
        /// Number to be given back in [`ReplicaInput::BatchEnded`].
        batch: u64,
        /// Index of the first entry.
        first_index: EntryIndex,
        /// The entries.
        entries: Vec<SequencedEntry<C>>,
    },
    /// Answer a proposal.
    Answer {
        /// Number given by the caller.
        proposal: ProposalId,
        /// What came of it.
        answer: ProposalAnswer,
    },
}

/// What came of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalAnswer {
    /// It is committed and in the log.
    Logged,
    /// It is committed by a majority; the log has not taken it yet.
    Replicated,
    /// This member does not lead; nothing was proposed.
    NotLeader,
    /// The member lost the lead. The proposal may be committed or not; repeat it.
    Interrupted,
    /// The group is being replaced; nothing was proposed.
    Sealed,
    /// Too much waits for the log; nothing was proposed.
    OverBudget,
}
