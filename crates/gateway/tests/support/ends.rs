//! Requests that end back ends, and what nodes know of such ends.

use std::sync::Arc;

use super::backend::StandInBackend;
use super::deployment::{TestNode, wait_until};

/// Back ends that may end under one request before all nodes refuse it.
pub const MAX_ENDS: usize = 3;
/// Part of the path of requests that end back ends.
pub const HARMFUL_PATH_PART: &str = "harmful";

/// How many back ends have ended.
pub fn count_ended(backends: &[Arc<StandInBackend>]) -> usize {
    let ended = backends.iter().filter(|backend| backend.has_ended());
    ended.count()
}

/// Lets harmful requests end each of these.
pub fn end_on_harmful_requests(backends: &[Arc<StandInBackend>]) {
    for backend in backends {
        backend.behave(|told| told.ends_on_path = Some(HARMFUL_PATH_PART.to_owned()));
    }
}

/// Ends that a node holds against requests.
pub fn count_known_ends(node: &TestNode) -> usize {
    let control = node.context().control.lock();
    let known = control.state.checkpoint(0).crashes;
    known.iter().map(|request| request.ended.len()).sum()
}

/// Waits until every node knows of all ends so far: a word takes some ms from node to node, more on a busy
/// machine, and callers' next tries come later.
pub async fn wait_for_ends_known_by_all(nodes: &[TestNode], backends: &[Arc<StandInBackend>]) {
    wait_until("all nodes know of all ends", || {
        let ended = count_ended(backends);
        nodes.iter().all(|node| count_known_ends(node) == ended)
    })
    .await;
}
