//! What this node has counted and not yet written.

use std::sync::{Mutex, MutexGuard, PoisonError};

use havenstage_clock::time_of_day::UnixMillis;
use havenstage_rollout::ids::{NodeId, TenantName};
use havenstage_rollout::usage::{self, UsageMeter, UsageRecord, UsageWindow};
use tokio::sync::Notify;

/// Windows that are kept after they were written: a record that is lost with the log is not written again.
const KEPT_WINDOWS: u64 = 12;

/// Counts requests by tenant and window.
pub struct UsageCounter {
    /// Length of a window in milliseconds; `None` where nothing is metered.
    window_ms: Option<u64>,
    meter: Mutex<UsageMeter>,
    grown: Notify,
}

impl UsageCounter {
    /// Nothing counted yet.
    pub fn new(window_ms: Option<u64>) -> Self {
        Self {
            window_ms,
            meter: Mutex::default(),
            grown: Notify::new(),
        }
    }

    /// A back end began a request of a tenant at a time of day.
    pub fn record_request(&self, tenant: &TenantName, at: UnixMillis) {
        let Some(window_ms) = self.window_ms else {
            return;
        };
        self.lock()
            .count_request(tenant, usage::window_at(at, window_ms));
        self.grown.notify_one();
    }

    /// Whether the log holds all that was counted.
    pub fn is_written(&self, node: &NodeId) -> bool {
        self.lock().unwritten_records(node).is_empty()
    }

    /// Waits until something was counted.
    pub(crate) async fn grown(&self) {
        self.grown.notified().await;
    }

    /// What the log doesn't hold.
    pub(crate) fn unwritten(&self, node: &NodeId) -> Vec<UsageRecord> {
        self.lock().unwritten_records(node)
    }

    /// These records stand in the log at a time of day.
    pub(crate) fn written(&self, records: &[UsageRecord], at: UnixMillis) {
        let mut meter = self.lock();
        meter.mark_written(records);
        let window: UsageWindow = usage::window_at(at, self.window_ms.unwrap_or(1));
        meter.forget_before(window.saturating_sub(KEPT_WINDOWS));
    }

    fn lock(&self) -> MutexGuard<'_, UsageMeter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
