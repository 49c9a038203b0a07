//! Slow start: a back end that has just started, or has come back, is cold for a while and takes few requests.
//!
//! The load that this answers: back ends of a whole zone come back together with every place free, and all nodes
//! that have work send it there at once. The rate that a cold back end bears is a sum over all nodes, which do not
//! ask each other before they send. So each cold back end has one node at a time that may give it items, chosen by
//! rendezvous hashing among those that run batches, and a sample of the nodes that may send it calls. A node that
//! is chosen uses a half of the rate (items) or one request a second (calls): nodes that know of others at different
//! times may choose two of them, and the sum holds then too.

use std::collections::{BTreeMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;
use crate::ids::{BackendId, MachineName, NodeId};

/// Length of the window in which requests to a cold back end are counted; its rate is one a second.
const WINDOW_MS: Millis = 1_000;
/// Share of the rate that the node chosen for items uses: two may take themselves for the chosen one.
const ITEM_SHARE: f64 = 0.5;
/// Share of the rate for which nodes are sampled that may send calls, one each second: how many a sample has varies
/// by some times its root.
const CALL_SHARE: f64 = 0.25;

/// What the back ends of a pool bear while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Time for which one is cold after it came back, in milliseconds.
    pub duration_ms: Millis,
    /// Requests a second that it takes meanwhile from all nodes together.
    pub requests_per_s: f64,
}

/// What a request is to a cold back end.
#[derive(Debug, Clone, Copy)]
pub enum Sender<'a> {
    /// An item of a batch; `owners` are the nodes that run batches, as far as is known here.
    Item {
        /// This node.
        node: &'a NodeId,
        /// All that run batches.
        owners: &'a [NodeId],
    },
    /// A call of a caller, or a reward call.
    Call {
        /// This machine.
        machine: &'a MachineName,
        /// How many machines there are, as far as is known here.
        machines: usize,
    },
}

impl Sender<'_> {
    /// Requests that this node may send a cold back end in a second.
    fn budget(&self, backend: &BackendId, limit: &ColdLimit) -> usize {
        match self {
            Self::Item { node, owners } if is_chosen(backend, node, owners) => {
                ((limit.requests_per_s * ITEM_SHARE) as usize).max(1)
            }
            Self::Call { machine, machines }
                if is_sampled(backend, machine, *machines, limit.requests_per_s) =>
            {
                1
            }
            Self::Item { .. } | Self::Call { .. } => 0,
        }
    }
}

/// Whether `node` has the highest hash among all that run batches, itself among them.
fn is_chosen(backend: &BackendId, node: &NodeId, owners: &[NodeId]) -> bool {
    let rank = |node: &NodeId| (xxh3_64(format!("{backend} {node}").as_bytes()), node.life);
    let own = rank(node);
    owners
        .iter()
        .all(|other| other == node || rank(other) < own)
}

fn is_sampled(
    backend: &BackendId,
    machine: &MachineName,
    machines: usize,
    requests_per_s: f64,
) -> bool {
    let chance = requests_per_s * CALL_SHARE / machines.max(1) as f64;
    let draw = xxh3_64(format!("{backend} {machine}").as_bytes()) as f64 / u64::MAX as f64;
    draw < chance
}

/// A back end that is cold.
#[derive(Debug, Default)]
struct Cold {
    until: Millis,
    /// When this node sent its requests of the last second.
    sent: VecDeque<Millis>,
}

/// The back ends that are cold, as this node knows, and what it has sent them.
#[derive(Debug, Default)]
pub struct SlowStart {
    cold: BTreeMap<BackendId, Cold>,
}

impl SlowStart {
    /// A back end says for how long it is cold. That it is warm may be an older word than what made it a suspect,
    /// so this never ends slow start early.
    pub fn report_cold(&mut self, backend: &BackendId, cold_left_ms: Millis, now: Millis) {
        if cold_left_ms > 0 {
            let cold = self.cold.entry(backend.clone()).or_default();
            cold.until = cold.until.max(now + cold_left_ms);
        }
    }

    /// A back end may have become cold without a word.
    pub fn suspect_cold(&mut self, backend: &BackendId, limit: &ColdLimit, now: Millis) {
        let cold = self.cold.entry(backend.clone()).or_default();
        cold.until = cold.until.max(now + limit.duration_ms);
    }

    /// Whether a back end is cold.
    pub fn is_cold(&self, backend: &BackendId, now: Millis) -> bool {
        self.cold.get(backend).is_some_and(|cold| now < cold.until)
    }

    /// Requests that this node may send a back end now; `None` if it is warm, so that slow start sets no limit.
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

    /// A request is sent.
    pub fn record_sent(&mut self, backend: &BackendId, now: Millis) {
        let Some(cold) = self.cold.get_mut(backend) else {
            return;
        };
        let since = now.saturating_sub(WINDOW_MS);
        cold.sent.retain(|sent| *sent >= since);
        cold.sent.push_back(now);
    }

    /// Forgets back ends that `keep` does not name, and those that are warm.
    pub fn retain(&mut self, keep: impl Fn(&BackendId) -> bool, now: Millis) {
        self.cold
            .retain(|backend, cold| keep(backend) && now < cold.until);
    }
}
