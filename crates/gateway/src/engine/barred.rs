//! Keeps items from running that are suspected of crashing back ends. A barred item takes no slot; it waits until
//! its bar is lifted, its batch ends, or it is given up. The same holds while a suspected item awaits reports of
//! other nodes, and while this node could not yet report its ends (the crashes during it) to another node.

use std::collections::HashSet;

use havenstage_rollout::crash_ledger::{Fingerprint, Suspicion};
use havenstage_rollout::schedule::WaitingItem;

use super::Engine;
use super::plan::key_of;
use super::run::ItemKey;
use crate::crash_guard;
use crate::fingerprint;

/// Maximum number of items remembered as logged. Beyond it the engine forgets them all, so an item that is still
/// barred is logged once more.
const MAX_LOGGED_BARRED: usize = 1_024;

impl Engine {
    /// Those of the waiting items that must not run now.
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
                    self.log_barred(&key, &request);
                    barred.insert(key);
                }
                Suspicion::Suspected { runs_left: 0, .. } => {
                    barred.insert(key);
                }
                Suspicion::None | Suspicion::Suspected { .. } | Suspicion::TrialOnly { .. } => {}
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

    fn log_barred(&mut self, key: &ItemKey, request: &Fingerprint) {
        if self.logged_barred.len() >= MAX_LOGGED_BARRED {
            self.logged_barred.clear();
        }
        if self.logged_barred.insert(key.clone()) {
            crash_guard::record_barred_retry(&self.context, request, key.item.as_str());
        }
    }
}
