//! Metering: how many requests of each tenant the back ends began in each time window.
//!
//! Every node counts the requests that it sends and appends its counts to the log. Counts only grow, so a record that
//! is appended twice or late changes nothing. The holder of the order lease adds them up some time after a window has
//! ended, and appends the sum before it reports it. The first sum in the log counts, so that two lease holders never
//! report different sums of one window.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{NodeId, TenantName};
use crate::stored::Stored;

/// Number of a window, counted from the Unix epoch (the beginning of 1970).
pub type UsageWindow = u64;

/// Number of requests of each tenant.
pub type RequestCounts = BTreeMap<TenantName, u64>;

/// Number of decided windows that are kept: reports are due within a few windows, and are retried for longer.
const KEPT_WINDOWS: usize = 24;

/// The window that contains the Unix time `unix_ms`; `window_ms` is the length of a window. Both are in milliseconds.
pub fn window_at(unix_ms: u64, window_ms: u64) -> UsageWindow {
    unix_ms / window_ms.max(1)
}

/// The requests that a node has counted in a window so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The node that counted.
    pub node: NodeId,
    /// The window in which the requests were counted.
    pub window: UsageWindow,
    /// Its counts, which include those of its earlier records of the window.
    pub counts: RequestCounts,
}

impl Stored for UsageRecord {
    const DESCRIPTION: &'static str = "a record of usage";
}

/// Counts the requests that this node sends, by window and tenant.
#[derive(Debug, Default)]
pub struct UsageMeter {
    windows: BTreeMap<UsageWindow, MeteredWindow>,
}

#[derive(Debug, Default)]
struct MeteredWindow {
    counts: RequestCounts,
    total: u64,
    /// Number of requests in the newest record that is known to be in the log.
    written: u64,
}

impl UsageMeter {
    /// Counts a request of a tenant that a back end began.
    pub fn count_request(&mut self, tenant: &TenantName, window: UsageWindow) {
        let metered = self.windows.entry(window).or_default();
        *metered.counts.entry(tenant.clone()).or_default() += 1;
        metered.total += 1;
    }

    /// The records of all windows with requests that are not known to be in the log.
    pub fn unwritten_records(&self, node: &NodeId) -> Vec<UsageRecord> {
        let windows = self.windows.iter();
        let unwritten = windows.filter(|(_, metered)| metered.written < metered.total);
        unwritten
            .map(|(window, metered)| UsageRecord {
                node: node.clone(),
                window: *window,
                counts: metered.counts.clone(),
            })
            .collect()
    }

    /// Marks these records as present in the log.
    pub fn mark_written(&mut self, records: &[UsageRecord]) {
        for record in records {
            if let Some(metered) = self.windows.get_mut(&record.window) {
                let total = record.counts.values().sum();
                metered.written = metered.written.max(total);
            }
        }
    }

    /// Forgets windows before `window` whose counts are all in the log.
    pub fn forget_before(&mut self, window: UsageWindow) {
        self.windows
            .retain(|at, metered| *at >= window || metered.written < metered.total);
    }
}

/// The counts of all nodes from one partition of the usage stream.
#[derive(Debug, Default)]
pub struct UsageTotals {
    windows: BTreeMap<UsageWindow, BTreeMap<NodeId, RequestCounts>>,
}

impl UsageTotals {
    /// Applies a record; for each tenant the highest count of a node is kept.
    pub fn apply(&mut self, record: UsageRecord) {
        let nodes = self.windows.entry(record.window).or_default();
        let counts = nodes.entry(record.node).or_default();
        for (tenant, count) in record.counts {
            let known = counts.entry(tenant).or_default();
            *known = (*known).max(count);
        }
    }

    /// Adds the counts of a window to `sum`.
    pub fn add_to(&self, window: UsageWindow, sum: &mut RequestCounts) {
        let nodes = self.windows.get(&window);
        for (tenant, count) in nodes.into_iter().flat_map(|nodes| nodes.values().flatten()) {
            *sum.entry(tenant.clone()).or_default() += count;
        }
    }

    /// The oldest window with counts.
    pub fn oldest(&self) -> Option<UsageWindow> {
        self.windows.keys().next().copied()
    }

    /// Forgets windows before `window`.
    pub fn forget_before(&mut self, window: UsageWindow) {
        self.windows.retain(|at, _| *at >= window);
    }
}

/// The decided sum of a window, and whether its report is settled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedUsage {
    /// The window that the sum is for.
    pub window: UsageWindow,
    /// Number of requests of each tenant, summed over all nodes.
    pub counts: RequestCounts,
    /// Whether the report is known to have arrived or has been abandoned.
    pub is_settled: bool,
}

/// The decided windows, in the order of the log.
#[derive(Debug, Default)]
pub struct UsageLedger {
    decided: Vec<DecidedUsage>,
}

impl UsageLedger {
    /// Restores a ledger from a checkpoint.
    pub fn restored(decided: Vec<DecidedUsage>) -> Self {
        Self { decided }
    }

    /// The windows that are kept, oldest first.
    pub fn decided(&self) -> &[DecidedUsage] {
        &self.decided
    }

    /// Applies the decision of a lease holder on a window. It is ignored unless the window is newer than all decided ones,
    /// as windows are decided in order.
    pub fn decide(&mut self, window: UsageWindow, counts: RequestCounts) {
        if self.newest().is_some_and(|newest| newest >= window) {
            return;
        }
        self.decided.push(DecidedUsage {
            window,
            counts,
            is_settled: false,
        });
        let surplus = self.decided.len().saturating_sub(KEPT_WINDOWS);
        self.decided.drain(..surplus);
    }

    /// Marks a window as settled: it needs no further report.
    pub fn settle(&mut self, window: UsageWindow) {
        let mut decided = self.decided.iter_mut();
        if let Some(decided) = decided.find(|decided| decided.window == window) {
            decided.is_settled = true;
        }
    }

    /// The newest decided window.
    pub fn newest(&self) -> Option<UsageWindow> {
        self.decided.last().map(|decided| decided.window)
    }

    /// The oldest decided window that is not settled.
    pub fn oldest_unsettled(&self) -> Option<&DecidedUsage> {
        self.decided.iter().find(|decided| !decided.is_settled)
    }
}
