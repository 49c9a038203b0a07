//! Outcomes of the most recent changes, by which repeats are recognised.

use std::collections::{BTreeMap, VecDeque};

use havenstage_types::config::{ChangeOutcome, RecentChange};
use havenstage_types::ids::ChangeId;

/// Number of change ids remembered. It is part of the fold: readers with different limits would
/// disagree on which changes are repeats.
pub const RECENT_CHANGE_LIMIT: usize = 4096;

/// The last [`RECENT_CHANGE_LIMIT`] change ids with their outcomes; the oldest is forgotten first.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct RecentChanges {
    order: VecDeque<ChangeId>,
    outcomes: BTreeMap<ChangeId, ChangeOutcome>,
}

impl RecentChanges {
    /// The outcome of `id`, if it is still remembered.
    pub(crate) fn get(&self, id: &ChangeId) -> Option<&ChangeOutcome> {
        self.outcomes.get(id)
    }

    /// Remembers the outcome of `id`; an outcome already known for it stays.
    pub(crate) fn remember(&mut self, id: ChangeId, outcome: ChangeOutcome) {
        if self.outcomes.contains_key(&id) {
            return;
        }
        self.order.push_back(id.clone());
        self.outcomes.insert(id, outcome);
        if self.order.len() > RECENT_CHANGE_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }

    /// All remembered changes, oldest first.
    pub(crate) fn to_list(&self) -> Vec<RecentChange> {
        self.order
            .iter()
            .filter_map(|id| {
                let outcome = self.outcomes.get(id)?.clone();
                Some(RecentChange {
                    id: id.clone(),
                    outcome,
                })
            })
            .collect()
    }
}

impl FromIterator<RecentChange> for RecentChanges {
    fn from_iter<I: IntoIterator<Item = RecentChange>>(changes: I) -> Self {
        let mut recent = Self::default();
        for change in changes {
            recent.remember(change.id, change.outcome);
        }
        recent
    }
}
