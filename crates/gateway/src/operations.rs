//! The platform's interface for operations, as a trait: calls that one node makes for all nodes, under the order lease.

use std::time::Duration;

use async_trait::async_trait;
use havenstage_clock::Instant;
use havenstage_rollout::ids::{PoolName, ZoneName};
use havenstage_rollout::usage::{RequestCounts, UsageWindow};
use thiserror::Error;

/// The lease holder that makes a call to the platform, and the time limits of the call.
#[derive(Debug, Clone)]
pub struct DutyAuthority {
    /// Name of the node that holds the order lease.
    pub holder: String,
    /// Fencing token of the call: the term of the lease holder. It is higher for each later holder.
    pub fence: u64,
    /// When the call must be written completely: another node may hold the lease after that.
    pub write_by: Instant,
    /// Time in which the call must be answered.
    pub timeout: Duration,
}

/// The usage of all tenants in one window.
#[derive(Debug)]
pub struct UsageReport<'a> {
    /// Number of the window.
    pub window: UsageWindow,
    /// Number of requests that back ends began for each tenant.
    pub counts: &'a RequestCounts,
}

/// The number of back ends that a zone is to provide for a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SizeOrder {
    /// Pool that is resized.
    pub pool: PoolName,
    /// Zone in which the back ends run.
    pub zone: ZoneName,
    /// Total number of back ends of the pool in the zone.
    pub size: u32,
}

/// Why a call to the platform failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DutyError {
    /// No part of the call was sent.
    #[error("the platform cannot be reached")]
    NotSent,
    /// The platform answered with this HTTP status.
    #[error("the platform refused the call with status {0}")]
    Refused(u16),
    /// No answer came; the platform may have carried out the call.
    #[error("no answer came from the platform")]
    Unanswered,
}

impl DutyError {
    /// The label in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Refused(_) => "refused",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Calls to the platform that one node makes for all nodes. Each call carries the authority of the order lease.
#[async_trait]
pub trait OperationsApi: Send + Sync {
    /// Reports the usage of a window. Repeating a report with the same counts has no effect.
    ///
    /// # Errors
    ///
    /// If the call was not sent, was refused or was not answered in time.
    async fn report_usage(
        &self,
        report: &UsageReport<'_>,
        authority: &DutyAuthority,
    ) -> Result<(), DutyError>;

    /// Orders the size of a pool in a zone. Repeating an order has no effect.
    ///
    /// # Errors
    ///
    /// If the call was not sent, was refused or was not answered in time.
    async fn order_size(
        &self,
        order: &SizeOrder,
        authority: &DutyAuthority,
    ) -> Result<(), DutyError>;
}
