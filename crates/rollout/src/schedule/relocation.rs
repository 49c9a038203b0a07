//! Moves of running items to back ends where they end sooner.

use crate::Millis;
use crate::ids::BackendId;

use super::{Candidate, WaitingItem};

/// An item that runs and may be moved to a faster back end.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningItem {
    /// The item, with the version and model it needs.
    pub item: WaitingItem,
    /// Where it runs.
    pub backend: BackendId,
    /// For how long.
    pub running_ms: Millis,
    /// Events still expected.
    pub expected_events: u32,
    /// How often it was moved already.
    pub moves: u32,
}

impl RunningItem {
    /// Whether it ran long enough where it is to be moved. The time doubles with each move: where
    /// many back ends are slow or short of memory, each looks better than the one before it.
    fn is_settled(&self) -> bool {
        let doublings = self.moves.min(MOST_SETTLING_DOUBLINGS);
        self.running_ms >= SETTLING_MS << doublings
    }
}

/// A move of a running item.
#[derive(Debug, Clone, PartialEq)]
pub struct Relocation {
    /// The item.
    pub item: WaitingItem,
    /// Where it goes on.
    pub to: BackendId,
}

/// How much faster another back end must be for a move to pay: gaps that differ less may only be
/// those of fuller and emptier batches.
const WORTHWHILE_SPEED_UP: f64 = 1.2;
/// Time that a move must save: ending a run, connecting elsewhere and reading the prompt and the
/// output again take some of it, and how long an item still runs is only a guess.
const WORTHWHILE_SAVING_MS: f64 = 400.0;
/// Time that an item runs before it may be moved.
const SETTLING_MS: Millis = 400;
/// Doublings of that time, at most.
const MOST_SETTLING_DOUBLINGS: u32 = 4;

/// Moves of items to free places on back ends where they end clearly sooner, the longest first.
pub fn plan_relocations(
    mut running: Vec<RunningItem>,
    mut candidates: Vec<Candidate>,
) -> Vec<Relocation> {
    running.retain(RunningItem::is_settled);
    running.sort_by_key(|running| std::cmp::Reverse(running.item.expected_tokens));
    let mut moves = Vec::new();
    for running in running {
        let Some(from) = candidates.iter().position(|c| c.backend == running.backend) else {
            continue;
        };
        let Some(to) = best_target(&running, &candidates, from) else {
            continue;
        };
        candidates[from].remove_item(&running.item);
        candidates[to].add_item(&running.item);
        moves.push(Relocation {
            to: candidates[to].backend.clone(),
            item: running.item,
        });
    }
    moves
}

fn best_target(running: &RunningItem, candidates: &[Candidate], from: usize) -> Option<usize> {
    let here_ms = candidates[from].event_gap_ms;
    let pays = |target: &Candidate| {
        let saved_ms = f64::from(running.expected_events) * (here_ms - target.event_gap_ms);
        here_ms > target.event_gap_ms * WORTHWHILE_SPEED_UP && saved_ms > WORTHWHILE_SAVING_MS
    };
    let fitting = candidates
        .iter()
        .enumerate()
        .filter(|(at, target)| *at != from && target.accepts(&running.item) && pays(target))
        .filter(|(_, target)| target.memory.fits(running.item.tokens()));
    fitting
        .min_by(|left, right| {
            let order = left.1.cost_for(&running.item);
            order.total_cmp(&right.1.cost_for(&running.item))
        })
        .map(|(at, _)| at)
}
