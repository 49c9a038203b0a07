//! Fair sharing of slots among tenants when more items wait than there are free slots.
//!
//! This matters when one tenant floods the pool, when a pool loses half of its back ends, or when all
//! tenants are late at once. More urgent items go first. Among equally urgent claimants, the one whose
//! items hold the fewest tokens goes first: each gets the same share, and what one does not use goes to
//! the others. No history is kept; the shares follow from the running items alone.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::Millis;

use super::expected_end::sort_by_expected_end;
use super::{RunningItem, WaitingItem};

/// Share of the maximum wait after which an item gets the most urgent rank of all waiting items. The rest
/// of the maximum wait is left for the item to run.
const PROMOTION_WAIT_SHARE: f64 = 0.5;

/// Number of ranks that back ends distinguish. All higher ranks are treated as the last one.
const BACKEND_RANKS: u32 = 5;

/// Urgency that is sent to back ends with a request of this rank, from 0 (most urgent) to 9 (least urgent).
/// Within a rank, optional items come after the others.
pub fn urgency(rank: u32, optional: bool) -> u8 {
    let rank = rank.min(BACKEND_RANKS - 1) as u8;
    2 * rank + u8::from(optional)
}

/// The tenant or route that an item runs for, its urgency, and how long it may wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Urgency of the claimant's items; 0 is the most urgent.
    pub rank: u32,
    /// The tenant, or the route where callers have no keys.
    pub claimant: Arc<str>,
    /// Time, in milliseconds, after which items that have not finished are given up.
    pub max_wait_ms: Millis,
}

impl WaitingItem {
    fn rank(&self, most_urgent: u32, now: Millis) -> u32 {
        let waited_ms = now.saturating_sub(self.batch_first_seen) as f64;
        let is_promoted = waited_ms > self.claim.max_wait_ms as f64 * PROMOTION_WAIT_SHARE;
        if is_promoted {
            most_urgent
        } else {
            self.claim.rank
        }
    }
}

/// Orders waiting items by who gets a slot first: the first `free_slots` items get one. These items are
/// ordered by expected end, latest first, as are all items if there are enough slots.
pub fn prioritize_waiting(
    waiting: &mut Vec<WaitingItem>,
    running: &[RunningItem],
    free_slots: usize,
    now: Millis,
    token_ms: f64,
) {
    sort_by_expected_end(waiting, now, token_ms);
    if waiting.len() <= free_slots {
        return;
    }
    *waiting = by_fair_share(std::mem::take(waiting), running, now);
    sort_by_expected_end(&mut waiting[..free_slots], now, token_ms);
}

fn by_fair_share(
    waiting: Vec<WaitingItem>,
    running: &[RunningItem],
    now: Millis,
) -> Vec<WaitingItem> {
    let most_urgent = waiting.iter().map(|item| item.claim.rank).min();
    let most_urgent = most_urgent.unwrap_or(0);
    let mut held = tokens_by_claimant(running);
    let mut by_rank: BTreeMap<u32, ClaimantQueues> = BTreeMap::new();
    for item in waiting {
        let queues = by_rank.entry(item.rank(most_urgent, now)).or_default();
        let queue = queues.entry(item.claim.claimant.clone()).or_default();
        queue.push_back(item);
    }
    let mut ordered = Vec::new();
    for mut queues in by_rank.into_values() {
        while let Some(item) = take_next(&mut queues, &held) {
            let held = held.entry(item.claim.claimant.clone()).or_default();
            *held += u64::from(item.tokens().tokens_at_end());
            ordered.push(item);
        }
    }
    ordered
}

/// Items of each claimant, in the order in which they get slots.
type ClaimantQueues = BTreeMap<Arc<str>, VecDeque<WaitingItem>>;

/// Removes the next item of the claimant whose items hold the fewest tokens.
fn take_next(queues: &mut ClaimantQueues, held: &BTreeMap<Arc<str>, u64>) -> Option<WaitingItem> {
    let fewest = queues
        .keys()
        .min_by_key(|claimant| held.get(*claimant).copied().unwrap_or(0))?;
    let claimant = fewest.clone();
    let queue = queues.get_mut(&claimant)?;
    let item = queue.pop_front();
    if queue.is_empty() {
        queues.remove(&claimant);
    }
    item
}

fn tokens_by_claimant(running: &[RunningItem]) -> BTreeMap<Arc<str>, u64> {
    let mut held: BTreeMap<Arc<str>, u64> = BTreeMap::new();
    for running in running {
        let claimant = running.item.claim.claimant.clone();
        *held.entry(claimant).or_default() += u64::from(running.item.tokens().tokens_at_end());
    }
    held
}
