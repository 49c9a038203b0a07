//! Failures and response times of each back end, as observed by this node's own requests.

use std::collections::BTreeMap;

use crate::Millis;
use crate::ids::BackendId;

/// Backoff after the first failure of a back end; doubles with each further failure in a row.
const INITIAL_BACKOFF_MS: Millis = 250;
/// Maximum backoff after failures of a back end.
const MAX_BACKOFF_MS: Millis = 2_000;
/// Weight of the newest response time in the exponentially weighted moving average.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.2;

#[derive(Debug, Clone, Default)]
struct Observations {
    failures: u32,
    backoff_until: Millis,
    mean_ms: Option<f64>,
}

/// Failures and mean response times of all back ends, as observed by one node.
#[derive(Debug, Default)]
pub struct BackendHealth {
    observations: BTreeMap<BackendId, Observations>,
}

impl BackendHealth {
    /// Records that a request failed at a back end, or that the back end could not be reached.
    pub fn record_failure(&mut self, backend: &BackendId, now: Millis) {
        let observations = self.observations.entry(backend.clone()).or_default();
        let doublings = observations.failures.min(8);
        let backoff = (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        observations.failures += 1;
        observations.backoff_until = now + backoff;
    }

    /// Records that a back end answered, which ends its backoff. `took_ms` is the response time in milliseconds, `None`
    /// where it is not representative.
    pub fn record_answer(&mut self, backend: &BackendId, took_ms: Option<Millis>) {
        let observations = self.observations.entry(backend.clone()).or_default();
        observations.failures = 0;
        observations.backoff_until = 0;
        if let Some(took_ms) = took_ms {
            let took = took_ms as f64;
            let mean = observations.mean_ms.unwrap_or(took);
            observations.mean_ms = Some(mean + NEWEST_SAMPLE_WEIGHT * (took - mean));
        }
    }

    /// Whether a back end is in backoff, so that other back ends are preferred.
    pub fn is_avoided(&self, backend: &BackendId, now: Millis) -> bool {
        self.observations
            .get(backend)
            .is_some_and(|observations| observations.backoff_until > now)
    }

    /// Moving average of a back end's response times in milliseconds; `None` if there is none yet.
    pub fn mean_ms(&self, backend: &BackendId) -> Option<f64> {
        self.observations.get(backend)?.mean_ms
    }

    /// Removes the back ends for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&BackendId) -> bool) {
        self.observations.retain(|backend, _| keep(backend));
    }
}
