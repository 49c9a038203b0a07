//! Attempts that ended recently. A delayed duplicate of their admission request must not get a
//! permit, because nobody would release it.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use havenstage_types::clock::Moment;
use havenstage_types::ids::AttemptId;

/// How long an ended attempt is remembered; longer than any admission request is in flight.
const RETENTION: Duration = Duration::from_secs(60);

/// Set of ended attempts with the times of their ends, the oldest first.
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

    pub fn remove_expired(&mut self, now: Moment) {
        while let Some(&(ended_at, attempt)) = self.order.front() {
            if now.since(ended_at) < RETENTION {
                return;
            }
            self.order.pop_front();
            self.attempts.remove(&attempt);
        }
    }
}
