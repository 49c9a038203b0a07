//! Ends stalled runs, so that their items continue on other back ends.

use havenstage_rollout::Millis;
use havenstage_rollout::stall::{NodeState, Stall, StallDetector, WatchedRun};
use log::info;

use super::Engine;
use super::active_item::Phase;
use super::candidates::LOAD_ORDER_TIMEOUT_MS;
use super::run::{ItemKey, RunEnd};
use crate::metrics;

/// Time between two checks of the runs in flight.
const CHECK_INTERVAL_MS: Millis = 100;

/// The stall detector, and when the runs in flight were last checked.
#[derive(Debug, Default)]
pub(super) struct StallWatch {
    pub(super) detector: StallDetector,
    checked_at: Millis,
}

impl Engine {
    /// Ends the runs that are stalled, if the next check is due.
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

    /// Tells a run to end. The task of the run sends the end to the engine itself, once it has checked whether the
    /// back end crashed during the run.
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
