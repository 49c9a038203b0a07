//! Which item runs next, and on which back end.
//!
//! The item that is expected to end last starts first, also if its step can do without it: a group
//! that is left open comes again in a later step, which then lasts as long as its longest item.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::Millis;
use crate::batch_state::BatchState;
use crate::ids::{BackendId, BatchId, GroupId, ItemId, ModelName, RegionName, Version};
use crate::residency::Residency;

/// An item that waits for a place.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingItem {
    /// Batch.
    pub batch: BatchId,
    /// Item.
    pub item: ItemId,
    /// Whether its step can be whole without it.
    pub optional: bool,
    /// Tokens still expected.
    pub expected_tokens: u32,
    /// When its batch was first seen.
    pub since: Millis,
    /// Model it needs.
    pub model: Option<ModelName>,
    /// Oldest version it may run on.
    pub minimum_version: Version,
    /// The only version it may run on, where its output so far binds it to one.
    pub exact_version: Option<Version>,
    /// Group, to place items with the same prompt together.
    pub group: Option<GroupId>,
    /// Where it may run.
    pub residency: Residency,
}

impl WaitingItem {
    /// Whether it may run on a version.
    pub fn allows(&self, version: Version) -> bool {
        match self.exact_version {
            Some(exact) => version == exact,
            None => version >= self.minimum_version,
        }
    }
}

/// A place that an item may take.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The back end.
    pub backend: BackendId,
    /// Region it stands in, if that is known.
    pub region: Option<RegionName>,
    /// Items that run there now, of all nodes.
    pub running: u32,
    /// Items it may run at a time: its places, or fewer while it is cold.
    pub slots: u32,
    /// Milliseconds between two events of a stream there.
    pub event_gap_ms: f64,
    /// Versions of its models.
    pub models: BTreeMap<ModelName, Version>,
    /// Groups whose prompt it holds.
    pub groups: HashSet<GroupId>,
}

impl Candidate {
    /// Whether it has a free place and new enough weights for the item.
    pub fn accepts(&self, item: &WaitingItem) -> bool {
        let is_allowed = item.residency.allows(self.region.as_ref());
        self.running < self.slots && is_allowed && self.has_version_for(item)
    }

    fn has_version_for(&self, item: &WaitingItem) -> bool {
        let Some(model) = &item.model else {
            return true;
        };
        self.models
            .get(model)
            .is_some_and(|version| item.allows(*version))
    }

    fn cost_for(&self, item: &WaitingItem) -> f64 {
        let crowd = f64::from(self.running + 1);
        let reread = match &item.group {
            Some(group) if !self.groups.contains(group) => PROMPT_READ_COST,
            _ => 0.0,
        };
        // A batch step takes a base time and a little more for each running item.
        (1.0 + STEP_COST_PER_ITEM * crowd + reread) * self.event_gap_ms
    }
}

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
pub fn relocations(
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
        candidates[from].running = candidates[from].running.saturating_sub(1);
        candidates[to].running += 1;
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
        .filter(|(at, target)| *at != from && target.accepts(&running.item) && pays(target));
    fitting
        .min_by(|left, right| {
            let order = left.1.cost_for(&running.item);
            order.total_cmp(&right.1.cost_for(&running.item))
        })
        .map(|(at, _)| at)
}

/// Growth of a step's time with each item that runs beside.
const STEP_COST_PER_ITEM: f64 = 0.033;
/// Cost of reading a prompt again, as a share of a step's time.
const PROMPT_READ_COST: f64 = 0.05;

/// Orders waiting items by when they are expected to end, counted from their batch's begin, if they
/// start now: the latest first, since it decides how long its step lasts. So a long item of a new
/// batch goes before a short one of an older batch, and of equally long ones the older batch's.
pub fn sort_waiting(waiting: &mut [WaitingItem], now: Millis, token_ms: f64) {
    let end_ms = |item: &WaitingItem| {
        let age_ms = now.saturating_sub(item.since) as f64;
        age_ms + f64::from(item.expected_tokens) * token_ms
    };
    waiting.sort_by(|left, right| {
        let order = end_ms(right).total_cmp(&end_ms(left));
        order.then_with(|| left.item.cmp(&right.item))
    });
}

/// The best place for an item, or none.
pub fn choose<'a>(item: &WaitingItem, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
    let fitting = candidates
        .iter()
        .filter(|candidate| candidate.accepts(item));
    fitting.min_by(|left, right| {
        let order = left.cost_for(item).total_cmp(&right.cost_for(item));
        order.then_with(|| left.backend.cmp(&right.backend))
    })
}

/// Items of a batch whose step can be whole without them. Groups carried over from an earlier batch
/// are always needed; of the others as many as are still missing, the shortest first.
pub fn optional_items(
    batch: &BatchState,
    carried: &HashSet<ItemId>,
    tokens_per_event: u32,
) -> HashSet<ItemId> {
    let groups = group_summaries(batch, carried, tokens_per_event);
    if batch.desired_groups == 0 || groups.is_empty() {
        return HashSet::new();
    }
    let mut open: Vec<&GroupSummary> = groups.values().filter(|group| !group.carried).collect();
    open.sort_by_key(|group| (!group.whole, group.longest_remaining, group.first_at));
    let carried_groups = groups.values().filter(|group| group.carried).count();
    let needed = (batch.desired_groups as usize).saturating_sub(carried_groups);
    let surplus = open.iter().skip(needed).filter(|group| !group.whole);
    surplus
        .flat_map(|group| group.items.iter().cloned())
        .collect()
}

struct GroupSummary {
    first_at: usize,
    carried: bool,
    whole: bool,
    longest_remaining: u32,
    items: Vec<ItemId>,
}

fn group_summaries(
    batch: &BatchState,
    carried: &HashSet<ItemId>,
    tokens_per_event: u32,
) -> HashMap<GroupId, GroupSummary> {
    let mut groups: HashMap<GroupId, GroupSummary> = HashMap::new();
    for (at, item) in batch.items.iter().enumerate() {
        let Some(group) = &item.group else { continue };
        let summary = groups.entry(group.clone()).or_insert_with(|| GroupSummary {
            first_at: at,
            carried: false,
            whole: true,
            longest_remaining: 0,
            items: Vec::new(),
        });
        summary.carried |= carried.contains(&item.id);
        if item.result.is_none() {
            summary.whole = false;
            let remaining = item.remaining_tokens(tokens_per_event);
            summary.longest_remaining = summary.longest_remaining.max(remaining);
            summary.items.push(item.id.clone());
        }
    }
    groups
}
