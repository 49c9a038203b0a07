//! Records of the control stream: the part of the log that all nodes read and write to coordinate batches,
//! orders to back ends, and the fleet.

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
    /// A node started on a machine. Only a part of the fleet writes this record ([`crate::fleet_size`]).
    Joined {
        /// The machine that the node started on.
        machine: MachineName,
    },
    /// A node that runs batches is alive. It has connections to the back ends of its routes, so other nodes hand
    /// it the next batches of these routes.
    Heartbeat {
        /// The node that writes the heartbeat.
        node: NodeId,
        /// Names of the routes whose batches the node runs.
        routes: Vec<String>,
        /// The open batches that the node runs. Another node may claim a batch that has not been named for a
        /// while.
        batches: Vec<BatchId>,
    },
    /// A batch was accepted.
    BatchAccepted(BatchNotice),
    /// A node stops running some of its batches.
    BatchesReleased {
        /// The node that ran the batches.
        node: NodeId,
        /// The released batches.
        batches: Vec<BatchId>,
    },
    /// No work is left for a batch.
    BatchClosed {
        /// The closed batch.
        batch: BatchId,
    },
    /// A node claims the order lease, whose holder gives orders to back ends. The term is the fencing token.
    LeaseClaimed {
        /// The claimed term; the claim counts only if it is higher than the current term.
        term: Term,
        /// The node that claims the lease.
        holder: NodeId,
    },
    /// Heartbeat of the holder of the order lease.
    LeaseKept {
        /// The holder's term.
        term: Term,
        /// The node that holds the lease.
        holder: NodeId,
        /// Milliseconds from the time at which the holder's previous heartbeat was certainly in the log until
        /// this one was sent; 0 for the first one, and if the append of the previous one had no answer.
        after_ms: Millis,
    },
    /// The holder releases the order lease.
    LeaseReleased {
        /// The holder's term; the release counts only if it is the current term.
        term: Term,
    },
    /// The holder of the order lease is about to order a back end to load a version of a model.
    Ordered {
        /// The node that gives the order.
        holder: NodeId,
        /// The back end that gets the order.
        backend: BackendId,
        /// The model whose weights are to be loaded.
        model: ModelName,
        /// The version to load.
        version: Version,
    },
    /// A back end was polled: it is not carrying out an order, and serves this version.
    Observed {
        /// The back end that was polled.
        backend: BackendId,
        /// The model that the back end serves.
        model: ModelName,
        /// The version that the back end has loaded.
        version: Version,
    },
    /// The last order to a back end is no longer pending, whether or not the back end carried it out.
    Withdrawn {
        /// The back end that had got the order.
        backend: BackendId,
    },
    /// A back end ended (crashed or stopped) while it ran a request.
    BackendEnded {
        /// Fingerprint of the request that was running.
        request: Fingerprint,
        /// The back end that ended and the node that observed it.
        ended: EndedBackend,
    },
    /// A request is no longer suspected of ending back ends: a back end has answered it, or an operator has
    /// cleared it.
    RequestCleared {
        /// Fingerprint of the cleared request.
        request: Fingerprint,
    },
    /// A back end that was assumed to have ended answers again.
    BackendLives {
        /// The back end that answers.
        backend: BackendId,
    },
    /// Fixes the usage that is to be reported for a time window.
    UsageDecided {
        /// The time window.
        window: UsageWindow,
        /// Number of requests of each tenant in the window.
        counts: RequestCounts,
    },
    /// The holder of the order lease is about to order a new size of a pool in a zone.
    SizeOrdered {
        /// The pool to resize.
        pool: PoolName,
        /// The zone in which the pool is resized.
        zone: ZoneName,
        /// Number of back ends that the pool is to have in the zone.
        size: u32,
    },
    /// The usage of a time window was reported, or reporting it was given up.
    UsageSettled {
        /// The time window.
        window: UsageWindow,
    },
    /// A node that runs batches accepts requests of other nodes about these batches at an address.
    PeerListens {
        /// The node that accepts the requests.
        node: NodeId,
        /// The address at which it accepts them.
        address: SocketAddr,
    },
    /// A machine can be reached by other nodes. Only a part of the fleet writes this record
    /// ([`crate::reachable_machines`]).
    Reachable {
        /// The machine that can be reached.
        machine: MachineName,
        /// Where the machine receives datagrams of other nodes.
        address: SocketAddr,
    },
    /// A node claims a trial run of a request that is suspected of ending back ends.
    TrialClaimed {
        /// Fingerprint of the request.
        request: Fingerprint,
        /// Number of the trial, from 1; the claim counts only if it is one more than that of the last claim.
        number: u32,
        /// The node that is to make the trial.
        node: NodeId,
    },
}

impl Stored for ControlRecord {
    const DESCRIPTION: &'static str = "a record of the control stream";
}
