//! Leases kept in a log. The log's order decides who holds one: a claim counts only if its term is
//! higher than the current one, so of several claims of a term the first wins, and a claim that is
//! appended late changes nothing.
//!
//! Time never decides who the holder is. It decides when others claim: after they have seen no sign
//! of the holder for a while, on their own steady clocks, and in a log that they have read to its
//! end.

use crate::Millis;
use crate::ids::NodeId;

/// Number of a holder's turn; rises with each new holder.
pub type Term = u64;

/// A lease as a reader of the log sees it.
#[derive(Debug, Clone, Default)]
pub struct LeaseState {
    term: Term,
    holder: Option<NodeId>,
    seen: Millis,
}

impl LeaseState {
    /// A lease that starts with a holder, or without one.
    pub fn new(holder: Option<NodeId>, now: Millis) -> Self {
        Self {
            term: 0,
            holder,
            seen: now,
        }
    }

    /// A lease as a checkpoint tells of it.
    pub fn restored(term: Term, holder: Option<NodeId>, now: Millis) -> Self {
        Self {
            term,
            holder,
            seen: now,
        }
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The holder, if there is one.
    pub fn holder(&self) -> Option<&NodeId> {
        self.holder.as_ref()
    }

    /// When a sign of the holder was last seen.
    pub fn last_seen(&self) -> Millis {
        self.seen
    }

    /// Whether a node holds it.
    pub fn is_held_by(&self, node: &NodeId) -> bool {
        self.holder.as_ref() == Some(node)
    }

    /// Takes a claim; answers whether it counts: a claimant names the term after the newest that it
    /// knows, so of several claims of a term the first counts, and a late one does not.
    pub fn claim(&mut self, term: Term, holder: NodeId, now: Millis) -> bool {
        let counts = term > self.term;
        if counts {
            *self = Self {
                term,
                holder: Some(holder),
                seen: now,
            };
        }
        counts
    }

    /// Takes a sign of life; answers whether it counts. One of a later term than known is from a
    /// holder whose claim lies before the oldest record that is kept.
    pub fn keep(&mut self, term: Term, holder: &NodeId, now: Millis) -> bool {
        if term > self.term {
            return self.claim(term, holder.clone(), now);
        }
        let counts = term == self.term && self.is_held_by(holder);
        if counts {
            self.seen = now;
        }
        counts
    }

    /// Takes a node's word that it is the holder, where who holds the lease is decided elsewhere.
    pub fn names_itself(&mut self, holder: &NodeId, now: Millis) {
        if !self.is_held_by(holder) {
            self.holder = Some(holder.clone());
        }
        self.seen = now;
    }

    /// Takes a release; answers whether it counts.
    pub fn release(&mut self, term: Term, now: Millis) -> bool {
        let counts = term == self.term && self.holder.is_some();
        if counts {
            self.holder = None;
            self.seen = now;
        }
        counts
    }

    /// When `node` may claim the lease, unless a sign of its holder is seen before. The log has been
    /// readable without a gap since `readable_since`: in a gap, silence says nothing. An earlier life of
    /// the same machine is known to be gone, and needs no silence.
    pub fn claimable_at(
        &self,
        node: &NodeId,
        readable_since: Millis,
        timing: &ClaimTiming,
    ) -> Millis {
        match &self.holder {
            Some(holder) if holder == node => Millis::MAX,
            Some(holder) if holder.machine == node.machine => self.seen,
            Some(_) => self.seen.max(readable_since) + timing.silence_ms + timing.spread_ms,
            None => self.seen + timing.spread_ms / 2,
        }
    }
}

/// When a lease may be claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimTiming {
    /// Time without a sign of the holder.
    pub silence_ms: Millis,
    /// A node's own delay besides, so that nodes don't all claim at once.
    pub spread_ms: Millis,
}
