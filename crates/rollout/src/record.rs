//! Records of a log partition that holds batches. A record may be appended more than once and with a delay;
//! the fold over the partition (`crate::fold`) ignores duplicates.

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
    /// Version of the weights that generated the event.
    pub version: Version,
    /// The event's data, as the back end sent it.
    pub data: Bytes,
}

/// Why an item was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GiveUpReason {
    /// A back end answered that the request can never succeed.
    Impossible,
    /// Runs or reward calls failed as many times as the route allows.
    AttemptsUsed,
    /// The item was not completed within the time the route allows.
    TooLate,
}

/// The final outcome of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The output is complete, and its reward call, if any, has succeeded.
    Completed {
        /// Signature of the reward call; `None` if the item has no reward call.
        score: Option<String>,
    },
    /// The item will not be run again and has no output.
    GivenUp(GiveUpReason),
}

/// A record of a log partition that holds batches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchRecord {
    /// A batch of an anonymous client was accepted: the deployment has no API keys.
    Submitted {
        /// The batch as the client submitted it.
        submission: Arc<Submission>,
        /// The node that runs the batch from the start; `None` if any node may claim it.
        owner: Option<NodeId>,
    },
    /// A node claims the lease on a batch.
    Claimed {
        /// The claimed batch.
        batch: BatchId,
        /// The claimed term; the claim counts only if it is higher than the current term.
        term: Term,
        /// The node that claims the batch.
        owner: NodeId,
    },
    /// The owner releases its lease on a batch.
    Released {
        /// The released batch.
        batch: BatchId,
        /// The owner's term; the release counts only if it is the current term.
        term: Term,
    },
    /// A run produced more output.
    Progress {
        /// The batch of the item.
        batch: BatchId,
        /// The item that the output belongs to.
        item: ItemId,
        /// The run that produced the output.
        run: RunId,
        /// Number of events of earlier runs that the run continues.
        resumed_from: u32,
        /// Number of events of the item before the first of `events`.
        from: u32,
        /// The new events, in order.
        events: Vec<OutputEvent>,
    },
    /// The output so far is dropped because no back end can continue it: the result must come from one version
    /// of the weights, and no back end has that version any more.
    Restarted {
        /// The batch of the item.
        batch: BatchId,
        /// The item whose output is dropped.
        item: ItemId,
        /// The run that generated the newest part of the dropped output.
        run: RunId,
        /// Number of events that are dropped.
        events: u32,
    },
    /// An item got its final outcome.
    Finished {
        /// The batch of the item.
        batch: BatchId,
        /// The finished item.
        item: ItemId,
        /// The run that finished the item.
        run: RunId,
        /// Number of events of earlier runs that the run continued.
        resumed_from: u32,
        /// Number of events of the whole output.
        events: u32,
        /// Whether the item was completed or given up.
        outcome: Outcome,
    },
    /// An anonymous client ended the batch: the deployment has no API keys.
    Ended {
        /// The ended batch.
        batch: BatchId,
    },
    /// A batch of a tenant was accepted.
    SubmittedFor {
        /// The tenant that the batch belongs to.
        tenant: TenantName,
        /// The batch as the client submitted it.
        submission: Arc<Submission>,
        /// The node that runs the batch from the start; `None` if any node may claim it.
        owner: Option<NodeId>,
    },
    /// A client with an API key ended the batch. The record counts only if the batch belongs to one of the
    /// client's tenants, or to none.
    EndedFor {
        /// Tenants for which the client may act.
        tenants: Vec<TenantName>,
        /// The ended batch.
        batch: BatchId,
    },
}

impl Stored for BatchRecord {
    const DESCRIPTION: &'static str = "a record of a batch";
}

impl BatchRecord {
    /// Returns the id of the batch that the record belongs to.
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
