//! Items under which back ends ended: they wait until the bar is lifted, their batch ends, or they may be
//! given up, and take no place meanwhile. So do those whose ends no other node could be told of yet.

use std::collections::HashSet;

use havenstage_rollout::crash_ledger::{Fingerprint, Suspicion};
use havenstage_rollout::schedule::WaitingItem;

use super::Engine;
use super::plan::key_of;
use super::run::ItemKey;
use crate::crash_guard;
use crate::fingerprint;

/// Barred items that are remembered as told; behind these each is told once more.
const MOST_TOLD: usize = 1_024;

impl Engine {
    /// Those of the waiting items that must not be run, or not yet.
    pub(super) fn barred_items(&mut self, waiting: &[WaitingItem]) -> HashSet<ItemKey> {
        let may_bar = self
            .context
            .control
            .lock()
            .state
            .crashes()
            .has_bar_candidates();
        if !may_bar && !self.context.crash_guard.has_held_back_requests() {
            return HashSet::new();
        }
        let mut barred = HashSet::new();
        for item in waiting {
            let key = key_of(item);
            let Some(request) = self.fingerprint_of(&key) else {
                continue;
            };
            if crash_guard::is_held_back(&self.context, &request) {
                barred.insert(key);
                continue;
            }
            match crash_guard::suspicion(&self.context, &request) {
                Suspicion::Barred { .. } => {
                    self.tell_barred(&key, &request);
                    barred.insert(key);
                }
                Suspicion::Suspected { runs_left: 0, .. } => {
                    barred.insert(key);
                }
                Suspicion::None | Suspicion::Suspected { .. } | Suspicion::LeftToAnother { .. } => {
                }
            }
        }
        barred
    }

    fn fingerprint_of(&self, key: &ItemKey) -> Option<Fingerprint> {
        let inner = self.context.partition_of(&key.batch).lock();
        let batch = inner.state.batch(&key.batch)?;
        let spec = batch.item(&key.item)?.spec.as_ref()?;
        Some(fingerprint::of_item(&batch.host, spec))
    }

    fn tell_barred(&mut self, key: &ItemKey, request: &Fingerprint) {
        if self.told_barred.len() >= MOST_TOLD {
            self.told_barred.clear();
        }
        if self.told_barred.insert(key.clone()) {
            crash_guard::record_barred_retry(&self.context, request, key.item.as_str());
        }
    }
}
