//! Slow start: a back end that has just started or come back is cold for a while and receives few requests.
//!
//! When the back ends of a whole zone come back together, all their slots are free, and all nodes with work would send
//! it there at once. The rate limit of a cold back end applies to the sum over all nodes, which do not coordinate
//! before they send. So for each cold back end one node at a time may send items, chosen by rendezvous hashing among
//! the nodes that run batches, and a sample of all nodes may send calls. The chosen node uses half of the rate (items),
//! and each sampled one sends one request per second (calls). Nodes that learn of each other at different times may
//! choose two different ones; the sum still holds then.

use std::collections::{BTreeMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;
use crate::ids::{BackendId, MachineName, NodeId};

/// Length of the window in which requests to a cold back end are counted; limits are per second.
const WINDOW_MS: Millis = 1_000;
/// Share of the rate that the node chosen for items uses: two nodes may each take themselves for the chosen one.
const ITEM_SHARE: f64 = 0.5;
/// Share of the rate that determines how many nodes are sampled to send calls, one per second each. It leaves a margin
/// as the size of a sample varies by a few times its square root.
const CALL_SHARE: f64 = 0.25;

/// Limit for requests to the back ends of a pool while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Time for which a back end is cold after it started or came back, in milliseconds.
    pub duration_ms: Millis,
    /// Requests per second that a cold back end may receive from all nodes together.
    pub requests_per_s: f64,
}

/// The kind of a request to a back end and the node that sends it, which determine the share of the limit.
#[derive(Debug, Clone, Copy)]
pub enum Sender<'a> {
    /// An item of a batch.
    Item {
        /// The node that sends it.
        node: &'a NodeId,
        /// All nodes that run batches, as far as this node knows.
        owners: &'a [NodeId],
    },
    /// A call from a caller, or a reward call.
    Call {
        /// The machine of this node.
        machine: &'a MachineName,
        /// Number of machines, as far as this node knows.
        machines: usize,
    },
}

impl Sender<'_> {
    /// Number of requests that this node may send to a cold back end per second.
    fn budget(&self, backend: &BackendId, limit: &ColdLimit) -> usize {
        match self {
            Self::Item { node, owners } if is_item_sender(backend, node, owners) => {
                ((limit.requests_per_s * ITEM_SHARE) as usize).max(1)
            }
            Self::Call { machine, machines }
                if is_call_sender(backend, machine, *machines, limit.requests_per_s) =>
            {
                1
            }
            Self::Item { .. } | Self::Call { .. } => 0,
        }
    }
}

/// Whether `node` has the highest hash among `owners` and itself.
fn is_item_sender(backend: &BackendId, node: &NodeId, owners: &[NodeId]) -> bool {
    let rank = |node: &NodeId| (xxh3_64(format!("{backend} {node}").as_bytes()), node.life);
    let own = rank(node);
    owners
        .iter()
        .all(|other| other == node || rank(other) < own)
}

/// Whether `machine` is in the sample of machines that may send calls to a back end. Its expected size is
/// [`CALL_SHARE`] of the rate.
fn is_call_sender(
    backend: &BackendId,
    machine: &MachineName,
    machines: usize,
    requests_per_s: f64,
) -> bool {
    let chance = requests_per_s * CALL_SHARE / machines.max(1) as f64;
    let draw = xxh3_64(format!("{backend} {machine}").as_bytes()) as f64 / u64::MAX as f64;
    draw < chance
}

/// The cold time of a back end and the latest requests to it.
#[derive(Debug, Default)]
struct ColdBackEnd {
    until: Millis,
    /// Send times of this node's requests of the last second.
    sent: VecDeque<Millis>,
}

/// The cold back ends that this node knows of, and its requests to them.
#[derive(Debug, Default)]
pub struct SlowStart {
    cold: BTreeMap<BackendId, ColdBackEnd>,
}

impl SlowStart {
    /// Records a report of a back end on how much longer it is cold. A report of 0 may be older than the reason to
    /// [suspect](Self::suspect_cold) it, so a report never shortens slow start.
    pub fn report_cold(&mut self, backend: &BackendId, cold_left_ms: Millis, now: Millis) {
        if cold_left_ms > 0 {
            let cold = self.cold.entry(backend.clone()).or_default();
            cold.until = cold.until.max(now + cold_left_ms);
        }
    }

    /// Treats a back end as cold from now on that may have become cold without reporting it.
    pub fn suspect_cold(&mut self, backend: &BackendId, limit: &ColdLimit, now: Millis) {
        let cold = self.cold.entry(backend.clone()).or_default();
        cold.until = cold.until.max(now + limit.duration_ms);
    }

    /// Whether a back end is cold.
    pub fn is_cold(&self, backend: &BackendId, now: Millis) -> bool {
        self.cold.get(backend).is_some_and(|cold| now < cold.until)
    }

    /// Number of requests that this node may send to a back end now; `None` if slow start sets no limit, as the back end
    /// is warm or its pool has no limit.
    pub fn allowance(
        &self,
        backend: &BackendId,
        limit: Option<&ColdLimit>,
        sender: Sender<'_>,
        now: Millis,
    ) -> Option<u32> {
        let limit = limit?;
        let cold = self.cold.get(backend).filter(|cold| now < cold.until)?;
        let since = now.saturating_sub(WINDOW_MS);
        let recent = cold.sent.iter().filter(|sent| **sent >= since).count();
        Some(sender.budget(backend, limit).saturating_sub(recent) as u32)
    }

    /// Records that this node sent a request to a back end.
    pub fn record_sent(&mut self, backend: &BackendId, now: Millis) {
        let Some(cold) = self.cold.get_mut(backend) else {
            return;
        };
        let since = now.saturating_sub(WINDOW_MS);
        cold.sent.retain(|sent| *sent >= since);
        cold.sent.push_back(now);
    }

    /// Forgets back ends that `keep` rejects, and those that are warm.
    pub fn retain(&mut self, keep: impl Fn(&BackendId) -> bool, now: Millis) {
        self.cold
            .retain(|backend, cold| keep(backend) && now < cold.until);
    }
}
