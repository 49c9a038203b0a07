//! Who gets places first when there are fewer than items that wait.
//!
//! Answers callers who compete: one tenant's flood, a pool that lost half of its back ends, all tenants
//! late at once. The more urgent go first. Among equally urgent claimants the one goes first whose
//! items hold the fewest tokens, so that each gets the same share and what one doesn't use goes to the
//! others. Nothing is remembered: shares follow from what runs.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::Millis;

use super::order::sort_by_expected_end;
use super::{RunningItem, WaitingItem};

/// Share of the longest wait after which an item is as urgent as the most urgent: it needs the rest of
/// that time to run.
const PROMOTED_AFTER_SHARE: f64 = 0.5;

/// Ranks that back ends tell apart; those behind are all alike to them.
const RANKS_TOLD_APART: u32 = 5;

/// Urgency at back ends, where 0 is the most urgent and 9 the least, of requests of a rank. Within a rank,
/// items that their step can do without come after the others.
pub fn urgency(rank: u32, optional: bool) -> u8 {
    let rank = rank.min(RANKS_TOLD_APART - 1) as u8;
    2 * rank + u8::from(optional)
}

/// On whose behalf an item runs, and how urgent that is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// 0 is the most urgent.
    pub rank: u32,
    /// The tenant, or the route where callers hold no keys.
    pub claimant: Arc<str>,
    /// Time after which its items are given up.
    pub max_wait_ms: Millis,
}

impl WaitingItem {
    fn rank(&self, most_urgent: u32, now: Millis) -> u32 {
        let waited_ms = now.saturating_sub(self.batch_first_seen) as f64;
        let is_promoted = waited_ms > self.claim.max_wait_ms as f64 * PROMOTED_AFTER_SHARE;
        if is_promoted {
            most_urgent
        } else {
            self.claim.rank
        }
    }
}

/// Orders waiting items by when they get places. Where there is a place for each, the one that is
/// expected to end last goes first, as it does among those that get one.
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
    *waiting = by_claims(std::mem::take(waiting), running, now);
    sort_by_expected_end(&mut waiting[..free_slots], now, token_ms);
}

fn by_claims(waiting: Vec<WaitingItem>, running: &[RunningItem], now: Millis) -> Vec<WaitingItem> {
    let most_urgent = waiting.iter().map(|item| item.claim.rank).min();
    let most_urgent = most_urgent.unwrap_or(0);
    let mut held = tokens_held(running);
    let mut by_rank: BTreeMap<u32, Queues> = BTreeMap::new();
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

/// Items of each claimant, in the order in which they go.
type Queues = BTreeMap<Arc<str>, VecDeque<WaitingItem>>;

/// The next item of the claimant whose items hold the fewest tokens.
fn take_next(queues: &mut Queues, held: &BTreeMap<Arc<str>, u64>) -> Option<WaitingItem> {
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

fn tokens_held(running: &[RunningItem]) -> BTreeMap<Arc<str>, u64> {
    let mut held: BTreeMap<Arc<str>, u64> = BTreeMap::new();
    for running in running {
        let claimant = running.item.claim.claimant.clone();
        *held.entry(claimant).or_default() += u64::from(running.item.tokens().tokens_at_end());
    }
    held
}
