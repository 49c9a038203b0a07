//! Which items are sent as probes to half-open back ends.
//!
//! When slots are scarce, a back end that stopped responding looks empty each time that it is due for a probe. If any
//! item could be the probe, one item after another would lose the time of a connection attempt, and one item could
//! lose it once for each such back end. So a probe is an item that its training step can wait for.

use std::collections::HashSet;

use crate::ids::BackendId;

use super::{Candidate, WaitingItem};

/// Assigns one item to each half-open back end: the last of the waiting items that fits there, if it is in the second
/// half of them; otherwise the last one that no other back end accepts. `waiting` is in the order in which items get
/// slots. Returns the position of each assigned item in `waiting`, with its back end.
pub fn assign_probes(waiting: &[WaitingItem], candidates: &[Candidate]) -> Vec<(usize, BackendId)> {
    let mut used = HashSet::new();
    let mut probes = Vec::new();
    let half_open = candidates.iter().filter(|candidate| candidate.is_half_open);
    for candidate in half_open {
        let fits = |at: &usize| !used.contains(at) && candidate.has_slot_for(&waiting[*at]);
        let late_item = (waiting.len().div_ceil(2)..waiting.len()).rev().find(fits);
        let only_option = || {
            let mut all = (0..waiting.len()).rev();
            all.find(|at| fits(at) && !is_accepted_elsewhere(&waiting[*at], candidates))
        };
        if let Some(at) = late_item.or_else(only_option) {
            used.insert(at);
            probes.push((at, candidate.backend.clone()));
        }
    }
    probes
}

fn is_accepted_elsewhere(item: &WaitingItem, candidates: &[Candidate]) -> bool {
    candidates.iter().any(|candidate| candidate.accepts(item))
}
