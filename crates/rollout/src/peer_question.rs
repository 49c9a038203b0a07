//! Chooses where a caller's question about a batch is answered: from this node's own copy, by the node that runs the
//! batch (its owner), or from the log.
//!
//! Each question of a trainer may reach a different node. A node that reads a batch from the log must first read the
//! items of the whole partition, about a megabyte, over its own narrow link; the owner already has them. The owner
//! confirms its answers with the log before it gives them, so a wrong choice here costs only time.

use crate::Millis;

/// Maximum age of the owner's last heartbeat, in addition to the usual interval between two reads, for the owner to be
/// asked. Owners send a heartbeat every 0.3 s.
const MAX_SILENCE_MS: Millis = 1_300;
/// The same while this node can't read the control stream: no heartbeat arrives here then, also from live owners.
const MAX_SILENCE_WITHOUT_LOG_MS: Millis = 30_000;
/// Backoff after the first failure of a node; doubles with each further failure.
const INITIAL_FAILURE_BACKOFF_MS: Millis = 500;
/// Maximum backoff after failures of a node.
const MAX_FAILURE_BACKOFF_MS: Millis = 8_000;
/// Backoff after a node declined a request.
const REFUSAL_BACKOFF_MS: Millis = 200;

/// What this node knows of a batch and its owner, as the input of [`choose_route`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuestionFacts {
    /// Whether this node already follows the batch's partition and is up to date, so that it can answer from its copy.
    pub can_answer_locally: bool,
    /// The node that runs the batch; `None` if it is this node, is unknown or has announced no address.
    pub owner: Option<OwnerFacts>,
    /// Whether this node's view of the control stream, which carries the heartbeats of other nodes, is current.
    pub is_control_stream_current: bool,
    /// Usual interval between two reads of the control stream, in milliseconds.
    pub read_interval_ms: Millis,
}

/// What this node knows of the node that runs a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerFacts {
    /// Milliseconds since its last heartbeat was read.
    pub silent_ms: Millis,
    /// Whether it is in backoff after it failed or declined a request.
    pub is_paused: bool,
}

/// Where a question is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuestionRoute {
    /// From this node's own copy, which is confirmed with the log.
    LocalCopy,
    /// By the node that runs the batch; from the log if that gives no answer.
    Owner,
    /// From the log: this node first reads the batch.
    Log,
}

/// Chooses where a question is answered.
pub fn choose_route(facts: &QuestionFacts) -> QuestionRoute {
    if facts.can_answer_locally {
        return QuestionRoute::LocalCopy;
    }
    match facts.owner {
        Some(owner) if !owner.is_paused && owner.silent_ms <= max_silence_ms(facts) => {
            QuestionRoute::Owner
        }
        _ => QuestionRoute::Log,
    }
}

fn max_silence_ms(facts: &QuestionFacts) -> Millis {
    match facts.is_control_stream_current {
        true => MAX_SILENCE_MS + facts.read_interval_ms,
        false => MAX_SILENCE_WITHOUT_LOG_MS,
    }
}

/// Backoff of this node towards another node, from the outcomes of its recent requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerBackoff {
    failures: u32,
    paused_until: Millis,
}

impl PeerBackoff {
    /// Records an answer, which ends the backoff.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Records that the node declined a request.
    pub fn record_refusal(&mut self, now: Millis) {
        self.failures = 0;
        self.paused_until = now + REFUSAL_BACKOFF_MS;
    }

    /// Records that the node gave no answer.
    pub fn record_failure(&mut self, now: Millis) {
        let backoff_ms = INITIAL_FAILURE_BACKOFF_MS.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        self.paused_until = now + backoff_ms.min(MAX_FAILURE_BACKOFF_MS);
    }

    /// Whether the node is not to be asked at `now`.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }
}
