//! Scheduling of batch items: which item runs next, on which back end, and which running items move.

mod expected_end;
mod fair_share;
mod memory;
mod placement;
mod probe;
mod relocation;
mod required_groups;
mod wait_reason;

use std::collections::{BTreeMap, HashSet};

use crate::Millis;
use crate::ids::{BackendId, BatchId, GroupId, ItemId, ModelName, RegionName, Version};
use crate::residency::Residency;

pub use expected_end::sort_by_expected_end;
pub use fair_share::{Claim, prioritize_waiting, urgency};
pub use memory::{ItemTokens, TokenMemory};
pub use placement::choose_backend;
pub use probe::assign_probes;
pub use relocation::{Relocation, RunningItem, plan_relocations};
pub use required_groups::optional_items;
pub use wait_reason::{WaitReason, wait_reason};

/// An item that waits for a slot on a back end.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingItem {
    /// The batch that the item belongs to.
    pub batch: BatchId,
    /// Identifies the item within its batch.
    pub item: ItemId,
    /// Whether the training step can complete without this item.
    pub is_optional: bool,
    /// The tenant or route that the item runs for, and how urgent it is.
    pub claim: Claim,
    /// Output tokens that the item is still expected to generate.
    pub expected_tokens: u32,
    /// Tokens of the prompt and of the output generated so far.
    pub held_tokens: u32,
    /// When this node first saw the batch.
    pub batch_first_seen: Millis,
    /// Since when no back end has the item: when its last run ended, or else when this node first saw the batch.
    pub waiting_since: Millis,
    /// Model that the item needs; `None` if any back end of the pool will do.
    pub model: Option<ModelName>,
    /// Oldest version of the model that the item may run on.
    pub minimum_version: Version,
    /// The only version that the item may run on, if its output so far binds it to one.
    pub exact_version: Option<Version>,
    /// Group of items with the same prompt, used to place them together.
    pub group: Option<GroupId>,
    /// Regions in which the item may run.
    pub residency: Residency,
}

impl WaitingItem {
    /// Tokens that the item holds in a back end's memory, now and later.
    pub fn tokens(&self) -> ItemTokens {
        ItemTokens {
            held: self.held_tokens,
            remaining: self.expected_tokens,
        }
    }

    /// Whether the item may run on `version` of its model.
    pub fn allows(&self, version: Version) -> bool {
        match self.exact_version {
            Some(exact) => version == exact,
            None => version >= self.minimum_version,
        }
    }
}

/// A back end that items may be placed on.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Identifies the back end.
    pub backend: BackendId,
    /// Region of the back end; `None` if unknown.
    pub region: Option<RegionName>,
    /// Items that run there now, counted over all nodes.
    pub running: u32,
    /// Items that may run there at a time; fewer than the back end has while it warms up or is half-open.
    pub slots: u32,
    /// Memory of the back end, in tokens.
    pub memory: TokenMemory,
    /// Milliseconds between two events of a stream there.
    pub event_gap_ms: f64,
    /// Whether the back end failed earlier and its circuit breaker now admits one item as a probe.
    pub is_half_open: bool,
    /// Models that the back end serves, with the version of each.
    pub models: BTreeMap<ModelName, Version>,
    /// Groups whose prompt the back end already holds.
    pub groups: HashSet<GroupId>,
}

impl Candidate {
    /// Number of free slots; none while the back end is half-open.
    pub fn free_slots(&self) -> usize {
        if self.is_half_open {
            return 0;
        }
        self.slots.saturating_sub(self.running) as usize
    }

    /// Counts `item` as running on this back end.
    pub fn add_item(&mut self, item: &WaitingItem) {
        self.running += 1;
        self.memory.add(item.tokens());
        self.groups.extend(item.group.clone());
    }

    /// Stops counting `item` as running on this back end.
    pub fn remove_item(&mut self, item: &WaitingItem) {
        self.running = self.running.saturating_sub(1);
        self.memory.remove(item.tokens());
    }

    /// Whether the item may run there now. Always false while the back end is half-open.
    pub fn accepts(&self, item: &WaitingItem) -> bool {
        !self.is_half_open && self.has_slot_for(item)
    }

    /// Whether the back end has a free slot and a suitable region and weights version for the item.
    fn has_slot_for(&self, item: &WaitingItem) -> bool {
        self.running < self.slots && self.is_in_region_of(item) && self.has_version_for(item)
    }

    fn is_in_region_of(&self, item: &WaitingItem) -> bool {
        item.residency.allows(self.region.as_ref())
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
