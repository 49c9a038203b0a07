//! Replica groups: three nodes that agree on a sequence of entries while the log is away, and the
//! messages they send to each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{EntryIndex, LogOffset, NodeId, Partition, Term, Zone};

/// Where a claimant finds a partition's group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRoute {
    /// The newest group known.
    pub group: ReplicaGroup,
    /// The member believed to lead.
    pub leader: Option<NodeId>,
}

/// Members of a full group. A smaller one, where there are too few nodes, never answers without the
/// log, since it would not outlive one of them.
pub const FULL_GROUP: usize = 3;

/// One member of a group. A process that restarts has another id and is no member any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Identity of the process run.
    pub id: NodeId,
    /// Zone of its machine.
    pub zone: Zone,
    /// Where it takes peer requests.
    pub peer_address: SocketAddr,
}

/// A group as the log names it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaGroup {
    /// Offset of the record that formed the group; a later generation fences earlier ones.
    pub generation: LogOffset,
    /// Members, the first one being the one that should lead.
    pub members: Vec<GroupMember>,
}

impl ReplicaGroup {
    /// Number of members that decide.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Whether a majority outlives one member, so that the group may answer without the log.
    pub fn is_full(&self) -> bool {
        self.members.len() >= FULL_GROUP
    }

    /// The member with this identity.
    pub fn member(&self, id: NodeId) -> Option<&GroupMember> {
        self.members.iter().find(|member| member.id == id)
    }
}

/// An entry of a group's sequence with the term in which it was proposed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SequencedEntry<C> {
    /// Term of the leader that proposed it.
    pub term: Term,
    /// What it says.
    pub payload: EntryPayload<C>,
}

/// What an entry says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload<C> {
    /// A leader begins its term.
    TermStart,
    /// Something the group's users asked for.
    Command(C),
    /// A step into or out of answering on a majority alone.
    Outage(OutageStep),
    /// The group is alive, although somebody doubts it.
    StillInForce,
    /// The time has passed in which a request granted by a lost group could still run or be
    /// repeated; keys without a record are free again.
    LossSettled {
        /// Generation whose forming revealed the loss.
        generation: LogOffset,
    },
    /// The group ends with this entry. Once it is in the log, its batch's offset is the generation
    /// of the next group.
    Seal {
        /// Members of the next group.
        successor: Vec<GroupMember>,
    },
}

/// A step into or out of answering on a majority alone. It takes every member's consent to begin,
/// so that any one of them can tell whether entries may have been acknowledged outside the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OutageStep {
    /// The leader finds the log away; a member that takes this entry consents.
    Begun,
    /// Every member has consented: from here on a majority is enough.
    Agreed,
    /// The log is back: from here on an entry must be in the log.
    Ended,
}

/// Where a member's sequence ends, to compare whose is more complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SequenceEnd {
    /// Term of the last entry.
    pub term: Term,
    /// Index of the last entry.
    pub index: EntryIndex,
}

/// What members send to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage<C> {
    /// Asks the leader to show that it is there.
    Wake,
    /// The sender takes no further part in the group.
    Retired,
    /// Asks whether a vote in `term` would be given; binds nobody.
    PreVote {
        /// Term the candidate would start.
        term: Term,
        /// End of the candidate's sequence.
        end: SequenceEnd,
    },
    /// Answer to a pre-vote.
    PreVoteReply {
        /// Term asked about, or the higher one the member has seen.
        term: Term,
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Term the candidate starts.
        term: Term,
        /// End of the candidate's sequence.
        end: SequenceEnd,
    },
    /// Answer to a vote.
    VoteReply {
        /// The member's term.
        term: Term,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries from the leader; also its heartbeat.
    Append(AppendEntries<C>),
    /// Answer to an append.
    AppendReply(AppendReply),
}

/// Entries from the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries<C> {
    /// The leader's term.
    pub term: Term,
    /// Number of this message, echoed in its answer.
    pub round: u64,
    /// The entry right before the first one sent.
    pub previous: SequenceEnd,
    /// Entries in order.
    pub entries: Vec<SequencedEntry<C>>,
    /// Every entry up to here is committed.
    pub committed: EntryIndex,
    /// Every entry up to here is in the log.
    pub logged: EntryIndex,
}

/// Answer to [`AppendEntries`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The member's term.
    pub term: Term,
    /// Number of the message answered.
    pub round: u64,
    /// Whether the sequences match up to the last entry sent, and up to where.
    pub result: AppendResult,
    /// Every entry up to here is in the log, as far as the member knows.
    pub logged: EntryIndex,
}

/// Whether a member took the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The member has the leader's entries up to here.
    Matched(EntryIndex),
    /// The entry before the first one sent is missing or differs; go back to after this one.
    Mismatch(EntryIndex),
    /// The sender leads no more.
    StaleTerm,
}

/// A message with its group and its two ends. A process that is not `to` must not act on it: it
/// has not got that member's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEnvelope<C> {
    /// Partition the group serves.
    pub partition: Partition,
    /// The group, so that a member that has not read the log knows it.
    pub group: ReplicaGroup,
    /// Sender.
    pub from: NodeId,
    /// Member that is meant.
    pub to: NodeId,
    /// The message.
    pub message: ReplicaMessage<C>,
}
