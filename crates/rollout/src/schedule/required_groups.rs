//! Which groups of a step its trainer can do without.

use std::collections::{HashMap, HashSet};

use crate::batch_state::{BatchState, ItemState};
use crate::ids::{GroupId, ItemId};

/// Items of a batch whose step can be whole without them. Groups carried over from an earlier batch
/// are always needed; of the others as many as are still missing, the shortest first, by the tokens
/// that `remaining` expects of an item.
pub fn optional_items(
    batch: &BatchState,
    carried: &HashSet<ItemId>,
    remaining: impl Fn(&ItemState) -> u32,
) -> HashSet<ItemId> {
    let groups = group_summaries(batch, carried, remaining);
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
    remaining: impl Fn(&ItemState) -> u32,
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
            summary.longest_remaining = summary.longest_remaining.max(remaining(item));
            summary.items.push(item.id.clone());
        }
    }
    groups
}
