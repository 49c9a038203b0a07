//! What nodes write to the control stream.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::batch_index::BatchNotice;
use crate::crash_ledger::{EndedBackend, Fingerprint};
use crate::ids::{BackendId, BatchId, MachineName, ModelName, NodeId, PoolName, Version, ZoneName};
use crate::lease::Term;
use crate::stored::Stored;
use crate::usage::{RequestCounts, UsageWindow};

/// A record of the control stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRecord {
    /// A node started on a machine. A part of the fleet says so ([`crate::fleet_size`]).
    Joined {
        /// The machine.
        machine: MachineName,
    },
    /// A node that runs batches is alive. It has connections to the back ends of its routes, so their
    /// next batches are handed to it.
    Heartbeat {
        /// The node.
        node: NodeId,
        /// Names of the routes.
        routes: Vec<String>,
        /// The open batches it runs: one that is not named for a while may be claimed.
        batches: Vec<BatchId>,
    },
    /// A batch was accepted.
    BatchAccepted(BatchNotice),
    /// A node gives batches up.
    BatchesReleased {
        /// The node.
        node: NodeId,
        /// The batches.
        batches: Vec<BatchId>,
    },
    /// Nothing is left to be done about a batch.
    BatchClosed {
        /// The batch.
        batch: BatchId,
    },
    /// A node claims the lease; the term is its fencing token.
    LeaseClaimed {
        /// The claimed term; counts only if it is higher than the current one.
        term: Term,
        /// The new holder.
        holder: NodeId,
    },
    /// The holder is alive.
    LeaseKept {
        /// The holder's term.
        term: Term,
        /// The holder.
        holder: NodeId,
        /// Milliseconds from when the holder's last sign of life certainly stood in the log until this one
        /// was sent; 0 at the first, and after one whose append had no answer.
        after_ms: Millis,
    },
    /// The holder gives the lease up.
    LeaseReleased {
        /// The holder's term.
        term: Term,
    },
    /// An order is about to be given.
    Ordered {
        /// Who gives it.
        holder: NodeId,
        /// The back end.
        backend: BackendId,
        /// The model.
        model: ModelName,
        /// The version to load.
        version: Version,
    },
    /// The back end was asked: it carries out no order, and has this version.
    Observed {
        /// The back end.
        backend: BackendId,
        /// The model.
        model: ModelName,
        /// The version it has.
        version: Version,
    },
    /// Nothing more is expected of the order that the back end was given.
    Withdrawn {
        /// The back end.
        backend: BackendId,
    },
    /// A back end ended while it ran a request.
    BackendEnded {
        /// The request.
        request: Fingerprint,
        /// The back end, and who saw it.
        ended: EndedBackend,
    },
    /// Nothing is held against a request any more: a back end answered it, or an operator said so.
    RequestCleared {
        /// The request.
        request: Fingerprint,
    },
    /// A back end that was taken for ended answers.
    BackendLives {
        /// The back end.
        backend: BackendId,
    },
    /// The usage of a window is to be reported so.
    UsageDecided {
        /// The window.
        window: UsageWindow,
        /// Requests of each tenant.
        counts: RequestCounts,
    },
    /// A size of a pool is about to be ordered.
    SizeOrdered {
        /// The pool.
        pool: PoolName,
        /// The zone.
        zone: ZoneName,
        /// Back ends there.
        size: u32,
    },
    /// The usage of a window was reported, or is not tried any more.
    UsageSettled {
        /// The window.
        window: UsageWindow,
    },
    /// A node that runs batches answers other nodes' questions about them at an address.
    PeerListens {
        /// The node.
        node: NodeId,
        /// Its address.
        address: SocketAddr,
    },
    /// A machine can be reached by other nodes. A part of the fleet says so ([`crate::reachable_machines`]).
    Reachable {
        /// The machine.
        machine: MachineName,
        /// Where it takes datagrams of other nodes.
        address: SocketAddr,
    },
}

impl Stored for ControlRecord {
    const DESCRIPTION: &'static str = "a record of the control stream";
}
