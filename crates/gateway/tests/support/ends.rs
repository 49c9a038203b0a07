//! Helpers for tests with requests that end back ends, and for the ends that nodes know of.

use std::sync::Arc;

use super::backend::StandInBackend;
use super::deployment::{TestNode, wait_until};

/// Maximum number of back ends that end under one request before all nodes refuse it.
pub const MAX_ENDS: usize = 3;
/// Text that the paths of harmful requests contain.
pub const HARMFUL_PATH_PART: &str = "harmful";

/// How many back ends have ended.
pub fn count_ended(backends: &[Arc<StandInBackend>]) -> usize {
    let ended = backends.iter().filter(|backend| backend.has_ended());
    ended.count()
}

/// Makes each of these back ends end when it runs a harmful request.
pub fn end_on_harmful_requests(backends: &[Arc<StandInBackend>]) {
    for backend in backends {
        backend.behave(|behaviour| behaviour.ends_on_path = Some(HARMFUL_PATH_PART.to_owned()));
    }
}

/// Number of ends in a node's crash ledger, over all requests.
pub fn count_known_ends(node: &TestNode) -> usize {
    let control = node.context().control.lock();
    let known = control.state.checkpoint(0).crashes;
    known.iter().map(|request| request.ended.len()).sum()
}

/// Waits until every node knows of all ends so far. A record takes some milliseconds from node to node, more on a busy
/// machine; callers retry later than that.
pub async fn wait_for_ends_known_by_all(nodes: &[TestNode], backends: &[Arc<StandInBackend>]) {
    wait_until("all nodes know of all ends", || {
        let ended = count_ended(backends);
        nodes.iter().all(|node| count_known_ends(node) == ended)
    })
    .await;
}
