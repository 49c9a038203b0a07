//! Records of a claim stream: who may run a not-repeatable request, and what came of it.

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, IdempotencyKey, RequestId};
use crate::refusal::Refusal;
use crate::request::WholeAnswer;

/// One record of a claim stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// The attempt asks to run the request; the first one that is not abandoned may.
    Claim(Claim),
    /// The attempt gives up and will never dispatch. Written by its claimant only.
    Abandon {
        /// Key of the request.
        key: IdempotencyKey,
        /// Attempt given up.
        attempt: AttemptId,
    },
    /// What came of the attempt.
    Outcome {
        /// Key of the request.
        key: IdempotencyKey,
        /// Attempt that ran.
        attempt: AttemptId,
        /// Answer or failure.
        outcome: ClaimOutcome,
    },
}

/// An attempt's wish to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Key of the request.
    pub key: IdempotencyKey,
    /// Attempt that wants to run it; its node is the claimant.
    pub attempt: AttemptId,
    /// Identifier of the caller request.
    pub request: RequestId,
    /// Hash of the request body, so that a key used for another request is noticed.
    pub fingerprint: u64,
}

/// What came of an attempt that was allowed to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The whole answer.
    Answer(WholeAnswer),
    /// It failed after it may have run.
    Failed(Refusal),
}

/// What a partition owner tells a claimant, after reading the stream back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The attempt is the first; it may dispatch.
    Granted,
    /// Another attempt holds the key and has no outcome yet.
    HeldBy(AttemptId),
    /// The request has run; this is what came of it.
    Done(ClaimOutcome),
    /// The attempt was abandoned.
    Abandoned,
    /// The key was used for a request with another fingerprint.
    KeyReused,
}
