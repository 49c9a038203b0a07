//! Relocation of running items to back ends where they end sooner.

use crate::Millis;
use crate::ids::BackendId;

use super::{Candidate, WaitingItem};

/// A running item that may move to a faster back end.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningItem {
    /// The item, with what it needs of a back end.
    pub item: WaitingItem,
    /// The back end that the item runs on.
    pub backend: BackendId,
    /// Time, in milliseconds, since the current run started.
    pub running_ms: Millis,
    /// Stream events that are still expected of the item.
    pub expected_events: u32,
    /// Number of earlier relocations of the item.
    pub moves: u32,
}

impl RunningItem {
    /// Whether the item ran long enough on its back end to move. The required time doubles with each move:
    /// if many back ends are slow or short of memory, each one looks better than the current one, and the
    /// item would keep moving.
    fn is_settled(&self) -> bool {
        let doublings = self.moves.min(MAX_SETTLING_DOUBLINGS);
        self.running_ms >= SETTLING_MS << doublings
    }
}

/// Move of a running item to another back end.
#[derive(Debug, Clone, PartialEq)]
pub struct Relocation {
    /// The item that moves.
    pub item: WaitingItem,
    /// The back end on which the item continues.
    pub to: BackendId,
}

/// Minimum speed-up for a move. A smaller difference of event gaps may only reflect how full the decode
/// batches of the back ends are.
const MIN_SPEED_UP: f64 = 1.2;
/// Minimum time that a move must save. Ending the run, connecting to the other back end and prefilling the
/// prompt and output there use up part of it, and the remaining length of an item is only an estimate.
const MIN_SAVING_MS: f64 = 400.0;
/// Time that an item runs on a back end before its first move.
const SETTLING_MS: Millis = 400;
/// Maximum number of doublings of [`SETTLING_MS`].
const MAX_SETTLING_DOUBLINGS: u32 = 4;

/// Plans moves of items to free slots on back ends where they end clearly sooner, longest items first.
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
    let is_worthwhile = |target: &Candidate| {
        let saved_ms = f64::from(running.expected_events) * (here_ms - target.event_gap_ms);
        here_ms > target.event_gap_ms * MIN_SPEED_UP && saved_ms > MIN_SAVING_MS
    };
    let fitting = candidates
        .iter()
        .enumerate()
        .filter(|(at, target)| {
            *at != from && target.accepts(&running.item) && is_worthwhile(target)
        })
        .filter(|(_, target)| target.memory.fits(running.item.tokens()));
    fitting
        .min_by(|left, right| {
            let order = left.1.cost_for(&running.item);
            order.total_cmp(&right.1.cost_for(&running.item))
        })
        .map(|(at, _)| at)
}
