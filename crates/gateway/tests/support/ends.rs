//! Requests that end back ends, and what nodes know of such ends.

use std::sync::Arc;

use super::backend::StandInBackend;
use super::deployment::{TestNode, wait_until};

/// Back ends that may end under one request before all nodes refuse it.
pub const MOST_ENDS: usize = 3;
/// Part of the path of requests that end back ends.
pub const HARMFUL: &str = "harmful";

/// How many back ends have ended.
pub fn ended(backends: &[Arc<StandInBackend>]) -> usize {
    let ended = backends.iter().filter(|backend| backend.has_ended());
    ended.count()
}

/// Lets harmful requests end each of these.
pub fn end_by_harmful(backends: &[Arc<StandInBackend>]) {
    for backend in backends {
        backend.behave(|told| told.ended_by = Some(HARMFUL.to_owned()));
    }
}

/// Ends that a node holds against requests.
pub fn known_ends(node: &TestNode) -> usize {
    let control = node.context().control.lock();
    let known = control.state.checkpoint(0).crashes;
    known.iter().map(|request| request.ended.len()).sum()
}

/// Waits until every node knows of all ends so far: a word takes some ms from node to node, more on a busy
/// machine, and callers' next tries come later.
pub async fn all_know_of_all_ends(nodes: &[TestNode], backends: &[Arc<StandInBackend>]) {
    wait_until("all nodes know of all ends", || {
        let ended = ended(backends);
        nodes.iter().all(|node| known_ends(node) == ended)
    })
    .await;
}
