//! Records of a partition of batches. Each may be appended more than once, and late: the fold
//! (`crate::fold`) ignores every repetition.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::batch::Submission;
use crate::ids::{BatchId, ItemId, NodeId, RunId, TenantName, Version};
use crate::lease::Term;
use crate::stored::Stored;

/// One event of an item's output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputEvent {
    /// Version of the weights that made it.
    pub version: Version,
    /// Its data.
    pub data: Bytes,
}

/// Why an item was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GiveUpReason {
    /// A back end said that it can never be done.
    Impossible,
    /// Runs or reward calls failed as often as the route allows.
    AttemptsUsed,
    /// It was not done within the time the route allows.
    TooLate,
}

/// How an item ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Its output is whole; `score` is the signature of its reward call.
    Completed {
        /// Signature of the reward call, if the item has one.
        score: Option<String>,
    },
    /// It was given up.
    GivenUp(GiveUpReason),
}

/// A record of a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchRecord {
    /// A batch was accepted.
    Submitted {
        /// The batch.
        submission: Arc<Submission>,
        /// The node that runs it from the start; `None` if any may.
        owner: Option<NodeId>,
    },
    /// A node takes a batch over.
    Claimed {
        /// Batch.
        batch: BatchId,
        /// The claimed term; counts only if it is higher than the current one.
        term: Term,
        /// The new owner.
        owner: NodeId,
    },
    /// The owner gives the batch up.
    Released {
        /// Batch.
        batch: BatchId,
        /// The owner's term.
        term: Term,
    },
    /// More output of a run.
    Progress {
        /// Batch.
        batch: BatchId,
        /// Item.
        item: ItemId,
        /// The run.
        run: RunId,
        /// Events the run was given to go on from.
        resumed_from: u32,
        /// Events before the first of `events`.
        from: u32,
        /// The new events.
        events: Vec<OutputEvent>,
    },
    /// The output so far is dropped, because no back end can go on with it: a result that must come
    /// from one version, whose version is gone.
    Restarted {
        /// Batch.
        batch: BatchId,
        /// Item.
        item: ItemId,
        /// The run whose output is dropped.
        run: RunId,
        /// Events that are dropped.
        events: u32,
    },
    /// An item is done.
    Finished {
        /// Batch.
        batch: BatchId,
        /// Item.
        item: ItemId,
        /// The run that finished it.
        run: RunId,
        /// Events the run was given to go on from.
        resumed_from: u32,
        /// Events of the whole output.
        events: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// The caller ended the batch.
    Ended {
        /// Batch.
        batch: BatchId,
    },
    /// A batch of a tenant was accepted.
    SubmittedFor {
        /// The tenant.
        tenant: TenantName,
        /// The batch.
        submission: Arc<Submission>,
        /// The node that runs it from the start; `None` if any may.
        owner: Option<NodeId>,
    },
    /// A caller with a key ended the batch; counts only if the batch belongs to one of its tenants.
    EndedFor {
        /// Tenants for which the caller may act.
        tenants: Vec<TenantName>,
        /// Batch.
        batch: BatchId,
    },
}

impl Stored for BatchRecord {
    const DESCRIPTION: &'static str = "a record of a batch";
}

impl BatchRecord {
    /// The batch it concerns.
    pub fn batch(&self) -> &BatchId {
        match self {
            Self::Submitted { submission, .. } | Self::SubmittedFor { submission, .. } => {
                &submission.id
            }
            Self::Claimed { batch, .. }
            | Self::Released { batch, .. }
            | Self::Progress { batch, .. }
            | Self::Restarted { batch, .. }
            | Self::Finished { batch, .. }
            | Self::Ended { batch }
            | Self::EndedFor { batch, .. } => batch,
        }
    }
}
