//! What a node has seen of each back end itself: failures, and how fast it answers.

use std::collections::BTreeMap;

use crate::Millis;
use crate::ids::BackendId;

/// First time that a back end is avoided after a failure; doubles with each further one.
const FIRST_AVOIDANCE_MS: Millis = 250;
/// Longest time that a back end is avoided.
const LONGEST_AVOIDANCE_MS: Millis = 2_000;
/// Weight of the newest measurement in a running mean.
const NEWEST_WEIGHT: f64 = 0.2;

#[derive(Debug, Clone, Default)]
struct Seen {
    failures: u32,
    avoid_until: Millis,
    mean_ms: Option<f64>,
}

/// Health of all back ends, as one node has seen it.
#[derive(Debug, Default)]
pub struct BackendHealth {
    seen: BTreeMap<BackendId, Seen>,
}

impl BackendHealth {
    /// A request failed there, or it could not be reached.
    pub fn record_failure(&mut self, backend: &BackendId, now: Millis) {
        let seen = self.seen.entry(backend.clone()).or_default();
        let doublings = seen.failures.min(8);
        let avoidance = (FIRST_AVOIDANCE_MS << doublings).min(LONGEST_AVOIDANCE_MS);
        seen.failures += 1;
        seen.avoid_until = now + avoidance;
    }

    /// It answered, after so long; `None` where the time says nothing.
    pub fn record_answer(&mut self, backend: &BackendId, took_ms: Option<Millis>) {
        let seen = self.seen.entry(backend.clone()).or_default();
        seen.failures = 0;
        seen.avoid_until = 0;
        if let Some(took_ms) = took_ms {
            let took = took_ms as f64;
            let mean = seen.mean_ms.unwrap_or(took);
            seen.mean_ms = Some(mean + NEWEST_WEIGHT * (took - mean));
        }
    }

    /// Whether it is avoided while others can be had.
    pub fn is_avoided(&self, backend: &BackendId, now: Millis) -> bool {
        self.seen
            .get(backend)
            .is_some_and(|seen| seen.avoid_until > now)
    }

    /// Mean time of its answers.
    pub fn mean_ms(&self, backend: &BackendId) -> Option<f64> {
        self.seen.get(backend)?.mean_ms
    }

    /// Forgets back ends that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&BackendId) -> bool) {
        self.seen.retain(|backend, _| keep(backend));
    }
}
