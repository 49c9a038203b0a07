//! Requests about batches that nodes send each other, and the answers to them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{BatchId, ItemId, NodeId, TenantName, ZoneName};
use crate::stored::Stored;

/// A request to the node that runs a batch, sent on behalf of a caller that the sender has admitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRequest {
    /// The receiver that is meant. It is checked, as another incarnation on its machine (a restarted process) may listen
    /// at the address.
    pub to: NodeId,
    /// Zone of the sender, as data may have to stay in certain regions.
    pub zone: ZoneName,
    /// Every tenant as which the caller may act; empty for a caller without an API key.
    pub tenants: Vec<TenantName>,
    /// Batch that the question is about.
    pub batch: BatchId,
    /// What the sender wants to know or have done.
    pub question: PeerQuestion,
}

/// A question or an instruction about a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerQuestion {
    /// Read the results from a position on.
    Results {
        /// Position of the first result wanted.
        from: u64,
        /// Milliseconds to wait for a result if there is none yet.
        wait_ms: u64,
    },
    /// Read the submitted body of an item whose result is not listed yet.
    ItemBody {
        /// Id of the item.
        item: ItemId,
    },
    /// End the batch, so that no more of its items run.
    End,
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The answer for the caller, with status 200.
    Answered {
        /// Body of the response.
        body: Bytes,
        /// Whether the body is in the gateway's own format; otherwise it holds bytes that a caller submitted.
        is_own_format: bool,
    },
    /// The log didn't acknowledge the end of the batch, which may have been written nevertheless.
    MayBeDone,
    /// The node did nothing, and gives no information on the batch.
    Declined(PeerRefusal),
}

/// Why a node declines a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRefusal {
    /// The request cannot be decoded, or holds a value out of range.
    Unreadable,
    /// The request is meant for another incarnation of the node on this machine.
    OtherLife,
    /// This node doesn't run the batch, or knows no such batch that the caller can see.
    NotHere,
    /// The data must not leave its regions, and the sender is outside of them.
    Region,
    /// The number of requests in progress has reached this node's limit.
    Overloaded,
    /// The node could not confirm its state with the log, or the log didn't acknowledge a write.
    NotConfirmed,
}

impl PeerRefusal {
    /// Label of the refusal in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::OtherLife => "other_life",
            Self::NotHere => "not_here",
            Self::Region => "region",
            Self::Overloaded => "overloaded",
            Self::NotConfirmed => "not_confirmed",
        }
    }
}

impl Stored for PeerRequest {
    const DESCRIPTION: &'static str = "a question of another node";
}

impl Stored for PeerAnswer {
    const DESCRIPTION: &'static str = "an answer of another node";
}
