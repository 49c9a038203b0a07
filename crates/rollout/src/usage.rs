//! Metering: how many requests of each tenant back ends began in each window of the time of day.
//!
//! Every node counts what it sends and appends its counts; they only grow, so that a record which is appended
//! twice or late changes nothing. The holder of the lease for orders adds them up once a window is over for a
//! while, and writes the sum down before it reports it: what stands first in the log is what was decided, so
//! that no two holders report different sums of a window.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{NodeId, TenantName};
use crate::stored::Stored;

/// Number of a window: windows are counted from the beginning of 1970.
pub type UsageWindow = u64;

/// Requests of each tenant.
pub type RequestCounts = BTreeMap<TenantName, u64>;

/// Decided windows that are remembered: reports are due within a few windows, and are tried for longer.
const KEPT_WINDOWS: usize = 24;

/// The window in which a moment lies, both in milliseconds of the time of day.
pub fn window_at(unix_ms: u64, window_ms: u64) -> UsageWindow {
    unix_ms / window_ms.max(1)
}

/// What a node has counted in a window so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The node.
    pub node: NodeId,
    /// The window.
    pub window: UsageWindow,
    /// Its counts, which replace those of its earlier records of the window.
    pub counts: RequestCounts,
}

impl Stored for UsageRecord {
    const DESCRIPTION: &'static str = "a record of usage";
}

/// What a node counts itself.
#[derive(Debug, Default)]
pub struct UsageMeter {
    windows: BTreeMap<UsageWindow, MeteredWindow>,
}

#[derive(Debug, Default)]
struct MeteredWindow {
    counts: RequestCounts,
    total: u64,
    /// Requests in the newest record that certainly stands in the log.
    written: u64,
}

impl UsageMeter {
    /// A back end began a request of a tenant.
    pub fn count_request(&mut self, tenant: &TenantName, window: UsageWindow) {
        let metered = self.windows.entry(window).or_default();
        *metered.counts.entry(tenant.clone()).or_default() += 1;
        metered.total += 1;
    }

    /// Records of all windows of which the log doesn't hold everything.
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

    /// These records stand in the log.
    pub fn mark_written(&mut self, records: &[UsageRecord]) {
        for record in records {
            if let Some(metered) = self.windows.get_mut(&record.window) {
                let total = record.counts.values().sum();
                metered.written = metered.written.max(total);
            }
        }
    }

    /// Forgets written windows before `window`.
    pub fn forget_before(&mut self, window: UsageWindow) {
        self.windows
            .retain(|at, metered| *at >= window || metered.written < metered.total);
    }
}

/// The counts of all nodes, as one partition of the usage stream tells.
#[derive(Debug, Default)]
pub struct UsageTotals {
    windows: BTreeMap<UsageWindow, BTreeMap<NodeId, RequestCounts>>,
}

impl UsageTotals {
    /// Takes the next record.
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

    /// The oldest window of which something was counted.
    pub fn oldest(&self) -> Option<UsageWindow> {
        self.windows.keys().next().copied()
    }

    /// Forgets windows before `window`.
    pub fn forget_before(&mut self, window: UsageWindow) {
        self.windows.retain(|at, _| *at >= window);
    }
}

/// The sum of a window that is to be reported, and whether it was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedUsage {
    /// The window.
    pub window: UsageWindow,
    /// Requests of each tenant.
    pub counts: RequestCounts,
    /// Whether the report is known to have arrived, or was given up.
    pub is_settled: bool,
}

/// The windows that were decided, in the order of the log.
#[derive(Debug, Default)]
pub struct UsageLedger {
    decided: Vec<DecidedUsage>,
}

impl UsageLedger {
    /// The ledger that a checkpoint tells of.
    pub fn restored(decided: Vec<DecidedUsage>) -> Self {
        Self { decided }
    }

    /// Windows that are remembered, oldest first.
    pub fn decided(&self) -> &[DecidedUsage] {
        &self.decided
    }

    /// A holder decided a window; counts if it is newer than all before it: windows are decided in turn.
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

    /// Nothing more is to be done about a window.
    pub fn settle(&mut self, window: UsageWindow) {
        let mut decided = self.decided.iter_mut();
        if let Some(decided) = decided.find(|decided| decided.window == window) {
            decided.is_settled = true;
        }
    }

    /// The newest window that was decided.
    pub fn newest(&self) -> Option<UsageWindow> {
        self.decided.last().map(|decided| decided.window)
    }

    /// The oldest window that is still to be reported.
    pub fn oldest_unsettled(&self) -> Option<&DecidedUsage> {
        self.decided.iter().find(|decided| !decided.is_settled)
    }
}
