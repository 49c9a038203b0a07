//! Requests between nodes and their answers, encoded with postcard.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::claim::{Claim, ClaimOutcome, ClaimVerdict};
use crate::config::ConfigSnapshot;
use crate::decision::DecisionRecord;
use crate::ids::{
    AttemptId, EngineName, IdempotencyKey, LogOffset, NodeId, PoolName, SampleId, VersionNumber,
};
use crate::refusal::Refusal;
use crate::request::WholeAnswer;
use crate::resource::PriorityClass;
use crate::version::VersionSegments;

/// A request from one node to another, with the sender's configuration offset.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerRequest {
    /// Sender.
    pub from: NodeId,
    /// Highest configuration offset the sender has applied.
    pub config_offset: LogOffset,
    /// What is asked.
    pub body: PeerRequestBody,
}

/// What one node asks of another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequestBody {
    /// Asks an engine's home for a permit to run work there.
    Admit(AdmitRequest),
    /// Tells the home that permitted work ended, was cancelled or was never sent.
    Release(ReleaseRequest),
    /// Asks the owner of a partition to claim a key for an attempt.
    Claim(Claim),
    /// Tells the owner that the attempt will never dispatch.
    AbandonClaim {
        /// Key claimed.
        key: IdempotencyKey,
        /// Attempt given up.
        attempt: AttemptId,
    },
    /// Tells the owner what came of a claimed attempt.
    CompleteClaim {
        /// Key claimed.
        key: IdempotencyKey,
        /// Attempt that ran.
        attempt: AttemptId,
        /// What came of it.
        outcome: ClaimOutcome,
    },
    /// Keeps the answer of a repeatable request for repeats, as long as memory allows.
    KeepAnswer {
        /// Key of the request.
        key: IdempotencyKey,
        /// Hash of the request body.
        fingerprint: u64,
        /// The answer.
        answer: WholeAnswer,
    },
    /// Asks for a kept answer of a repeatable request.
    FetchAnswer {
        /// Key of the request.
        key: IdempotencyKey,
        /// Hash of the request body.
        fingerprint: u64,
    },
    /// Asks for configuration records from an offset on.
    ConfigRecords {
        /// First offset wanted.
        from: LogOffset,
    },
    /// Asks for the recent decisions about a subject.
    Explain {
        /// Request id, sample id or engine name.
        subject: String,
    },
    /// Asks the holder of a permit to cancel its training work, which will resume later.
    Preempt(AttemptId),
    /// Asks a node to run a sample and commit it; answered when it ends. Asking again while it runs
    /// joins the run under way.
    RunSample(Box<SampleAssignment>),
    /// Asks only for the configuration offset that every answer carries.
    ConfigOffset,
    /// Asks which engines' machines are leaving, for a node that cannot read the machine list.
    LeavingMachines,
}

/// Asks for a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmitRequest {
    /// Attempt to be admitted; asking twice with the same attempt gives the same permit.
    pub attempt: AttemptId,
    /// Engine wanted.
    pub engine: EngineName,
    /// Class of the work.
    pub class: PriorityClass,
    /// Tokens of the prompt and of the resumed part.
    pub context_tokens: u32,
    /// Upper bound on tokens still to be generated.
    pub max_new_tokens: u32,
    /// Oldest version the work may run on; `None` accepts any.
    pub oldest_version: Option<VersionNumber>,
    /// How long the asker is ready to wait in the queue.
    pub patience: Duration,
}

/// A sample to be run by one node on behalf of its job's owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SampleAssignment {
    /// Slot the sample is for.
    pub id: SampleId,
    /// Index into the job's prompts.
    pub prompt_index: u32,
    /// Prompt text.
    pub prompt: String,
    /// Pool whose engines run it.
    pub pool: PoolName,
    /// Upper bound on generated tokens.
    pub max_tokens: u32,
    /// How many versions older than the newest one any of its tokens may be.
    pub staleness_bound: u64,
    /// Whether it is among the last samples of its step.
    pub straggler: bool,
    /// What an earlier run left, to be resumed.
    pub progress: SampleProgress,
}

/// What the runs of a sample have produced so far.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct SampleProgress {
    /// Token ids.
    pub tokens: Vec<u32>,
    /// Natural-log probability of each token; empty when the engine gives none.
    pub log_probabilities: Vec<f32>,
    /// The tokens as text.
    pub text: String,
    /// Versions that produced the tokens.
    pub segments: VersionSegments,
}

/// How the run of a sample ended at the node that ran it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SampleEnd {
    /// It is in the job's stream; whether it counts is decided there.
    Committed {
        /// Offset of its record.
        offset: LogOffset,
        /// Number of its tokens.
        token_count: u32,
    },
    /// The node is stopping and hands back what there is.
    Suspended(SampleProgress),
    /// The node cannot run it: it does not know the job or its pool (yet).
    NotRunnable,
}

/// Ends a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Attempt that held the permit.
    pub attempt: AttemptId,
    /// Engine it was for.
    pub engine: EngineName,
    /// How the work ended, as far as the home should know.
    pub end: ReleaseReason,
    /// Tokens of the whole answer, when it is whole.
    pub generated_tokens: Option<u32>,
}

/// How permitted work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseReason {
    /// Finished or given up by the asker.
    Ended,
    /// The engine refused the connection.
    EngineUnreachable,
    /// The engine broke off.
    EngineFailed,
}

/// A permit to dispatch one attempt to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Attempt admitted.
    pub attempt: AttemptId,
    /// Engine it may go to.
    pub engine: EngineName,
    /// Version the engine had, as known to the home.
    pub version: Option<VersionNumber>,
    /// How long, counted from when the asker sent its request, the dispatch may begin.
    pub dispatch_within: Duration,
    /// Requests running and queued at the engine after this one; a hint for later choices.
    pub load: u32,
    /// Milliseconds waited in the queue.
    pub queued_ms: u64,
}

/// Answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerResponse {
    /// Highest configuration offset the answering node has applied.
    pub config_offset: LogOffset,
    /// The answer.
    pub body: PeerResponseBody,
}

/// What a node answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponseBody {
    /// The work may be dispatched.
    Admitted(Permit),
    /// The work may not be dispatched here now.
    Refused {
        /// Why.
        refusal: Refusal,
        /// Requests running and queued at the engine; a hint for later choices.
        load: u32,
    },
    /// The state of a claim.
    Claim(ClaimVerdict),
    /// How the run of a sample ended.
    SampleEnded(SampleEnd),
    /// The kept answer, if there is one.
    KeptAnswer(Option<WholeAnswer>),
    /// Configuration records, or a snapshot when the records are no longer kept.
    ConfigRecords {
        /// Snapshot to start from, when the records asked for are no longer kept.
        snapshot: Option<ConfigSnapshot>,
        /// Raw records with their offsets, in order.
        records: Vec<RawRecord>,
    },
    /// Recent decisions.
    Decisions(Vec<DecisionRecord>),
    /// Addresses of engines whose machines are leaving; `None` when the node cannot read the
    /// machine list either.
    LeavingMachines(Option<BTreeSet<SocketAddr>>),
    /// Done.
    Done,
    /// The node could not do it.
    Failed(PeerFailure),
}

/// A log record with its offset, not decoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawRecord {
    /// Offset in its stream.
    pub offset: LogOffset,
    /// Bytes as appended.
    pub payload: bytes::Bytes,
}

/// Why a node could not serve a peer.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum PeerFailure {
    /// The node does not own the role by its view.
    #[error("not the owner")]
    NotOwner,
    /// The log is away, so the outcome is not known.
    #[error("the log service is away")]
    LogAway,
    /// The node is stopping.
    #[error("stopping")]
    Stopping,
    /// The request cannot be understood.
    #[error("malformed request")]
    Malformed,
}
