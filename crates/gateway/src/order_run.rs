//! One order to a back end: it is appended to the log, sent under the order lease, and followed until the back
//! end reports its outcome.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_http_link::{LinkError, SendOptions};
use havenstage_rollout::Millis;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::ids::{BackendId, ModelName, Version};
use http::StatusCode;
use log::{info, warn};

use crate::context::Context;
use crate::crash_evidence::{self, SendTarget, UnansweredSend};
use crate::crash_guard;
use crate::edge::{self, BackendReport, LoadMode, LogError, VersionOrder};
use crate::fingerprint;
use crate::log_writes::append_control;
use crate::metrics;
use crate::order_exchange::{exchange, request_report};

/// Time from the start of an order's log append within which the back end must receive and answer the order. An
/// order that is later than that is not sent: the next lease holder knows only when the record was in the log,
/// and allows for this delay.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after an accepted order before its back end is first polled for a report.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(900);
/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Time after an accepted order from which a report counts that shows an idle back end with its old version:
/// reports lag behind the state of the back end.
const ACCEPTED_REPORT_LAG: Duration = Duration::from_millis(1_800);
/// The same after an order that was refused or not answered, or that an earlier holder sent.
const OTHER_REPORT_LAG: Duration = Duration::from_millis(500);
/// Time from the start of an order after which its outcome is no longer awaited.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Unanswered polls after which the outcome is no longer awaited.
const MAX_UNANSWERED_POLLS: u32 = 3;

/// An order to one back end to load a version of a model.
#[derive(Debug, Clone)]
pub struct Order {
    /// The back end that is to load the version.
    pub backend: BackendId,
    /// The model whose version is loaded.
    pub model: ModelName,
    /// The version to load.
    pub version: Version,
    /// What happens to running requests during the load.
    pub mode: LoadMode,
    /// Fencing token: the term of the lease holder that sends the order. Not used for an order of an earlier
    /// holder.
    pub fence: u64,
    /// Number of orders that the back end has accepted so far; `None` if it is to be asked first. The back end
    /// refuses the order if its own count differs.
    pub expected_orders: Option<u64>,
}

impl Order {
    /// Whether a report shows the version of the order or a newer one.
    pub fn is_fulfilled_by(&self, report: &BackendReport) -> bool {
        let version = report.models.get(&self.model);
        version.is_some_and(|version| *version >= self.version)
    }
}

/// Which steps of an order remain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderStart {
    /// The order is to be appended to the log, sent and followed.
    Send,
    /// An earlier lease holder sent the order; only its outcome is awaited.
    Follow,
}

/// Result of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendOutcome {
    /// The back end answered.
    Answered(StatusCode),
    /// No answer came; the back end may carry out the order.
    Unanswered,
    /// No connection to the back end could be established.
    Unreachable,
    /// No part of the order was sent.
    Unsent,
}

impl SendOutcome {
    /// Whether the back end may have begun to load the version.
    fn may_have_begun(self) -> bool {
        match self {
            Self::Answered(status) => status == StatusCode::ACCEPTED,
            Self::Unanswered => true,
            Self::Unreachable | Self::Unsent => false,
        }
    }

    /// Whether the back end has ended, so that no outcome of the order can be awaited.
    fn shows_end(self) -> bool {
        match self {
            Self::Answered(status) => edge::is_misdirected(status),
            Self::Unreachable => true,
            Self::Unanswered | Self::Unsent => false,
        }
    }

    /// The label in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Answered(StatusCode::OK) => "holds",
            Self::Answered(StatusCode::ACCEPTED) => "accepted",
            Self::Answered(status) if edge::is_misdirected(status) => "replaced",
            Self::Answered(_) => "refused",
            Self::Unanswered => "unanswered",
            Self::Unreachable => "unreachable",
            Self::Unsent => "unsent",
        }
    }
}

/// Time limits for sending an order.
struct SendLimits<'a> {
    /// When the order must have reached its back end, as the next lease holder assumes.
    send_by: Instant,
    /// Until when the lease is valid, in the milliseconds of [`Context::now`].
    valid_until: &'a AtomicU64,
}

/// How an order ended.
#[derive(Debug, Default)]
pub struct ExecutedOrder {
    /// The last report of the back end. `None` if it gave none, if its order count could not be read, or if the order could
    /// not be appended to the log.
    pub report: Option<BackendReport>,
    /// Duration of the load in milliseconds, if the order started it and it succeeded.
    pub load_ms: Option<Millis>,
    /// Whether the back end may have begun to load the version.
    pub may_have_begun: bool,
}

/// Carries out an order and awaits its outcome.
pub async fn execute(
    context: &Arc<Context>,
    order: &Order,
    start: OrderStart,
    valid_until: &AtomicU64,
) -> ExecutedOrder {
    let executed = try_execute(context, order, start, valid_until).await;
    executed.unwrap_or_default()
}

/// Like [`execute`]; `None` if the order was not sent because of the back end or the log.
async fn try_execute(
    context: &Arc<Context>,
    order: &Order,
    start: OrderStart,
    valid_until: &AtomicU64,
) -> Option<ExecutedOrder> {
    let began = Instant::now();
    let mut send_outcome = SendOutcome::Unsent;
    if start == OrderStart::Send {
        let expected_orders = match order.expected_orders {
            Some(count) => count,
            None => request_report(context, &order.backend).await?.orders_taken,
        };
        let send_by = Instant::now() + ORDER_TIMEOUT;
        append_order(context, order).await.ok()?;
        let limits = SendLimits {
            send_by,
            valid_until,
        };
        send_outcome = send(context, order, expected_orders, limits).await;
    }
    let sent = Instant::now();
    let report = match send_outcome.shows_end() {
        true => None,
        false => await_outcome(context, order, send_outcome, began).await,
    };
    record_load_outcome(context, order, began, send_outcome, report.as_ref()).await;
    let load_ms = load_duration_ms(order, sent, send_outcome, report.as_ref());
    let records = outcome_records(order, report.as_ref());
    info!(event = "order_ended", backend = order.backend.as_str(), model = order.model.as_str(),
        version = order.version, outcome = format!("{records:?}").as_str(),
        took_ms = began.elapsed().as_millis() as u64; "");
    for record in &records {
        if let Err(error) = append_control(context, record).await {
            warn!(event = "order_not_written", backend = order.backend.as_str(),
                reason = error.to_string().as_str(); "");
        }
    }
    Some(ExecutedOrder {
        report,
        load_ms,
        may_have_begun: send_outcome.may_have_begun(),
    })
}

/// Duration of the load that an order started; `None` if it started none. A back end that holds the version already, or that
/// is busy with another load, gets the version without a load or in the rest of one.
fn load_duration_ms(
    order: &Order,
    sent: Instant,
    send_outcome: SendOutcome,
    report: Option<&BackendReport>,
) -> Option<Millis> {
    let has_started = send_outcome == SendOutcome::Answered(StatusCode::ACCEPTED);
    let has_version = report.is_some_and(|report| order.is_fulfilled_by(report));
    (has_started && has_version).then(|| sent.elapsed().as_millis() as Millis)
}

/// Records for the crash ledger whether the back end survived the load.
async fn record_load_outcome(
    context: &Arc<Context>,
    order: &Order,
    began: Instant,
    send_outcome: SendOutcome,
    report: Option<&BackendReport>,
) {
    let load = || fingerprint::of_load(&order.model, order.version);
    match (report, send_outcome) {
        (Some(report), _) if order.is_fulfilled_by(report) => {
            crash_guard::record_answer(context, &order.backend, true, load);
        }
        (Some(_), _) => {}
        // The back end did not load the version, so its end is no evidence against the version.
        (None, send_outcome) if !send_outcome.may_have_begun() => {}
        (None, _) => {
            let Some(chosen) = context.backends.take(&order.backend) else {
                return;
            };
            let unanswered = UnansweredSend {
                request: load(),
                id: format!("{} version {}", order.model, order.version),
                target: SendTarget {
                    backend: order.backend.clone(),
                    link: chosen.link.clone(),
                    chosen_at: began,
                },
                slot: None,
            };
            crash_evidence::check_broken_send(context, unanswered).await;
        }
    }
}

/// The records that report the outcome of an order to all nodes. An observed version that is older than the
/// ordered one does not show that the order has ended, as the observation may be delayed. So an order that was
/// not fulfilled also gets a record that withdraws it.
fn outcome_records(order: &Order, report: Option<&BackendReport>) -> Vec<ControlRecord> {
    let version = report.map(|report| report.models.get(&order.model).copied().unwrap_or(0));
    let observed = version.map(|version| ControlRecord::Observed {
        backend: order.backend.clone(),
        model: order.model.clone(),
        version,
    });
    let is_fulfilled = version.is_some_and(|version| version >= order.version);
    let withdrawn = (!is_fulfilled).then(|| ControlRecord::Withdrawn {
        backend: order.backend.clone(),
    });
    observed.into_iter().chain(withdrawn).collect()
}

/// Appends the record of an order to the log, before the order is sent.
async fn append_order(context: &Context, order: &Order) -> Result<(), LogError> {
    let record = ControlRecord::Ordered {
        holder: context.node.clone(),
        backend: order.backend.clone(),
        model: order.model.clone(),
        version: order.version,
    };
    let written = append_control(context, &record).await;
    if let Err(error) = &written {
        warn!(event = "order_not_written", backend = order.backend.as_str(),
            reason = error.to_string().as_str(); "");
    }
    written.map(|_| ())
}

/// Sends an order, unless the lease or the time limit has expired.
async fn send(
    context: &Arc<Context>,
    order: &Order,
    expected_orders: u64,
    limits: SendLimits<'_>,
) -> SendOutcome {
    let request = context.dialect.order_request(&VersionOrder {
        model: order.model.clone(),
        version: order.version,
        mode: order.mode,
        holder: context.node.to_string(),
        fence: order.fence,
        expected_orders: Some(expected_orders),
    });
    let (began, now) = (Instant::now(), context.now());
    let validity_ms = limits
        .valid_until
        .load(Ordering::Relaxed)
        .saturating_sub(now);
    let is_lease_valid = validity_ms > 0;
    let time_left = limits.send_by.saturating_duration_since(began);
    // Nothing is written once another node may hold the lease, even if the connection takes long to open or the
    // process is paused.
    let write_by = limits
        .send_by
        .min(began + Duration::from_millis(validity_ms));
    let sending = SendOptions::within(time_left).write_deadline(write_by);
    let answer = match is_lease_valid && !time_left.is_zero() {
        true => exchange(context, &order.backend, request, sending, time_left).await,
        false => Err(LinkError::TooLate),
    };
    let send_outcome = match answer {
        Ok(answer) => SendOutcome::Answered(answer.status),
        Err(LinkError::NotConnected) => SendOutcome::Unreachable,
        Err(error) if error.is_unsent() => SendOutcome::Unsent,
        Err(_) => SendOutcome::Unanswered,
    };
    let status_text = match send_outcome {
        SendOutcome::Answered(status) => status.as_u16().to_string(),
        SendOutcome::Unanswered | SendOutcome::Unreachable | SendOutcome::Unsent => {
            "none".to_owned()
        }
    };
    info!(event = "order_given", backend = order.backend.as_str(), model = order.model.as_str(),
        version = order.version, fence = order.fence, expected_orders = expected_orders,
        lease_held = is_lease_valid, left_ms = time_left.as_millis() as u64, status = status_text.as_str(); "");
    metrics::order_answered(send_outcome.name());
    send_outcome
}

/// Polls the back end until it is idle and its report cannot date from before the order. `None` if it is no longer
/// listed, if another back end is listed at its address, or if it does not answer or stays busy for too long.
async fn await_outcome(
    context: &Arc<Context>,
    order: &Order,
    send_outcome: SendOutcome,
    began: Instant,
) -> Option<BackendReport> {
    let (first_poll_delay, report_lag) = match send_outcome {
        SendOutcome::Answered(StatusCode::ACCEPTED) => (FIRST_POLL_DELAY, ACCEPTED_REPORT_LAG),
        _ => (Duration::ZERO, OTHER_REPORT_LAG),
    };
    let sent = Instant::now();
    tokio::time::sleep(first_poll_delay).await;
    let mut unanswered = 0;
    loop {
        let report = request_report(context, &order.backend).await;
        // The report may come from the one that took its address.
        if !context.backends.lock().list.is_current(&order.backend) {
            return None;
        }
        match report {
            Some(report) if !report.busy => {
                let version = report.models.get(&order.model).copied().unwrap_or(0);
                if version >= order.version || sent.elapsed() >= report_lag {
                    return Some(report);
                }
            }
            Some(_) => {}
            None => unanswered += 1,
        }
        if began.elapsed() >= OUTCOME_TIMEOUT || unanswered >= MAX_UNANSWERED_POLLS {
            return None;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
