//! Questions sent and not yet answered, and the order in which members are probed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::ids::NodeId;
use rand::Rng;
use rand::seq::SliceRandom;

/// Why a question was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// To detect a failure of the member.
    Probe {
        /// Whether other members were asked already to repeat it.
        repeated: bool,
    },
    /// To hear the member's configuration offset.
    Hear,
    /// To answer another member that asked for it.
    Relay {
        /// The asker's address.
        asker: SocketAddr,
        /// The asker's number.
        sequence: u64,
    },
    /// Another member was asked to probe the target.
    Indirect {
        /// Number of the probe that this repeats.
        probe: u64,
    },
}

/// A question sent and not yet answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Question {
    pub(crate) target: NodeId,
    pub(crate) sent_at: Moment,
    pub(crate) purpose: Purpose,
}

/// All questions sent and not yet answered.
#[derive(Debug, Clone)]
pub(crate) struct Questions {
    next_sequence: u64,
    open: BTreeMap<u64, Question>,
}

impl Questions {
    /// Numbers start at a random place, so that a late answer to an earlier process at the same
    /// address is not taken for an answer to this one.
    pub(crate) fn new(rng: &mut impl Rng) -> Self {
        Self {
            next_sequence: u64::from(rng.random::<u32>()),
            open: BTreeMap::new(),
        }
    }

    /// Notes a question and returns its number.
    pub(crate) fn ask(&mut self, now: Moment, target: NodeId, purpose: Purpose) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let question = Question {
            target,
            sent_at: now,
            purpose,
        };
        self.open.insert(sequence, question);
        sequence
    }

    /// Takes the question that an answer belongs to.
    pub(crate) fn answer(&mut self, sequence: u64) -> Option<Question> {
        self.open.remove(&sequence)
    }

    /// Probes without an answer after `timeout` that other members have not been asked to repeat;
    /// they count as repeated from now on.
    pub(crate) fn take_probes_to_repeat(
        &mut self,
        now: Moment,
        timeout: Duration,
    ) -> Vec<(u64, NodeId)> {
        let mut due = Vec::new();
        for (sequence, question) in &mut self.open {
            let is_new = question.purpose == Purpose::Probe { repeated: false };
            if is_new && now.since(question.sent_at) >= timeout {
                question.purpose = Purpose::Probe { repeated: true };
                due.push((*sequence, question.target));
            }
        }
        due
    }

    /// Drops questions without an answer after `timeout`; returns the targets of probes.
    pub(crate) fn take_failed(&mut self, now: Moment, timeout: Duration) -> Vec<NodeId> {
        let mut failed = Vec::new();
        self.open.retain(|_, question| {
            if now.since(question.sent_at) < timeout {
                return true;
            }
            if matches!(question.purpose, Purpose::Probe { .. }) {
                failed.push(question.target);
            }
            false
        });
        failed
    }

    /// Drops all questions: this process did not run, so silence proves nothing.
    pub(crate) fn clear(&mut self) {
        self.open.clear();
    }
}

/// Goes round the members in a random order, newly shuffled each round.
#[derive(Debug, Clone, Default)]
pub(crate) struct ProbeOrder {
    remaining: Vec<NodeId>,
}

impl ProbeOrder {
    /// The next member; `members` gives the members for a new round.
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
