//! Which items are sent to back ends on trial.
//!
//! The load that this answers: places are short, and back ends that went dark look empty each time that they are to be
//! tried again. Where any item was sent there, one item after the other lost the time of a connection, and one item
//! as many times as there were such back ends. So a trial is made by an item that its step can wait for.

use std::collections::HashSet;

use crate::ids::BackendId;

use super::{Candidate, WaitingItem};

/// Sends an item to each back end on trial: the last of the waiting items, if it is in the second half of them; or
/// one that no other back end takes. `waiting` is in the order in which items get places. Answers the positions of
/// these items, and where they go.
pub fn assign_probes(waiting: &[WaitingItem], candidates: &[Candidate]) -> Vec<(usize, BackendId)> {
    let mut used = HashSet::new();
    let mut trials = Vec::new();
    let on_trial = candidates.iter().filter(|candidate| candidate.is_half_open);
    for candidate in on_trial {
        let fits = |at: &usize| !used.contains(at) && candidate.has_place_for(&waiting[*at]);
        let goes_last = (waiting.len().div_ceil(2)..waiting.len()).rev().find(fits);
        let only_here = || {
            let mut all = (0..waiting.len()).rev();
            all.find(|at| fits(at) && !is_accepted(&waiting[*at], candidates))
        };
        if let Some(at) = goes_last.or_else(only_here) {
            used.insert(at);
            trials.push((at, candidate.backend.clone()));
        }
    }
    trials
}

fn is_accepted(item: &WaitingItem, candidates: &[Candidate]) -> bool {
    candidates.iter().any(|candidate| candidate.accepts(item))
}
