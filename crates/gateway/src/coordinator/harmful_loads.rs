//! Limits the loads of versions that are suspected to crash back ends. A barred version is loaded by one back
//! end at a time, with a pause between two attempts.
//!
//! Unlike a request, such a version is never given up: the back ends may have crashed for another reason while
//! they loaded it, and a trainer makes no progress without its newest version. One successful load clears the
//! version.

use std::collections::BTreeMap;

use havenstage_rollout::Millis;
use havenstage_rollout::crash_ledger::{Fingerprint, Suspicion};
use havenstage_rollout::order_plan::PlannedOrder;
use log::warn;

use super::Coordinator;
use crate::crash_guard;
use crate::fingerprint;

/// Least time between two attempts to load a version that three back ends crashed while loading. A back end is
/// away for some seconds after a crash, so a pool of any size keeps nearly all of its back ends.
const RETRY_INTERVAL_MS: Millis = 10_000;
/// Versions whose last attempt is remembered, at most; the oldest attempt is forgotten first.
const MAX_REMEMBERED_ATTEMPTS: usize = 64;

/// Loads of each version that are in flight, and the last attempt of each barred version.
#[derive(Debug, Default)]
pub(super) struct HarmfulLoads {
    in_flight: BTreeMap<Fingerprint, usize>,
    last_attempt: BTreeMap<Fingerprint, Millis>,
}

impl HarmfulLoads {
    /// Whether a load may begin, given the suspicion against its version.
    pub(super) fn can_begin(&self, load: &Fingerprint, suspicion: &Suspicion, now: Millis) -> bool {
        let in_flight = self.in_flight.get(load).copied().unwrap_or(0);
        match suspicion {
            Suspicion::None => true,
            Suspicion::Suspected { runs_left, .. } => in_flight < *runs_left,
            Suspicion::TrialOnly { .. } | Suspicion::Barred { .. } => {
                let last = self.last_attempt.get(load);
                in_flight == 0
                    && last.is_none_or(|last| now.saturating_sub(*last) >= RETRY_INTERVAL_MS)
            }
        }
    }

    /// Records the start of a load.
    pub(super) fn record_start(&mut self, load: Fingerprint, suspicion: &Suspicion, now: Millis) {
        *self.in_flight.entry(load).or_default() += 1;
        if matches!(suspicion, Suspicion::None | Suspicion::Suspected { .. }) {
            return;
        }
        self.last_attempt.insert(load, now);
        if self.last_attempt.len() > MAX_REMEMBERED_ATTEMPTS {
            let oldest = self.last_attempt.iter().min_by_key(|(_, at)| **at);
            if let Some(load) = oldest.map(|(load, _)| *load) {
                self.last_attempt.remove(&load);
            }
        }
    }

    /// Records the end of a load whose outcome is known.
    pub(super) fn record_end(&mut self, load: &Fingerprint) {
        if let Some(count) = self.in_flight.get_mut(load) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(load);
            }
        }
    }
}

impl Coordinator {
    /// Whether a planned order may be sent now; if so, its load is counted as in flight.
    pub(super) fn try_begin_load(&mut self, order: &PlannedOrder) -> bool {
        if self.in_flight.contains_key(&order.backend) {
            return false;
        }
        let load = fingerprint::of_load(&order.model, order.version);
        let now = self.context.now();
        let suspicion = crash_guard::suspicion(&self.context, &load);
        if !self.harmful_loads.can_begin(&load, &suspicion, now) {
            return false;
        }
        self.harmful_loads.record_start(load, &suspicion, now);
        if !matches!(suspicion, Suspicion::None) {
            warn!(event = "suspected_version_tried", model = order.model.as_str(), version = order.version,
                content = load.to_string().as_str(), backend = order.backend.as_str(),
                suspicion = format!("{suspicion:?}").as_str(); "");
        }
        true
    }
}
