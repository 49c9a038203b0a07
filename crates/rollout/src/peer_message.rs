//! What nodes ask each other about batches, and what they answer.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{BatchId, ItemId, NodeId, TenantName, ZoneName};
use crate::stored::Stored;

/// A question to the node that runs a batch, on behalf of a caller that the asking node has admitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRequest {
    /// The node that is meant: another life of its machine may listen at the address.
    pub to: NodeId,
    /// Zone of the node that asks: data may be bound to regions.
    pub zone: ZoneName,
    /// Every tenant for which the caller acts; empty for one without a key.
    pub tenants: Vec<TenantName>,
    /// The batch.
    pub batch: BatchId,
    /// What is asked.
    pub question: PeerQuestion,
}

/// What is asked about a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerQuestion {
    /// Results from a position on.
    Results {
        /// Position of the first result wanted.
        from: u64,
        /// Milliseconds to wait for one.
        wait_ms: u64,
    },
    /// The body of an item that is not listed yet.
    ItemBody {
        /// The item.
        item: ItemId,
    },
    /// End the batch.
    End,
}

/// What comes of a question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The answer for the caller, with status 200.
    Answered {
        /// Its body.
        body: Bytes,
        /// Whether the body is in the gateway's own format, not the caller's bytes.
        is_own_format: bool,
    },
    /// The batch's end was not acknowledged, and may be done all the same.
    MayBeDone,
    /// Nothing was done, and nothing is told.
    Declined(PeerRefusal),
}

/// Why a node answers nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRefusal {
    /// The question cannot be read here.
    Unreadable,
    /// Another life of this machine is meant.
    OtherLife,
    /// This node does not run the batch, or does not know such a batch of the caller.
    NotHere,
    /// The data may not leave its regions.
    Region,
    /// More questions are being answered than this node takes.
    Overloaded,
    /// The log does not confirm what is known here.
    NotConfirmed,
}

impl PeerRefusal {
    /// Its name in logs and metrics.
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
