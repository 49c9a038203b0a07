//! What a member does in its group at the moment.

use std::collections::{BTreeMap, BTreeSet};

use havenstage_types::clock::Moment;
use havenstage_types::ids::{EntryIndex, NodeId};

/// A member's role.
#[derive(Debug, Clone)]
pub(crate) enum Role {
    /// Takes entries from a leader.
    Follower,
    /// Asks whether it would be elected; the members that would vote for it.
    PreCandidate(BTreeSet<NodeId>),
    /// Stands for election; the members that voted for it.
    Candidate(BTreeSet<NodeId>),
    /// Leads.
    Leader(Leadership),
}

/// What a leader knows.
#[derive(Debug, Clone)]
pub(crate) struct Leadership {
    /// The other members.
    pub(crate) peers: BTreeMap<NodeId, PeerProgress>,
    /// Since when there has been work, or the leadership began: silence counts from here.
    pub(crate) busy_since: Moment,
}

/// How far another member is.
#[derive(Debug, Clone)]
pub(crate) struct PeerProgress {
    /// Next entry to send.
    pub(crate) next: EntryIndex,
    /// Last entry known to match.
    pub(crate) matched: EntryIndex,
    /// Last entry that the member knows to be in the log.
    pub(crate) logged: EntryIndex,
    /// The append that is not answered yet.
    pub(crate) in_flight: Option<u64>,
    /// Whether it lacks entries that only the log has; it is not pressed until it has read them.
    pub(crate) is_stalled: bool,
    /// Whether it left the group for good.
    pub(crate) is_retired: bool,
    /// When the last append was sent.
    pub(crate) sent_at: Moment,
    /// When the latest append that was answered had been sent.
    pub(crate) heard_at: Option<Moment>,
}

impl PeerProgress {
    /// A member of which nothing is known.
    pub(crate) fn new(next: EntryIndex, now: Moment) -> Self {
        Self {
            next,
            matched: EntryIndex(0),
            logged: EntryIndex(0),
            in_flight: None,
            is_stalled: false,
            is_retired: false,
            sent_at: now,
            heard_at: None,
        }
    }
}
