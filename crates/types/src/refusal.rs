//! Why a request got no answer, and whether it ran.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{EngineName, JobName, PoolName};

/// Whether a refused or failed request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// It certainly did not run and will not.
    NotRun,
    /// It ran, at least in part.
    Ran,
    /// Nobody can tell.
    Unknown,
}

/// A final answer without a result.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{reason}")]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub execution: Execution,
    /// When the caller may come back, if coming back can help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that certainly did not run.
    pub fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            execution: Execution::NotRun,
            retry_after,
        }
    }

    /// A failure of which nobody can tell whether the request ran.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            execution: Execution::Unknown,
            retry_after: None,
        }
    }
}

/// Reasons for a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The node has not heard the end of the configuration for the freshness bound.
    #[error("configuration may be stale on this node")]
    ConfigStale,
    /// The node is stopping.
    #[error("node is stopping")]
    Stopping,
    /// No such pool.
    #[error("pool {0} does not exist")]
    UnknownPool(PoolName),
    /// No such job.
    #[error("job {0} does not exist")]
    UnknownJob(JobName),
    /// The pool has no engine that takes work.
    #[error("pool {0} has no engine that takes new work")]
    NoEngine(PoolName),
    /// Every candidate is full.
    #[error("pool {0} is at its capacity")]
    Overloaded(PoolName),
    /// The caller has too many requests in flight.
    #[error("caller has too many requests in flight")]
    CallerLimit,
    /// The deadline passed.
    #[error("deadline passed")]
    DeadlineExceeded,
    /// The engine is leaving and takes no new work.
    #[error("engine {0} takes no new work")]
    EngineDraining(EngineName),
    /// The engine failed after it had the request.
    #[error("engine {0} failed")]
    EngineFailed(EngineName),
    /// The engine could not be reached; not one byte of the request was sent.
    #[error("engine {0} cannot be reached")]
    EngineUnreachable(EngineName),
    /// The engine has no version within the staleness bound.
    #[error("no engine has a weight version within the bound")]
    VersionTooOld,
    /// The log, needed for an at-most-once request, is away.
    #[error("the log service is away")]
    LogAway,
    /// The home or the partition owner did not answer.
    #[error("a peer did not answer")]
    PeerUnreachable,
    /// Another attempt under the same key runs or ran, and its outcome cannot be known.
    #[error("outcome of the earlier attempt under this key is unknown")]
    OutcomeUnknown,
    /// The same key came with a different request.
    #[error("the idempotency key was used for a different request")]
    KeyReused,
    /// Given up to make room for more urgent work.
    #[error("preempted by more urgent work")]
    Preempted,
    /// The request is malformed.
    #[error("{0}")]
    BadRequest(BadRequest),
}

/// What is wrong with a malformed request.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BadRequest {
    /// The body is larger than allowed.
    #[error("body exceeds {limit_bytes} bytes")]
    BodyTooLarge {
        /// Limit in bytes.
        limit_bytes: u64,
    },
    /// The body is not the JSON expected.
    #[error("body is not a valid request: {detail}")]
    Malformed {
        /// What the parser said.
        detail: String,
    },
    /// A header has a value that is not allowed.
    #[error("header {header} has value {value}, allowed: {allowed}")]
    Header {
        /// Header name.
        header: String,
        /// Value given.
        value: String,
        /// Allowed values.
        allowed: String,
    },
}
