//! Limits the loads of versions that are suspected to crash back ends. A barred version is loaded by one back
//! end at a time, with a pause between two attempts.
//!
//! The ends say nothing about the version if back ends that did not load it ended with them, as when all of a pool crash
//! together: the version is cleared then.
//!
//! Unlike a request, such a version is never given up: the back ends may have crashed for another reason while
//! they loaded it, and a trainer makes no progress without its newest version. One successful load clears the
//! version.

use std::collections::{BTreeMap, BTreeSet};

use havenstage_rollout::Millis;
use havenstage_rollout::crash_ledger::{Fingerprint, Suspicion};
use havenstage_rollout::ids::BackendId;
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

/// Number of back ends that may have begun to load a version and that are remembered, for each version.
const MAX_REMEMBERED_BACKENDS: usize = 256;

/// The latest loads of each version, as far as this node ordered them.
#[derive(Debug, Default)]
pub(super) struct HarmfulLoads {
    in_flight: BTreeMap<Fingerprint, usize>,
    /// Attempts of barred versions that are in flight.
    attempts: BTreeSet<Fingerprint>,
    /// When the last attempt of each barred version ended.
    last_attempt: BTreeMap<Fingerprint, Millis>,
    /// Back ends that may have begun to load each version.
    begun: BTreeMap<Fingerprint, BTreeSet<BackendId>>,
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
    pub(super) fn record_start(&mut self, load: Fingerprint, suspicion: &Suspicion) {
        *self.in_flight.entry(load).or_default() += 1;
        if !matches!(suspicion, Suspicion::None | Suspicion::Suspected { .. }) {
            self.attempts.insert(load);
        }
    }

    /// Records that the outcome of a load is known. An order that the back end did not take is no attempt.
    pub(super) fn record_end(&mut self, load: &Fingerprint, end: LoadEnd<'_>, now: Millis) {
        let was_attempt = self.attempts.remove(load);
        if end.may_have_begun {
            self.record_begun(load, end.backend);
            if was_attempt {
                self.record_attempt(load, now);
            }
        }
        if let Some(count) = self.in_flight.get_mut(load) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(load);
            }
        }
    }

    fn record_begun(&mut self, load: &Fingerprint, backend: &BackendId) {
        if self.begun.len() >= MAX_REMEMBERED_ATTEMPTS && !self.begun.contains_key(load) {
            self.begun.pop_first();
        }
        let begun = self.begun.entry(*load).or_default();
        if begun.len() < MAX_REMEMBERED_BACKENDS {
            begun.insert(backend.clone());
        }
    }

    fn record_attempt(&mut self, load: &Fingerprint, now: Millis) {
        self.last_attempt.insert(*load, now);
        if self.last_attempt.len() > MAX_REMEMBERED_ATTEMPTS {
            let oldest = self.last_attempt.iter().min_by_key(|(_, at)| **at);
            if let Some(load) = oldest.map(|(load, _)| *load) {
                self.last_attempt.remove(&load);
            }
        }
    }
}

/// How the order of a load ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadEnd<'a> {
    /// The back end that got the order.
    pub(super) backend: &'a BackendId,
    /// Whether it may have begun to load the version.
    pub(super) may_have_begun: bool,
}

impl Coordinator {
    /// Whether a planned order may be sent now; if so, its load is counted as in flight.
    pub(super) fn try_begin_load(&mut self, order: &PlannedOrder) -> bool {
        if self.in_flight.contains_key(&order.backend) {
            return false;
        }
        let load = fingerprint::of_load(&order.model, order.version);
        let now = self.context.now();
        let mut suspicion = crash_guard::suspicion(&self.context, &load);
        if suspicion != Suspicion::None && self.have_others_ended(&load, &order.backend, now) {
            crash_guard::clear_unfounded(&self.context, &order.backend, load);
            suspicion = Suspicion::None;
        }
        if !self.harmful_loads.can_begin(&load, &suspicion, now) {
            return false;
        }
        self.harmful_loads.record_start(load, &suspicion);
        if !matches!(suspicion, Suspicion::None) {
            warn!(event = "suspected_version_tried", model = order.model.as_str(), version = order.version,
                content = load.to_string().as_str(), backend = order.backend.as_str(),
                suspicion = format!("{suspicion:?}").as_str(); "");
        }
        true
    }

    /// Whether back ends of the same pool as `backend` ended lately that did not load the version.
    fn have_others_ended(&self, load: &Fingerprint, backend: &BackendId, now: Millis) -> bool {
        let mut loading = {
            let control = self.context.control.lock();
            control.state.crashes().ended_under(load)
        };
        let begun = self.harmful_loads.begun.get(load);
        loading.extend(begun.into_iter().flatten().cloned());
        loading.extend(self.in_flight.keys().cloned());
        let backends = self.context.backends.lock();
        let pool = backends.list.get(backend).map(|record| &record.pool);
        pool.is_some_and(|pool| backends.has_unexpected_end(pool, &loading, RETRY_INTERVAL_MS, now))
    }
}
