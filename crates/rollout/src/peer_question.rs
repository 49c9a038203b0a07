//! Where a caller's question about a batch goes: to this node's own copy, to the node that runs the batch, or to
//! the log.
//!
//! The load that this answers: each question of a trainer reaches another node, and a node that reads a batch from
//! the log first reads the items of the whole partition, some megabyte, over its own small link. The node that runs
//! the batch has them. Its answers need its own word with the log, so a wrong choice here costs time only.

use crate::Millis;

/// Time without a sign of life, beside the usual time between two looks, from which on a node is not asked: it
/// sends one each 0.3 s.
const LONGEST_SILENCE_MS: Millis = 1_300;
/// The same while the control stream cannot be read here, so that silence of others says little.
const LONGEST_SILENCE_WITHOUT_LOG_MS: Millis = 30_000;
/// Time for which a node is not asked after it failed once; doubles with each further failure.
const FAILED_PAUSE_MS: Millis = 500;
/// Longest time for which a node is not asked.
const LONGEST_PAUSE_MS: Millis = 8_000;
/// Time for which a node is not asked after it declined.
const DECLINED_PAUSE_MS: Millis = 200;

/// What this node knows of a batch and of who runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuestionFacts {
    /// Whether this node reads the batch's partition anyhow, or can answer from what it has read.
    pub can_answer_locally: bool,
    /// The other node that runs the batch and told its address.
    pub owner: Option<OwnerFacts>,
    /// Whether the control stream is read here, in which others tell that they are alive.
    pub is_control_stream_current: bool,
    /// Usual milliseconds between two reads of it.
    pub read_interval_ms: Millis,
}

/// What is known of the node that runs a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerFacts {
    /// Milliseconds since a sign of its life was read.
    pub silent_ms: Millis,
    /// Whether it is left alone after it failed or declined.
    pub is_paused: bool,
}

/// Where a question goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuestionRoute {
    /// To this node's own copy, which the log confirms.
    LocalCopy,
    /// To the node that runs the batch; if that brings no answer, to the log.
    Owner,
    /// To the log, from which this node reads the batch.
    Log,
}

/// Where a question goes.
pub fn choose_route(facts: &QuestionFacts) -> QuestionRoute {
    if facts.can_answer_locally {
        return QuestionRoute::LocalCopy;
    }
    match facts.owner {
        Some(owner) if !owner.is_paused && owner.silent_ms <= longest_silence_ms(facts) => {
            QuestionRoute::Owner
        }
        _ => QuestionRoute::Log,
    }
}

fn longest_silence_ms(facts: &QuestionFacts) -> Millis {
    match facts.is_control_stream_current {
        true => LONGEST_SILENCE_MS + facts.read_interval_ms,
        false => LONGEST_SILENCE_WITHOUT_LOG_MS,
    }
}

/// How another node has answered lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerBackoff {
    failures: u32,
    paused_until: Millis,
}

impl PeerBackoff {
    /// It answered.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// It said that it does not answer this.
    pub fn record_refusal(&mut self, now: Millis) {
        self.failures = 0;
        self.paused_until = now + DECLINED_PAUSE_MS;
    }

    /// No answer came from it.
    pub fn record_failure(&mut self, now: Millis) {
        let doubled = FAILED_PAUSE_MS.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        self.paused_until = now + doubled.min(LONGEST_PAUSE_MS);
    }

    /// Whether it is left alone.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }
}
