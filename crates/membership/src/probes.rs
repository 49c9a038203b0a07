//! Requests without an answer yet, and the order in which members are probed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::ids::NodeId;
use rand::Rng;
use rand::seq::SliceRandom;

/// Why a request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A direct ping to detect a failure of the member.
    Probe {
        /// Whether other members were already asked to repeat the probe.
        repeated: bool,
    },
    /// A ping to get the member's state and configuration offset; no answer makes no suspect.
    Poll,
    /// A ping on behalf of another member, which gets the answer.
    Relay {
        /// Address of the requesting member.
        requester: SocketAddr,
        /// Sequence number of the requesting member's request.
        sequence: u64,
    },
    /// A request to another member to probe the target.
    Indirect {
        /// Sequence number of the direct probe that this repeats.
        probe: u64,
    },
}

/// A request without an answer yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PendingRequest {
    pub(crate) target: NodeId,
    pub(crate) sent_at: Moment,
    pub(crate) purpose: Purpose,
}

/// All requests without an answer yet, by sequence number.
#[derive(Debug, Clone)]
pub(crate) struct PendingRequests {
    next_sequence: u64,
    by_sequence: BTreeMap<u64, PendingRequest>,
}

impl PendingRequests {
    /// Sequence numbers start at a random value, so that a late answer to an earlier process at the
    /// same address is not matched to a request of this process.
    pub(crate) fn new(rng: &mut impl Rng) -> Self {
        Self {
            next_sequence: u64::from(rng.random::<u32>()),
            by_sequence: BTreeMap::new(),
        }
    }

    /// Adds a request and returns its sequence number.
    pub(crate) fn add(&mut self, now: Moment, target: NodeId, purpose: Purpose) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let request = PendingRequest {
            target,
            sent_at: now,
            purpose,
        };
        self.by_sequence.insert(sequence, request);
        sequence
    }

    /// Removes and returns the request that an answer belongs to.
    pub(crate) fn take(&mut self, sequence: u64) -> Option<PendingRequest> {
        self.by_sequence.remove(&sequence)
    }

    /// Returns the probes without an answer after `timeout` that other members have not been asked
    /// to repeat, and marks them as repeated.
    pub(crate) fn take_probes_to_repeat(
        &mut self,
        now: Moment,
        timeout: Duration,
    ) -> Vec<(u64, NodeId)> {
        let mut due = Vec::new();
        for (sequence, request) in &mut self.by_sequence {
            let is_new = request.purpose == Purpose::Probe { repeated: false };
            if is_new && now.since(request.sent_at) >= timeout {
                request.purpose = Purpose::Probe { repeated: true };
                due.push((*sequence, request.target));
            }
        }
        due
    }

    /// Removes requests without an answer after `timeout`; returns the targets of direct probes.
    pub(crate) fn take_expired(&mut self, now: Moment, timeout: Duration) -> Vec<NodeId> {
        let mut failed = Vec::new();
        self.by_sequence.retain(|_, request| {
            if now.since(request.sent_at) < timeout {
                return true;
            }
            if matches!(request.purpose, Purpose::Probe { .. }) {
                failed.push(request.target);
            }
            false
        });
        failed
    }

    /// Removes all requests. After a suspension of this process, a missing answer is no evidence of
    /// a failure.
    pub(crate) fn clear(&mut self) {
        self.by_sequence.clear();
    }
}

/// Iterates over the members in random order, reshuffled in each round.
#[derive(Debug, Clone, Default)]
pub(crate) struct ProbeOrder {
    remaining: Vec<NodeId>,
}

impl ProbeOrder {
    /// Returns the next member; `members` returns the members for a new round.
    pub(crate) fn next(
        &mut self,
        rng: &mut impl Rng,
        members: impl FnOnce() -> Vec<NodeId>,
    ) -> Option<NodeId> {
        if self.remaining.is_empty() {
            self.remaining = members();
            self.remaining.shuffle(rng);
        }
        self.remaining.pop()
    }
}
