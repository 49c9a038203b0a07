//! Decides the sums of windows that are over, and reports them to the platform.

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

/// Pause between two looks at what is due.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Pause after something was done: windows that have piled up are reported one after another, at most 40 a second of the
/// 50 calls that the users' platform takes.
const NEXT_PAUSE: Duration = Duration::from_millis(25);
/// Share of the time in which a report is due after which its window is decided. Counts that come later are
/// lost; a window that is decided later is reported late where its holder is lost just before: the next one acts
/// 1.3 s + 3.8 s later, 9.6 s after the window's end where 10 s are allowed.
const DECIDE_SHARE: f64 = 0.45;
/// The same where the log could not be read all the time: nodes may only now be writing what they counted.
const DECIDE_AFTER_OUTAGE_SHARE: f64 = 0.8;
/// Time after an outage of the log in which nodes write what they counted meanwhile.
const CATCH_UP_MS: Millis = 1_000;
/// Time for a report to be answered.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a report that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Windows after which a report that fails again and again is given up.
const GIVEN_UP_AFTER_WINDOWS: u64 = 12;

/// What came of one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Something was decided or reported; more may be due.
    Done,
    /// Nothing is due.
    NothingDue,
    /// The platform did not take a report.
    Failed,
}

/// Reports usage while this node holds the lease for orders.
pub(crate) struct UsageReporter {
    context: Arc<Context>,
    api: Arc<dyn OperationsApi>,
    settings: MeteringSettings,
    totals: Vec<StreamView<UsageTotals>>,
}

impl UsageReporter {
    /// A reporter that has read nothing yet.
    pub(crate) fn new(
        context: Arc<Context>,
        api: Arc<dyn OperationsApi>,
        settings: MeteringSettings,
    ) -> Self {
        // Nobody waits for what is read here.
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

    /// Works until the process ends.
    pub(crate) async fn run(self) {
        let mut pause = LOOK_PAUSE;
        loop {
            tokio::time::sleep(pause).await;
            pause = LOOK_PAUSE;
            let grant = self.context.lease_grant();
            let authority = grant.and_then(|grant| grant.authority(&self.context, REPORT_TIMEOUT));
            let Some(authority) = authority else {
                continue;
            };
            let to_report = self.ledger_entry();
            let outcome = match to_report {
                Some(decided) => self.report(&decided, &authority).await,
                None => self.decide_next().await,
            };
            pause = match outcome {
                Ok(Step::Done) => NEXT_PAUSE,
                Ok(Step::NothingDue) => LOOK_PAUSE,
                Ok(Step::Failed) => RETRY_PAUSE,
                Err(error) => {
                    warn!(event = "usage_not_reported", reason = error.to_string().as_str(); "");
                    RETRY_PAUSE
                }
            };
        }
    }

    fn ledger_entry(&self) -> Option<DecidedUsage> {
        let control = self.context.control.lock();
        control.state.usage().oldest_unsettled().cloned()
    }

    /// Decides the next window if it is due.
    async fn decide_next(&self) -> Result<Step, LogError> {
        let today = self.context.time_of_day.now();
        let newest = self.context.control.lock().state.usage().newest();
        let present = usage::window_at(today, self.settings.window_ms);
        let Some(newest) = newest else {
            return self.begin(today).await;
        };
        let next = newest + 1;
        let over_for = today.saturating_sub((next + 1) * self.settings.window_ms);
        if next >= present || over_for < self.decided_after() {
            return Ok(Step::NothingDue);
        }
        let counts = self.sum(next).await?;
        self.write_down(next, counts).await
    }

    /// The first holder ever begins in front of the oldest window of which something was counted, or that is not due yet:
    /// counts of that one may still be on their way.
    async fn begin(&self, today: UnixMillis) -> Result<Step, LogError> {
        self.read_all().await?;
        let oldest = self
            .totals
            .iter()
            .filter_map(|view| view.lock().state.oldest());
        let not_due = today.saturating_sub(self.decided_after());
        let not_due = usage::window_at(not_due, self.settings.window_ms);
        let first = oldest.min().unwrap_or(not_due).min(not_due);
        let bounded = first.max(not_due.saturating_sub(GIVEN_UP_AFTER_WINDOWS));
        self.write_down(bounded.saturating_sub(1), RequestCounts::new())
            .await
    }

    /// Reads what all nodes have counted, as far as it stands in the log now.
    async fn read_all(&self) -> Result<(), LogError> {
        let (log, clock) = (self.context.log.as_ref(), self.context.clock);
        for view in &self.totals {
            view.confirm(log, clock, Duration::ZERO).await?;
        }
        Ok(())
    }

    /// Time after its end at which a window is decided, in milliseconds.
    fn decided_after(&self) -> Millis {
        let now = self.context.now();
        let readable_since = self.context.control.readable_since(now);
        let is_caught_up = readable_since.is_some_and(|since| now >= since + CATCH_UP_MS);
        let share = match is_caught_up {
            true => DECIDE_SHARE,
            false => DECIDE_AFTER_OUTAGE_SHARE,
        };
        (self.settings.due_ms as f64 * share) as Millis
    }

    /// What all nodes have counted in a window, as far as it stands in the log now.
    async fn sum(&self, window: UsageWindow) -> Result<RequestCounts, LogError> {
        self.read_all().await?;
        let mut counts = RequestCounts::new();
        for view in &self.totals {
            let mut inner = view.lock();
            inner.state.forget_before(window);
            inner.state.add_to(window, &mut counts);
        }
        Ok(counts)
    }

    async fn write_down(
        &self,
        window: UsageWindow,
        counts: RequestCounts,
    ) -> Result<Step, LogError> {
        let requests: u64 = counts.values().sum();
        info!(event = "usage_decided", window = window, tenants = counts.len(), requests = requests; "");
        // Another holder's decision may stand before it.
        let record = ControlRecord::UsageDecided { window, counts };
        append_control_and_read(&self.context, &record).await?;
        Ok(Step::Done)
    }

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
        let today = self.context.time_of_day.now();
        let over_for = today.saturating_sub((decided.window + 1) * self.settings.window_ms);
        info!(event = "usage_reported", window = decided.window, fence = authority.fence,
            outcome = outcome, over_for_ms = over_for,
            took_ms = began.elapsed().as_millis() as u64; "");
        let is_given_up = over_for > GIVEN_UP_AFTER_WINDOWS * self.settings.window_ms;
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
