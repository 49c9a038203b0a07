//! A stand-in for the platform's interface for operations, which records the calls it receives.

use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use havenstage_gateway::operations::{
    DutyAuthority, DutyError, OperationsApi, SizeOrder, UsageReport,
};
use havenstage_rollout::usage::{RequestCounts, UsageWindow};

/// A usage report that was received, with the fencing token of its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedReport {
    pub holder: String,
    pub fence: u64,
    pub window: UsageWindow,
    pub counts: RequestCounts,
}

/// Records calls, and fails them on request.
#[derive(Default)]
pub struct StandInOperations {
    reports: Mutex<Vec<ReceivedReport>>,
    sizes: Mutex<Vec<(SizeOrder, u64)>>,
    fault: Mutex<Option<DutyError>>,
}

impl StandInOperations {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Makes calls fail from now on, or succeed again with `None`. A call that fails as unanswered is recorded.
    pub fn fail(&self, fault: Option<DutyError>) {
        *self.fault.lock().unwrap() = fault;
    }

    pub fn reports(&self) -> Vec<ReceivedReport> {
        self.reports.lock().unwrap().clone()
    }

    /// The size orders received, with their fencing tokens.
    pub fn sizes(&self) -> Vec<(SizeOrder, u64)> {
        self.sizes.lock().unwrap().clone()
    }

    /// Requests of a tenant in all windows. Repeated reports of a window must have the same counts.
    pub fn reported(&self, tenant: &str) -> u64 {
        let mut windows: Vec<ReceivedReport> = Vec::new();
        for report in self.reports() {
            match windows.iter().find(|known| known.window == report.window) {
                Some(known) => assert_eq!(
                    known.counts, report.counts,
                    "two different sums of a window"
                ),
                None => windows.push(report),
            }
        }
        let counts = windows.iter().filter_map(|report| {
            let mut counts = report.counts.iter();
            counts.find(|(name, _)| name.as_str() == tenant)
        });
        counts.map(|(_, count)| count).sum()
    }
}

#[async_trait]
impl OperationsApi for StandInOperations {
    async fn report_usage(
        &self,
        report: &UsageReport<'_>,
        authority: &DutyAuthority,
    ) -> Result<(), DutyError> {
        let fault = *self.fault.lock().unwrap();
        if matches!(fault, None | Some(DutyError::Unanswered)) {
            self.reports.lock().unwrap().push(ReceivedReport {
                holder: authority.holder.clone(),
                fence: authority.fence,
                window: report.window,
                counts: report.counts.clone(),
            });
        }
        fault.map_or(Ok(()), Err)
    }

    async fn order_size(
        &self,
        order: &SizeOrder,
        authority: &DutyAuthority,
    ) -> Result<(), DutyError> {
        let fault = *self.fault.lock().unwrap();
        if matches!(fault, None | Some(DutyError::Unanswered)) {
            let seen = (order.clone(), authority.fence);
            self.sizes.lock().unwrap().push(seen);
        }
        fault.map_or(Ok(()), Err)
    }
}
