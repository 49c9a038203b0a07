//! Versions whose loads end back ends: tried again by one back end at a time, with a pause between them.
//!
//! They are not given up, unlike requests: back ends may have ended for other reasons while they loaded, and
//! without its newest version a trainer stands still. One load that ends well clears the version.

use std::collections::BTreeMap;

use havenstage_rollout::Millis;
use havenstage_rollout::crash_ledger::{Fingerprint, Suspicion};
use havenstage_rollout::order_plan::PlannedOrder;
use log::warn;

use super::Coordinator;
use crate::crash_guard;
use crate::fingerprint;

/// Pause between two tries of a version under whose loads three back ends ended: a back end is away for some
/// seconds after its end, so a pool of any size keeps nearly all of them.
const TRY_PAUSE_MS: Millis = 10_000;
/// Most versions of which a try is remembered; the newest ones are.
const MOST_REMEMBERED: usize = 64;

/// Loads of suspected versions: how many are under way, and when barred ones were tried last.
#[derive(Debug, Default)]
pub(super) struct HarmfulLoads {
    under_way: BTreeMap<Fingerprint, usize>,
    last_try: BTreeMap<Fingerprint, Millis>,
}

impl HarmfulLoads {
    /// Whether a load may begin, in view of the back ends that ended under the same one.
    pub(super) fn may_begin(&self, load: &Fingerprint, suspicion: &Suspicion, now: Millis) -> bool {
        let under_way = self.under_way.get(load).copied().unwrap_or(0);
        match suspicion {
            Suspicion::None => true,
            Suspicion::Suspected { runs_left, .. } => under_way < *runs_left,
            Suspicion::LeftToAnother { .. } | Suspicion::Barred { .. } => {
                let last = self.last_try.get(load);
                under_way == 0 && last.is_none_or(|last| now.saturating_sub(*last) >= TRY_PAUSE_MS)
            }
        }
    }

    /// A load begins.
    pub(super) fn begins(&mut self, load: Fingerprint, suspicion: &Suspicion, now: Millis) {
        *self.under_way.entry(load).or_default() += 1;
        if matches!(suspicion, Suspicion::None | Suspicion::Suspected { .. }) {
            return;
        }
        self.last_try.insert(load, now);
        if self.last_try.len() > MOST_REMEMBERED {
            let oldest = self.last_try.iter().min_by_key(|(_, at)| **at);
            if let Some(load) = oldest.map(|(load, _)| *load) {
                self.last_try.remove(&load);
            }
        }
    }

    /// A load has ended, and it is known how.
    pub(super) fn ended(&mut self, load: &Fingerprint) {
        if let Some(count) = self.under_way.get_mut(load) {
            *count -= 1;
            if *count == 0 {
                self.under_way.remove(load);
            }
        }
    }
}

impl Coordinator {
    /// Whether a planned order may be given now; counts its load as under way if so.
    pub(super) fn begin_load(&mut self, order: &PlannedOrder) -> bool {
        if self.under_way.contains(&order.backend) {
            return false;
        }
        let load = fingerprint::of_load(&order.model, order.version);
        let now = self.context.now();
        let suspicion = crash_guard::suspicion(&self.context, &load);
        if !self.harmful_loads.may_begin(&load, &suspicion, now) {
            return false;
        }
        self.harmful_loads.begins(load, &suspicion, now);
        if !matches!(suspicion, Suspicion::None) {
            warn!(event = "suspected_version_tried", model = order.model.as_str(), version = order.version,
                content = load.to_string().as_str(), backend = order.backend.as_str(),
                suspicion = format!("{suspicion:?}").as_str(); "");
        }
        true
    }
}
