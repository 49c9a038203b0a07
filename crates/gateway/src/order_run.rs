//! One order to a back end: written down, given under the lease, and followed until the back end was
//! asked what came of it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_http_link::{LinkError, Sending};
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::ids::{BackendId, ModelName, Version};
use http::StatusCode;
use log::{info, warn};

use crate::context::Context;
use crate::crash_evidence::{self, UnansweredSend};
use crate::crash_guard;
use crate::edge::{BackendReport, LoadMode, LogError, VersionOrder};
use crate::fingerprint;
use crate::log_writes::append_control;
use crate::metrics;
use crate::order_exchange::{ask, exchange};

/// Time from the moment an order begins to be written down within which it reaches its back end and is
/// answered. Later it is not given: the next holder, who sees when it was written down, allows for so much.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after an accepted order before its back end is first asked whether it is done.
const FIRST_QUESTION: Duration = Duration::from_millis(900);
/// Time between two questions.
const QUESTION_PAUSE: Duration = Duration::from_millis(150);
/// Reports lag: one that shows an idle back end with its old version counts only so long after an
/// order that was accepted.
const ACCEPTED_SHOWS_AFTER: Duration = Duration::from_millis(1_800);
/// The same after an order that was refused or not answered.
const OTHERS_SHOW_AFTER: Duration = Duration::from_millis(500);
/// Time after which nothing more is expected of an order.
const GIVEN_UP_AFTER: Duration = Duration::from_millis(4_000);
/// Questions without an answer after which the back end is left alone.
const MOST_UNANSWERED: u32 = 3;

/// An order.
#[derive(Debug, Clone)]
pub struct Order {
    /// The back end.
    pub backend: BackendId,
    /// The model.
    pub model: ModelName,
    /// The version to load.
    pub version: Version,
    /// What becomes of running requests.
    pub mode: LoadMode,
    /// The fencing token.
    pub fence: u64,
    /// Orders that the back end has taken so far, if known.
    pub expected_orders: Option<u64>,
}

impl Order {
    /// Whether a back end that reports so has the version, or a newer one.
    pub fn is_taken(&self, report: &BackendReport) -> bool {
        let version = report.models.get(&self.model);
        version.is_some_and(|version| *version >= self.version)
    }
}

/// Where to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderStart {
    /// The order is to be given.
    Give,
    /// It was given by an earlier holder; only its outcome is asked for.
    Settle,
}

/// What came of giving an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Given {
    /// The back end answered.
    Answered(StatusCode),
    /// No answer came; the back end may carry it out.
    Unanswered,
    /// Nothing of it was sent.
    Unsent,
}

impl Given {
    /// Its name in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Answered(StatusCode::OK) => "holds",
            Self::Answered(StatusCode::ACCEPTED) => "accepted",
            Self::Answered(_) => "refused",
            Self::Unanswered => "unanswered",
            Self::Unsent => "unsent",
        }
    }
}

/// Until when an order may be given.
struct OrderPermit<'a> {
    /// Until when the next holder expects it to have reached its back end.
    give_until: Instant,
    /// Until when the lease is relied on.
    valid_until: &'a AtomicU64,
}

/// Follows an order to its end. The report is the back end's last word, `None` if it has none.
pub async fn follow(
    context: &Arc<Context>,
    order: &Order,
    start: OrderStart,
    valid_until: &AtomicU64,
) -> Option<BackendReport> {
    let began = Instant::now();
    let mut given = Given::Unsent;
    if start == OrderStart::Give {
        let expected_orders = match order.expected_orders {
            Some(count) => count,
            None => ask(context, &order.backend).await?.orders_taken,
        };
        let give_until = Instant::now() + ORDER_TIMEOUT;
        write_down(context, order).await.ok()?;
        let permit = OrderPermit {
            give_until,
            valid_until,
        };
        given = give(context, order, expected_orders, permit).await;
    }
    let report = settle(context, order, given, began).await;
    note_crashes(context, order, given, report.as_ref()).await;
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
    report
}

/// Notes what came of an order: whether loading the version ends back ends.
async fn note_crashes(
    context: &Arc<Context>,
    order: &Order,
    given: Given,
    report: Option<&BackendReport>,
) {
    let load = || fingerprint::of_load(&order.model, order.version);
    match (report, given) {
        (Some(report), _) if order.is_taken(report) => {
            crash_guard::record_answer(context, &order.backend, true, load);
        }
        (Some(_), _) => {}
        // One that had ended before says nothing of the version.
        (None, Given::Unsent) => {}
        (None, Given::Answered(_) | Given::Unanswered) => {
            let Some(chosen) = context.backends.take(&order.backend) else {
                return;
            };
            let unanswered = UnansweredSend {
                request: load(),
                id: format!("{} version {}", order.model, order.version),
                backend: order.backend.clone(),
                link: chosen.link.clone(),
                slot: None,
            };
            crash_evidence::check_broken_send(context, unanswered).await;
        }
    }
}

/// What all nodes are told of an order that has ended. A version that is older than the one ordered says
/// nothing of the order, as it may be told late: one that was not taken is withdrawn besides.
fn outcome_records(order: &Order, report: Option<&BackendReport>) -> Vec<ControlRecord> {
    let version = report.map(|report| report.models.get(&order.model).copied().unwrap_or(0));
    let observed = version.map(|version| ControlRecord::Observed {
        backend: order.backend.clone(),
        model: order.model.clone(),
        version,
    });
    let is_taken = version.is_some_and(|version| version >= order.version);
    let withdrawn = (!is_taken).then(|| ControlRecord::Withdrawn {
        backend: order.backend.clone(),
    });
    observed.into_iter().chain(withdrawn).collect()
}

async fn write_down(context: &Context, order: &Order) -> Result<(), LogError> {
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

async fn give(
    context: &Arc<Context>,
    order: &Order,
    expected_orders: u64,
    permit: OrderPermit<'_>,
) -> Given {
    let request = context.dialect.order_request(&VersionOrder {
        model: order.model.clone(),
        version: order.version,
        mode: order.mode,
        holder: context.node.to_string(),
        fence: order.fence,
        expected_orders: Some(expected_orders),
    });
    let (began, now) = (Instant::now(), context.now());
    let reliable_ms = permit
        .valid_until
        .load(Ordering::Relaxed)
        .saturating_sub(now);
    let is_reliable = reliable_ms > 0;
    let time_left = permit.give_until.saturating_duration_since(began);
    // Nothing is written once the lease may be another's, however long the connection takes to come up or
    // the process stands still.
    let write_by = permit
        .give_until
        .min(began + Duration::from_millis(reliable_ms));
    let sending = Sending::within(time_left).written_by(write_by);
    let answer = match is_reliable && !time_left.is_zero() {
        true => exchange(context, &order.backend, request, sending, time_left).await,
        false => Err(LinkError::TooLate),
    };
    let given = match answer {
        Ok(answer) => Given::Answered(answer.status),
        Err(error) if error.is_unsent() => Given::Unsent,
        Err(_) => Given::Unanswered,
    };
    let status_text = match given {
        Given::Answered(status) => status.as_u16().to_string(),
        Given::Unanswered | Given::Unsent => "none".to_owned(),
    };
    info!(event = "order_given", backend = order.backend.as_str(), model = order.model.as_str(),
        version = order.version, fence = order.fence, expected_orders = expected_orders,
        lease_held = is_reliable, left_ms = time_left.as_millis() as u64, status = status_text.as_str(); "");
    metrics::order_answered(given.name());
    given
}

/// Asks the back end until it carries out no order and its report cannot be from before this one.
async fn settle(
    context: &Arc<Context>,
    order: &Order,
    given: Given,
    began: Instant,
) -> Option<BackendReport> {
    let (first_question, shows_after) = match given {
        Given::Answered(StatusCode::ACCEPTED) => (FIRST_QUESTION, ACCEPTED_SHOWS_AFTER),
        _ => (Duration::ZERO, OTHERS_SHOW_AFTER),
    };
    let sent = Instant::now();
    tokio::time::sleep(first_question).await;
    let mut unanswered = 0;
    loop {
        match ask(context, &order.backend).await {
            Some(report) if !report.busy => {
                let version = report.models.get(&order.model).copied().unwrap_or(0);
                if version >= order.version || sent.elapsed() >= shows_after {
                    return Some(report);
                }
            }
            Some(_) => {}
            None => unanswered += 1,
        }
        let is_listed = context.backends.lock().list.get(&order.backend).is_some();
        let is_over = began.elapsed() >= GIVEN_UP_AFTER || unanswered >= MOST_UNANSWERED;
        if is_over || !is_listed {
            return None;
        }
        tokio::time::sleep(QUESTION_PAUSE).await;
    }
}
