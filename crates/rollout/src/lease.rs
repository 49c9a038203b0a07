//! Leases that are stored in a log. The order of the log decides which node holds a lease: a claim counts only
//! if its term is higher than the current one. So of several claims of one term the first in the log wins, and a
//! claim that is appended with a delay changes nothing.
//!
//! Time does not decide which node is the holder. It only decides when other nodes claim the lease: after they
//! have read no heartbeat of the holder for some time, by their own monotonic clocks, in a log that they have
//! read to its end.

use crate::Millis;
use crate::ids::NodeId;

/// Number of a period in which one node holds the lease. It rises with each new holder and is the lease's
/// fencing token.
pub type Term = u64;

/// The state of a lease, as a reader of the log computes it.
#[derive(Debug, Clone, Default)]
pub struct LeaseState {
    term: Term,
    holder: Option<NodeId>,
    last_seen: Millis,
}

impl LeaseState {
    /// Creates a lease in term 0, with or without a holder.
    pub fn new(holder: Option<NodeId>, now: Millis) -> Self {
        Self {
            term: 0,
            holder,
            last_seen: now,
        }
    }

    /// Restores a lease from a checkpoint, as if a heartbeat had been read at `now`.
    pub fn restored(term: Term, holder: Option<NodeId>, now: Millis) -> Self {
        Self {
            term,
            holder,
            last_seen: now,
        }
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The node that holds the lease; `None` if it was released or never claimed.
    pub fn holder(&self) -> Option<&NodeId> {
        self.holder.as_ref()
    }

    /// When this reader last read a claim, a heartbeat or the release of the holder, on its own clock.
    pub fn last_seen(&self) -> Millis {
        self.last_seen
    }

    /// Whether `node` holds the lease.
    pub fn is_held_by(&self, node: &NodeId) -> bool {
        self.holder.as_ref() == Some(node)
    }

    /// Applies a claim and returns whether it counts. A node claims the term after the newest one that it has
    /// read, so of several claims of one term the first counts, and a delayed one does not.
    pub fn claim(&mut self, term: Term, holder: NodeId, now: Millis) -> bool {
        let counts = term > self.term;
        if counts {
            *self = Self {
                term,
                holder: Some(holder),
                last_seen: now,
            };
        }
        counts
    }

    /// Applies a heartbeat and returns whether it counts. A heartbeat of a later term than the current one is from
    /// a holder whose claim is no longer in the log, and counts as a claim too.
    pub fn renew(&mut self, term: Term, holder: &NodeId, now: Millis) -> bool {
        if term > self.term {
            return self.claim(term, holder.clone(), now);
        }
        let counts = term == self.term && self.is_held_by(holder);
        if counts {
            self.last_seen = now;
        }
        counts
    }

    /// Sets the holder that a node reports itself to be, without a change of term. This is for copies of a lease
    /// that another part of the log decides.
    pub fn set_reported_holder(&mut self, holder: &NodeId, now: Millis) {
        if !self.is_held_by(holder) {
            self.holder = Some(holder.clone());
        }
        self.last_seen = now;
    }

    /// Applies a release and returns whether it counts: it does if it names the current term and the lease is
    /// held.
    pub fn release(&mut self, term: Term, now: Millis) -> bool {
        let counts = term == self.term && self.holder.is_some();
        if counts {
            self.holder = None;
            self.last_seen = now;
        }
        counts
    }

    /// Returns the time at which `node` may claim the lease, unless it reads a heartbeat of the holder before.
    ///
    /// `readable_since` is the time since which `node` has read the log without interruption. While the log
    /// cannot be read, missing heartbeats do not show that the holder is gone. If the holder is an earlier
    /// incarnation on the same machine as `node`, it is known to be gone, so `node` need not wait.
    pub fn claimable_at(
        &self,
        node: &NodeId,
        readable_since: Millis,
        timing: &ClaimTiming,
    ) -> Millis {
        match &self.holder {
            Some(holder) if holder == node => Millis::MAX,
            Some(holder) if holder.machine == node.machine => self.last_seen,
            Some(_) => self.last_seen.max(readable_since) + timing.silence_ms + timing.spread_ms,
            None => self.last_seen + timing.spread_ms / 2,
        }
    }
}

/// The delays before a node claims a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimTiming {
    /// Time without a heartbeat of the holder after which the lease may be claimed, in milliseconds.
    pub silence_ms: Millis,
    /// Additional delay of this node in milliseconds. It differs between nodes, so that they don't all claim at
    /// once. A lease without a holder is claimed after half of it.
    pub spread_ms: Millis,
}
