//! Which item runs next, on which back end, and which one is moved.

mod claim;
mod memory;
mod order;
mod placement;
mod relocation;
mod required_groups;
mod trial;

use std::collections::{BTreeMap, HashSet};

use crate::Millis;
use crate::ids::{BackendId, BatchId, GroupId, ItemId, ModelName, RegionName, Version};
use crate::residency::Residency;

pub use claim::{Claim, prioritize_waiting, urgency};
pub use memory::{ItemTokens, TokenMemory};
pub use order::sort_by_expected_end;
pub use placement::choose_backend;
pub use relocation::{Relocation, RunningItem, plan_relocations};
pub use required_groups::optional_items;
pub use trial::assign_probes;

/// An item that waits for a place.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingItem {
    /// Batch.
    pub batch: BatchId,
    /// Item.
    pub item: ItemId,
    /// Whether its step can be whole without it.
    pub is_optional: bool,
    /// On whose behalf it runs.
    pub claim: Claim,
    /// Tokens still expected.
    pub expected_tokens: u32,
    /// Tokens of its prompt and of its output so far.
    pub held_tokens: u32,
    /// When its batch was first seen.
    pub batch_first_seen: Millis,
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
    /// Its tokens in a back end's memory.
    pub fn tokens(&self) -> ItemTokens {
        ItemTokens {
            held: self.held_tokens,
            remaining: self.expected_tokens,
        }
    }

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
    /// Its memory, in tokens.
    pub memory: TokenMemory,
    /// Milliseconds between two events of a stream there.
    pub event_gap_ms: f64,
    /// Whether it failed before and is given one item to see if it does still.
    pub is_half_open: bool,
    /// Versions of its models.
    pub models: BTreeMap<ModelName, Version>,
    /// Groups whose prompt it holds.
    pub groups: HashSet<GroupId>,
}

impl Candidate {
    /// Places that are free for any item.
    pub fn free_slots(&self) -> usize {
        if self.is_half_open {
            return 0;
        }
        self.slots.saturating_sub(self.running) as usize
    }

    /// An item takes a place there.
    pub fn add_item(&mut self, item: &WaitingItem) {
        self.running += 1;
        self.memory.add(item.tokens());
        self.groups.extend(item.group.clone());
    }

    /// An item gives its place back.
    pub fn remove_item(&mut self, item: &WaitingItem) {
        self.running = self.running.saturating_sub(1);
        self.memory.remove(item.tokens());
    }

    /// Whether the item may run there now: not where it would be on trial.
    pub fn accepts(&self, item: &WaitingItem) -> bool {
        !self.is_half_open && self.has_place_for(item)
    }

    /// Whether it has a free place and new enough weights for the item.
    fn has_place_for(&self, item: &WaitingItem) -> bool {
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
}
