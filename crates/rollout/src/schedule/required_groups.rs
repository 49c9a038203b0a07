//! Which groups of items a training step does not need in order to complete.

use std::collections::{HashMap, HashSet};

use crate::batch_state::{BatchState, ItemState};
use crate::ids::{GroupId, ItemId};

/// Unfinished items of a batch without which its training step can complete. Groups that contain an item of
/// `carried` (carried over from an earlier batch) are always required. Of the other groups, as many as the
/// step still needs are required: first the complete ones, then those with the fewest tokens left in their
/// longest item. If the batch states no number of desired groups, all are required. `remaining` returns the
/// expected remaining tokens of an item.
pub fn optional_items(
    batch: &BatchState,
    carried: &HashSet<ItemId>,
    remaining: impl Fn(&ItemState) -> u32,
) -> HashSet<ItemId> {
    let groups = group_summaries(batch, carried, remaining);
    if batch.desired_groups == 0 || groups.is_empty() {
        return HashSet::new();
    }
    let mut open: Vec<&GroupSummary> = groups.values().filter(|group| !group.is_carried).collect();
    open.sort_by_key(|group| {
        (
            !group.is_complete,
            group.longest_remaining,
            group.first_position,
        )
    });
    let carried_groups = groups.values().filter(|group| group.is_carried).count();
    let needed = (batch.desired_groups as usize).saturating_sub(carried_groups);
    let surplus = open.iter().skip(needed).filter(|group| !group.is_complete);
    surplus
        .flat_map(|group| group.items.iter().cloned())
        .collect()
}

struct GroupSummary {
    /// Position of the group's first item in the batch.
    first_position: usize,
    is_carried: bool,
    is_complete: bool,
    /// Expected tokens of the unfinished item with the most left.
    longest_remaining: u32,
    /// Unfinished items of the group.
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
            first_position: at,
            is_carried: false,
            is_complete: true,
            longest_remaining: 0,
            items: Vec::new(),
        });
        summary.is_carried |= carried.contains(&item.id);
        if item.result.is_none() {
            summary.is_complete = false;
            summary.longest_remaining = summary.longest_remaining.max(remaining(item));
            summary.items.push(item.id.clone());
        }
    }
    groups
}
