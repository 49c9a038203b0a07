//! The request counts of this node, and which of them the log does not hold yet.

use std::sync::{Mutex, MutexGuard, PoisonError};

use havenstage_clock::time_of_day::UnixMillis;
use havenstage_rollout::ids::{NodeId, TenantName};
use havenstage_rollout::usage::{self, UsageMeter, UsageRecord, UsageWindow};
use tokio::sync::Notify;

/// Windows for which counts are kept after they were written. A record that the log loses later is not written
/// again.
const RETAINED_WINDOWS: u64 = 12;

/// Counts requests by tenant and window.
pub struct UsageCounter {
    /// Length of a window in milliseconds; `None` if metering is off.
    window_ms: Option<u64>,
    meter: Mutex<UsageMeter>,
    /// Notified when a request was counted.
    counted: Notify,
}

impl UsageCounter {
    /// Creates an empty counter with windows of `window_ms` milliseconds; with `None`, nothing is counted.
    pub fn new(window_ms: Option<u64>) -> Self {
        Self {
            window_ms,
            meter: Mutex::default(),
            counted: Notify::new(),
        }
    }

    /// Counts a request of a tenant that a back end began at this time of day, in milliseconds.
    pub fn record_request(&self, tenant: &TenantName, at: UnixMillis) {
        let Some(window_ms) = self.window_ms else {
            return;
        };
        self.lock()
            .count_request(tenant, usage::window_at(at, window_ms));
        self.counted.notify_one();
    }

    /// Whether the log holds all counts of this node.
    pub fn is_written(&self, node: &NodeId) -> bool {
        self.lock().unwritten_records(node).is_empty()
    }

    /// Waits until a request was counted.
    pub(crate) async fn counted(&self) {
        self.counted.notified().await;
    }

    /// Records of the counts that the log does not hold yet.
    pub(crate) fn unwritten_records(&self, node: &NodeId) -> Vec<UsageRecord> {
        self.lock().unwritten_records(node)
    }

    /// Marks records as held by the log, and drops the counts of windows that are too old at this time of day.
    pub(crate) fn mark_written(&self, records: &[UsageRecord], at: UnixMillis) {
        let mut meter = self.lock();
        meter.mark_written(records);
        let window: UsageWindow = usage::window_at(at, self.window_ms.unwrap_or(1));
        meter.forget_before(window.saturating_sub(RETAINED_WINDOWS));
    }

    fn lock(&self) -> MutexGuard<'_, UsageMeter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
