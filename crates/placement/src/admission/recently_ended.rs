//! Attempts that ended a short while ago. A copy of their ask that arrives late must not get a
//! permit that nobody would release.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::ids::AttemptId;

/// How long an ended attempt is remembered; longer than any ask stays on the way.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);

/// See the module.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentlyEnded {
    order: VecDeque<(Moment, AttemptId)>,
    attempts: BTreeSet<AttemptId>,
}

impl RecentlyEnded {
    pub fn insert(&mut self, now: Moment, attempt: AttemptId) {
        if self.attempts.insert(attempt) {
            self.order.push_back((now, attempt));
        }
    }

    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.attempts.contains(&attempt)
    }

    pub fn forget_old(&mut self, now: Moment) {
        while let Some(&(ended_at, attempt)) = self.order.front() {
            if now.since(ended_at) < REMEMBERED_FOR {
                return;
            }
            self.order.pop_front();
            self.attempts.remove(&attempt);
        }
    }
}
