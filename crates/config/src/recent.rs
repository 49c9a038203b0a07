//! Outcomes of the most recent changes, used to deduplicate repeated changes.

use std::collections::{BTreeMap, VecDeque};

use havenstage_types::config::{ChangeOutcome, RecentChange};
use havenstage_types::ids::ChangeId;

/// Number of change ids that are remembered. All nodes must use the same limit: readers with
/// different limits would disagree on which changes are repeats. A repeat of a forgotten id is
/// decided again; its precondition still prevents it from undoing a later change of a resource that
/// exists.
pub const RECENT_CHANGE_LIMIT: usize = 4096;

/// The last [`RECENT_CHANGE_LIMIT`] change ids with their outcomes; the oldest is forgotten first.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct RecentChanges {
    order: VecDeque<ChangeId>,
    outcomes: BTreeMap<ChangeId, ChangeOutcome>,
}

impl RecentChanges {
    /// The outcome of `id`, or `None` when the id was never stored or is forgotten.
    pub(crate) fn get(&self, id: &ChangeId) -> Option<&ChangeOutcome> {
        self.outcomes.get(id)
    }

    /// Stores the outcome of `id`, unless one is already stored. Forgets the oldest id when the
    /// limit is exceeded.
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
