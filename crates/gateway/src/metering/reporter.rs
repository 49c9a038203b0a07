//! Decides the usage sums of windows that are over, and reports them to the platform.

use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_clock::time_of_day::UnixMillis;
use havenstage_rollout::Millis;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::usage::{self, DecidedUsage, RequestCounts, UsageTotals, UsageWindow};
use log::{info, warn};
use tokio::sync::Notify;

use crate::context::Context;
use crate::edge::{LogError, LogStream, StreamPartition};
use crate::log_writes::append_control_and_read;
use crate::metrics;
use crate::operations::{DutyAuthority, DutyError, OperationsApi, UsageReport};
use crate::settings::MeteringSettings;
use crate::stream_view::StreamView;

/// Interval at which a due window or report is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a decision or report, while more may be due. A backlog of windows is reported at no more than 40 calls a
/// second; the platform accepts 50.
const BACKLOG_PAUSE: Duration = Duration::from_millis(25);
/// Share of the time in which a report is due after which the sum of its window is decided. Counts that reach the
/// log later are lost. A greater share would make reports late if the lease holder fails just before the decision:
/// the next holder acts 1.3 s + 3.8 s later, 9.6 s after the end of the window, where 10 s are allowed.
const DECIDE_SHARE: f64 = 0.45;
/// The same if the log could not be read all the time: nodes may still have to write their counts.
const DECIDE_AFTER_OUTAGE_SHARE: f64 = 0.8;
/// Time after an outage of the log in which nodes append the counts that they gathered during the outage.
const CATCH_UP_MS: Millis = 1_000;
/// Timeout of a report to the platform.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a report that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Number of windows after which a report that still fails is given up. The first lease holder also starts no further
/// back than this.
const MAX_AGE_WINDOWS: u64 = 12;

/// Result of one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// A window was decided or reported; more may be due.
    Done,
    /// Nothing is due.
    NothingDue,
    /// The platform did not confirm a report.
    Failed,
}

/// Reports usage to the platform while this node holds the order lease.
pub(crate) struct UsageReporter {
    context: Arc<Context>,
    api: Arc<dyn OperationsApi>,
    settings: MeteringSettings,
    /// The counts of all nodes, by partition of the usage stream.
    totals: Vec<StreamView<UsageTotals>>,
}

impl UsageReporter {
    /// Creates a reporter that has read nothing from the log yet.
    pub(crate) fn new(
        context: Arc<Context>,
        api: Arc<dyn OperationsApi>,
        settings: MeteringSettings,
    ) -> Self {
        // No task waits for this notification.
        let wakes = Arc::new(Notify::new());
        let partitions = 0..context.settings.log.partitions;
        let totals = partitions.map(|partition| {
            let id = StreamPartition {
                stream: LogStream::Usage,
                partition,
            };
            StreamView::new(id, UsageTotals::default(), wakes.clone())
        });
        Self {
            totals: totals.collect(),
            context,
            api,
            settings,
        }
    }

    /// Decides and reports windows until the process ends.
    pub(crate) async fn run(self) {
        let mut pause = POLL_INTERVAL;
        loop {
            tokio::time::sleep(pause).await;
            pause = POLL_INTERVAL;
            let grant = self.context.lease_grant();
            let authority = grant.and_then(|grant| grant.authority(&self.context, REPORT_TIMEOUT));
            let Some(authority) = authority else {
                continue;
            };
            let unreported = self.oldest_unsettled();
            let outcome = match unreported {
                Some(decided) => self.report(&decided, &authority).await,
                None => self.decide_next().await,
            };
            pause = match outcome {
                Ok(Step::Done) => BACKLOG_PAUSE,
                Ok(Step::NothingDue) => POLL_INTERVAL,
                Ok(Step::Failed) => RETRY_PAUSE,
                Err(error) => {
                    warn!(event = "usage_not_reported", reason = error.to_string().as_str(); "");
                    RETRY_PAUSE
                }
            };
        }
    }

    /// The oldest decided window whose report is not settled.
    fn oldest_unsettled(&self) -> Option<DecidedUsage> {
        let control = self.context.control.lock();
        control.state.usage().oldest_unsettled().cloned()
    }

    /// Decides the window after the newest decided one, if it is due.
    async fn decide_next(&self) -> Result<Step, LogError> {
        let unix_now = self.context.time_of_day.now();
        let newest = self.context.control.lock().state.usage().newest();
        let present = usage::window_at(unix_now, self.settings.window_ms);
        let Some(newest) = newest else {
            return self.decide_start(unix_now).await;
        };
        let next = newest + 1;
        let since_end_ms = unix_now.saturating_sub((next + 1) * self.settings.window_ms);
        if next >= present || since_end_ms < self.decision_delay() {
            return Ok(Step::NothingDue);
        }
        let counts = self.sum_counts(next).await?;
        self.append_decision(next, counts).await
    }

    /// Sets where the first lease holder starts, by an empty decision for the window before. The start is the oldest
    /// window with counts in the log or the oldest that is not due yet, whichever is older, as counts of a window
    /// that is not due may still reach the log. It is at most [`MAX_AGE_WINDOWS`] before the oldest that is not due.
    async fn decide_start(&self, unix_now: UnixMillis) -> Result<Step, LogError> {
        self.read_all().await?;
        let oldest = self
            .totals
            .iter()
            .filter_map(|view| view.lock().state.oldest());
        let not_due = unix_now.saturating_sub(self.decision_delay());
        let not_due = usage::window_at(not_due, self.settings.window_ms);
        let first = oldest.min().unwrap_or(not_due).min(not_due);
        let bounded = first.max(not_due.saturating_sub(MAX_AGE_WINDOWS));
        self.append_decision(bounded.saturating_sub(1), RequestCounts::new())
            .await
    }

    /// Reads the counts of all nodes up to the current end of the log.
    async fn read_all(&self) -> Result<(), LogError> {
        let (log, clock) = (self.context.log.as_ref(), self.context.clock);
        for view in &self.totals {
            view.confirm(log, clock, Duration::ZERO).await?;
        }
        Ok(())
    }

    /// Time from the end of a window to its decision, in milliseconds.
    fn decision_delay(&self) -> Millis {
        let now = self.context.now();
        let readable_since = self.context.control.readable_since(now);
        let is_caught_up = readable_since.is_some_and(|since| now >= since + CATCH_UP_MS);
        let share = match is_caught_up {
            true => DECIDE_SHARE,
            false => DECIDE_AFTER_OUTAGE_SHARE,
        };
        (self.settings.due_ms as f64 * share) as Millis
    }

    /// Sums the counts of all nodes in a window, up to the current end of the log.
    async fn sum_counts(&self, window: UsageWindow) -> Result<RequestCounts, LogError> {
        self.read_all().await?;
        let mut counts = RequestCounts::new();
        for view in &self.totals {
            let mut inner = view.lock();
            inner.state.forget_before(window);
            inner.state.add_to(window, &mut counts);
        }
        Ok(counts)
    }

    /// Appends the decision for a window to the log.
    async fn append_decision(
        &self,
        window: UsageWindow,
        counts: RequestCounts,
    ) -> Result<Step, LogError> {
        let requests: u64 = counts.values().sum();
        info!(event = "usage_decided", window = window, tenants = counts.len(), requests = requests; "");
        // A decision of another holder may precede it in the log; the first one counts.
        let record = ControlRecord::UsageDecided { window, counts };
        append_control_and_read(&self.context, &record).await?;
        Ok(Step::Done)
    }

    /// Reports a decided window, and settles it if the platform confirms the report or it is given up.
    async fn report(
        &self,
        decided: &DecidedUsage,
        authority: &DutyAuthority,
    ) -> Result<Step, LogError> {
        let report = UsageReport {
            window: decided.window,
            counts: &decided.counts,
        };
        let began = Instant::now();
        let answer = self.api.report_usage(&report, authority).await;
        let outcome = answer.map_or_else(DutyError::name, |()| "done");
        metrics::usage_reported(outcome);
        let unix_now = self.context.time_of_day.now();
        let since_end_ms = unix_now.saturating_sub((decided.window + 1) * self.settings.window_ms);
        info!(event = "usage_reported", window = decided.window, fence = authority.fence,
            outcome = outcome, over_for_ms = since_end_ms,
            took_ms = began.elapsed().as_millis() as u64; "");
        let is_given_up = since_end_ms > MAX_AGE_WINDOWS * self.settings.window_ms;
        if answer.is_err() && !is_given_up {
            return Ok(Step::Failed);
        }
        let record = ControlRecord::UsageSettled {
            window: decided.window,
        };
        append_control_and_read(&self.context, &record).await?;
        Ok(Step::Done)
    }
}
