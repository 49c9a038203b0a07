//! Notices that the machine was suspended, as far as it matters to who gives orders.

use std::time::Duration;

use havenstage_rollout::Millis;
use log::warn;

use super::Coordinator;
use crate::metrics;

/// How long the machine was suspended in all, as far as was noticed.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspensionWatch {
    noticed: Duration,
}

impl SuspensionWatch {
    /// Counts from now on.
    pub(super) fn start() -> Self {
        Self {
            noticed: havenstage_clock::suspended(),
        }
    }

    /// Time for which the machine was suspended since the last call; `None` if it was not.
    fn newly_suspended(&mut self) -> Option<Duration> {
        let suspended = havenstage_clock::suspended();
        let newly = suspended.saturating_sub(self.noticed);
        self.noticed = suspended;
        (!newly.is_zero()).then_some(newly)
    }
}

impl Coordinator {
    /// Tells of a suspension since the last call, and counts none of it as time that other machines' orders are old.
    pub(super) fn note_suspension(&mut self) {
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
