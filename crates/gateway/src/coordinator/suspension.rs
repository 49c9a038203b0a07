//! Detects suspensions of the machine, so that the ages of other machines' orders do not include them.

use std::time::Duration;

use havenstage_rollout::Millis;
use log::warn;

use super::Coordinator;
use crate::metrics;

/// Total time for which the machine was suspended up to the last check.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspensionWatch {
    total: Duration,
}

impl SuspensionWatch {
    /// Creates a watch that ignores suspensions before now.
    pub(super) fn start() -> Self {
        Self {
            total: havenstage_clock::suspended(),
        }
    }

    /// Time for which the machine was suspended since the last call; `None` if it was not.
    fn newly_suspended(&mut self) -> Option<Duration> {
        let suspended = havenstage_clock::suspended();
        let added = suspended.saturating_sub(self.total);
        self.total = suspended;
        (!added.is_zero()).then_some(added)
    }
}

impl Coordinator {
    /// Logs and counts a suspension since the last call, and excludes its time from the ages of other machines'
    /// orders.
    pub(super) fn record_suspension(&mut self) {
        let Some(suspended) = self.suspension.newly_suspended() else {
            return;
        };
        let suspended_ms = suspended.as_millis() as Millis;
        warn!(event = "machine_was_suspended", suspended_ms = suspended_ms,
            contact_age_ms = self.context.contact_age(), holds_order_lease = self.lease.is_some(); "");
        metrics::machine_suspended(suspended);
        let mut control = self.context.control.lock();
        control.state.exclude_suspended_time(suspended_ms);
    }
}
