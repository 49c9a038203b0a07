//! Logs why items wait for a back end.

use std::collections::HashMap;

use havenstage_rollout::Millis;
use havenstage_rollout::schedule::{Candidate, WaitingItem, wait_reason};
use log::info;

use super::candidates::ExcludedBackends;
use super::plan::key_of;
use super::run::ItemKey;

/// Time at no back end after which an item is logged; it doubles with each further line.
const FIRST_LOGGED_WAIT_MS: Millis = 1_000;
/// Interval in which at most [`MAX_LINES`] items of all pools are logged, those first that wait longest.
const INTERVAL_MS: Millis = 1_000;
/// Maximum number of items that are logged in an interval.
const MAX_LINES: usize = 8;
/// Time after which an item that was to be logged again is forgotten: its batch has ended.
const RETENTION_MS: Millis = 60_000;
/// Reason of an item whose last runs broke off without progress.
const PAUSED: &str = "paused";

/// When the items that wait were last logged.
#[derive(Debug, Default)]
pub(super) struct WaitLog {
    /// When each of the logged items is to be logged again, if it still waits.
    next_line_at: HashMap<ItemKey, Millis>,
    interval_began: Millis,
    lines: usize,
}

/// The back ends of a pool, as a round of planning left them.
pub(super) struct PoolState<'a> {
    pub(super) pool: &'a str,
    pub(super) candidates: &'a [Candidate],
    pub(super) excluded: ExcludedBackends,
}

/// Items of a pool that a round of planning placed nowhere.
pub(super) struct UnplacedItems<'a> {
    /// Those for which no back end was found.
    pub(super) without_place: &'a [&'a WaitingItem],
    /// Those that wait for the end of a pause, as their last runs broke off without progress.
    pub(super) paused: &'a [WaitingItem],
}

impl WaitLog {
    /// Logs some of the items that a round of planning placed nowhere.
    pub(super) fn log(&mut self, unplaced: &UnplacedItems<'_>, state: &PoolState<'_>, now: Millis) {
        self.begin_interval(now);
        let left = MAX_LINES - self.lines;
        if left == 0 {
            return;
        }
        let without_place = unplaced.without_place.iter().map(|item| (*item, None));
        let paused = unplaced.paused.iter().map(|item| (item, Some(PAUSED)));
        let mut due: Vec<(&WaitingItem, Option<&'static str>)> = without_place
            .chain(paused)
            .filter(|(item, _)| self.is_due(item, now))
            .collect();
        due.sort_by_key(|(item, _)| item.waiting_since);
        due.truncate(left);
        self.lines += due.len();
        for (item, reason) in due {
            let waited_ms = now.saturating_sub(item.waiting_since);
            // Each wait until the next line is as long as the whole wait so far.
            self.next_line_at.insert(key_of(item), now + waited_ms);
            let reason = reason.unwrap_or_else(|| wait_reason(item, state.candidates).name());
            log_wait(item, reason, waited_ms, state);
        }
    }

    fn begin_interval(&mut self, now: Millis) {
        if now.saturating_sub(self.interval_began) < INTERVAL_MS {
            return;
        }
        self.interval_began = now;
        self.lines = 0;
        self.next_line_at
            .retain(|_, at| now.saturating_sub(*at) < RETENTION_MS);
    }

    fn is_due(&self, item: &WaitingItem, now: Millis) -> bool {
        let waited_ms = now.saturating_sub(item.waiting_since);
        if waited_ms < FIRST_LOGGED_WAIT_MS {
            return false;
        }
        let next_line_at = self.next_line_at.get(&key_of(item));
        next_line_at.is_none_or(|at| now >= *at)
    }

    /// Forgets an item that was started, or that this node no longer works on.
    pub(super) fn forget(&mut self, key: &ItemKey) {
        self.next_line_at.remove(key);
    }
}

fn log_wait(item: &WaitingItem, reason: &'static str, waited_ms: Millis, state: &PoolState<'_>) {
    let excluded = state.excluded;
    let free_slots: usize = state.candidates.iter().map(Candidate::free_slots).sum();
    info!(event = "item_waits", request = item.item.as_str(), batch = item.batch.as_str(),
        pool = state.pool, reason = reason, waited_ms = waited_ms,
        expected_tokens = item.expected_tokens, minimum_version = item.minimum_version,
        is_optional = item.is_optional, back_ends = state.candidates.len(), free_slots = free_slots,
        breaker_open = excluded.breaker_open, loading = excluded.loading,
        too_old = excluded.too_old, ended = excluded.ended, cold = excluded.cold; "");
}
