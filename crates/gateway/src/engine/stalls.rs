//! Ends runs that are stalled, so that their items go on elsewhere.

use havenstage_rollout::Millis;
use havenstage_rollout::stall::{NodeState, Stall, StallDetector, WatchedRun};
use log::info;

use super::Engine;
use super::active_item::Phase;
use super::candidates::LOAD_ORDER_TIMEOUT_MS;
use super::run::{ItemKey, RunEnd};
use crate::metrics;

/// Time between two looks at the runs under way.
const CHECK_INTERVAL_MS: Millis = 100;

/// When the runs under way were last looked at, and what is heard of their back ends.
#[derive(Debug, Default)]
pub(super) struct StallWatch {
    pub(super) detector: StallDetector,
    checked_at: Millis,
}

impl Engine {
    /// Ends the runs that are stalled, when it is time to look again.
    pub(super) fn end_stalled_runs(&mut self) {
        let now = self.context.now();
        if now.saturating_sub(self.stalls.checked_at) < CHECK_INTERVAL_MS {
            return;
        }
        self.stalls.checked_at = now;
        self.remove_unlisted_backends();
        let runs = self.items.iter().filter_map(|(key, item)| {
            let Phase::Running {
                backend,
                since,
                last_event,
                stall_signal: Some(_),
                ..
            } = &item.phase
            else {
                return None;
            };
            let watched = WatchedRun {
                backend,
                started_at: *since,
                last_event_at: *last_event,
            };
            Some((key.clone(), watched))
        });
        let (keys, watched): (Vec<ItemKey>, Vec<WatchedRun<'_>>) = runs.unzip();
        let control = &self.context.control;
        let node = NodeState {
            now,
            contact_age_ms: self.context.contact_age(),
        };
        let stalls = self.stalls.detector.find_stalls(
            &watched,
            |backend| {
                let control = control.lock();
                let order = control.state.pending(backend);
                order.is_some_and(|order| now.saturating_sub(order.since) < LOAD_ORDER_TIMEOUT_MS)
            },
            node,
        );
        for stall in stalls {
            self.end_stalled_run(&keys[stall.run], &stall);
        }
    }

    /// The run tells its end itself, once it is known whether the back end ended under it.
    fn end_stalled_run(&mut self, key: &ItemKey, stall: &Stall) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        let Phase::Running {
            backend,
            stall_signal,
            ..
        } = &mut item.phase
        else {
            return;
        };
        let Some(stall_signal) = stall_signal.take() else {
            return;
        };
        let backend = backend.clone();
        metrics::run_stalled(stall.reason.name());
        info!(event = "run_stalled", request = key.item.as_str(), batch = key.batch.as_str(),
            backend = backend.as_str(), reason = stall.reason.name(), quiet_ms = stall.quiet_ms,
            events = item.events; "");
        stall_signal.notify_one();
        self.record_backend_failure(&backend, RunEnd::Stalled.name(), self.context.now());
    }

    fn remove_unlisted_backends(&mut self) {
        let backends = self.context.backends.lock();
        let list = &backends.list;
        self.breakers.retain(|id, _| list.get(id).is_some());
        self.stalls.detector.retain(|id| list.get(id).is_some());
    }
}
