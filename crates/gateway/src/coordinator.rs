//! Gives orders to load versions, while this node holds the lease for orders.
//!
//! Each order is written down before it is given. The fold of the log says who holds the lease; a
//! holder relies on it only for a while after each answered sign of life. A new holder gives a
//! back end an order only when the last one of another machine there is older than the lease bound.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::framing;
use havenstage_rollout::ids::{BackendId, ModelName, Version};
use havenstage_rollout::lease::{ClaimTiming, Term};
use havenstage_rollout::orders::{
    OrderRecord, OrderTarget, PlannedOrder, VersionDemand, assign_homes, plan_orders,
};
use havenstage_rollout::route::Pool;
use http::StatusCode;
use log::{info, warn};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::context::{Context, ORDERS};
use crate::edge::{BackendReport, LogError, VersionOrder};
use crate::metrics;

/// Pause between two looks at what is to be ordered.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two looks at the lease when another node holds it.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Share of the silence after which others claim in which the holder relies on its lease.
const RELIABLE_SHARE: f64 = 0.7;
/// Time a back end has to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time a back end has to answer a question.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after an order before a back end is first asked whether it is done.
const FIRST_QUESTION: Duration = Duration::from_millis(900);
/// Time between two questions.
const QUESTION_PAUSE: Duration = Duration::from_millis(150);
/// Time after which an order is taken for lost.
const ORDER_LOST_AFTER: Duration = Duration::from_millis(4_000);
/// Time that a back end is left alone after it failed to answer.
const AVOID_MS: Millis = 1_000;

/// Gives orders until the process ends.
pub struct Coordinator {
    context: Arc<Context>,
    lease: Option<HeldLease>,
    /// Orders that each back end has taken, as it last reported.
    taken: BTreeMap<BackendId, u64>,
    under_way: BTreeMap<BackendId, Millis>,
    avoided_until: BTreeMap<BackendId, Millis>,
    ended: UnboundedReceiver<OrderEnded>,
    ended_sender: UnboundedSender<OrderEnded>,
}

/// The right to give orders, as long as the lease holds.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    term: Term,
    since: Millis,
    kept_at: Millis,
    reliable_until: Millis,
}

/// What a model's back ends have to do.
#[derive(Debug, Clone, Copy)]
struct ModelWork {
    /// Tokens of its newest batch: its share of the back ends.
    weight: f64,
    /// How many versions behind the step's own its tokens may be.
    allowed_age: u64,
}

struct OrderEnded {
    backend: BackendId,
    report: Option<BackendReport>,
}

impl Coordinator {
    /// A coordinator without a term.
    pub fn new(context: Arc<Context>) -> Self {
        let (ended_sender, ended) = mpsc::unbounded_channel();
        Self {
            context,
            lease: None,
            taken: BTreeMap::new(),
            under_way: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
            ended,
            ended_sender,
        }
    }

    /// Works until the process ends.
    pub async fn run(mut self) {
        let context = self.context.clone();
        loop {
            let pause = if self.lease.is_some() {
                LOOK_PAUSE
            } else {
                IDLE_PAUSE
            };
            tokio::select! {
                Some(ended) = self.ended.recv() => self.take_ended(ended),
                () = context.orders_changed.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
            self.follow_lease();
            if context.is_stopping() {
                self.release().await;
            } else if self.lease.is_some() {
                self.keep_lease().await;
                if self.may_order() {
                    self.order_next().await;
                }
            } else if self.claimable_term().is_some() {
                self.claim().await;
            }
        }
    }

    /// Believes the log about who holds the lease.
    fn follow_lease(&mut self) {
        let inner = self.context.orders.lock();
        let lease = inner.state.lease();
        let term = lease.is_held_by(&self.context.node).then(|| lease.term());
        drop(inner);
        let now = self.context.now();
        match (term, self.lease) {
            (Some(term), None) if !self.context.is_stopping() => {
                info!(event = "order_lease_held", term = term; "");
                // Not reliable until a sign of life was answered.
                self.lease = Some(HeldLease {
                    term,
                    since: now,
                    kept_at: 0,
                    reliable_until: 0,
                });
            }
            (None, Some(lease)) => {
                info!(event = "order_lease_lost", term = lease.term; "");
                self.lease = None;
                self.under_way.clear();
                self.taken.clear();
            }
            _ => {}
        }
    }

    /// The current term, if this node may claim the lease now.
    fn claimable_term(&self) -> Option<Term> {
        let view = &self.context.orders;
        let readable_since = view.readable_since();
        let inner = view.lock();
        let lease = inner.state.lease();
        let text = format!("{} {}", self.context.node, lease.term());
        let tuning = &self.context.settings.tuning;
        let timing = ClaimTiming {
            silence_ms: tuning.silence_ms,
            spread_ms: xxh3_64(text.as_bytes()) % tuning.spread_ms.max(1),
        };
        let at = lease.claimable_at(&self.context.node, readable_since, &timing);
        (self.context.now() >= at).then(|| lease.term())
    }

    /// Claims the lease if the log, read to its end, still shows no sign of its holder.
    async fn claim(&mut self) {
        let (log, clock) = (self.context.log.clone(), self.context.clock);
        let view = &self.context.orders;
        if view
            .confirm(log.as_ref(), clock, Duration::ZERO)
            .await
            .is_err()
        {
            view.read_failed();
            return;
        }
        let Some(term) = self.claimable_term() else {
            return;
        };
        let holder = self.context.node.clone();
        let record = OrderRecord::Claimed {
            term: term + 1,
            holder,
        };
        if let Err(error) = append(&self.context, &record).await {
            warn!(event = "order_claim_failed", reason = error.to_string().as_str(); "");
        }
        // Whether the claim counts is seen in the log.
        let _ = view.confirm(log.as_ref(), clock, Duration::ZERO).await;
    }

    /// Gives a sign of life when one is due; its answer is what the lease rests on.
    async fn keep_lease(&mut self) {
        let Some(lease) = self.lease else { return };
        let tuning = &self.context.settings.tuning;
        let sent = self.context.now();
        if sent.saturating_sub(lease.kept_at) < tuning.keep_ms {
            return;
        }
        let reliable_ms = (tuning.silence_ms as f64 * RELIABLE_SHARE) as Millis;
        let after_ms = if lease.kept_at == 0 {
            0
        } else {
            sent - lease.kept_at
        };
        let record = OrderRecord::Kept {
            term: lease.term,
            after_ms,
        };
        let is_current = self.is_kept(&record, lease.term).await;
        if let Some(lease) = &mut self.lease {
            lease.kept_at = sent;
            if is_current {
                lease.reliable_until = sent + reliable_ms;
            }
        }
    }

    /// Whether a sign of life counts: it was written, and no newer term stands before it. That the
    /// log took it proves nothing by itself, as it takes those of a former holder too.
    async fn is_kept(&self, record: &OrderRecord, term: Term) -> bool {
        let Ok(offset) = append(&self.context, record).await else {
            return false;
        };
        let (log, view) = (self.context.log.as_ref(), &self.context.orders);
        if view
            .confirm(log, self.context.clock, Duration::ZERO)
            .await
            .is_err()
        {
            return false;
        }
        let inner = view.lock();
        let lease = inner.state.lease();
        inner.next > offset && lease.term() == term && lease.is_held_by(&self.context.node)
    }

    async fn release(&mut self) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        let record = OrderRecord::Released { term: lease.term };
        if let Err(error) = append(&self.context, &record).await {
            warn!(event = "order_release_failed", reason = error.to_string().as_str(); "");
        }
        info!(event = "order_lease_released", term = lease.term; "");
    }

    /// Whether the lease certainly holds.
    fn may_order(&self) -> bool {
        let Some(lease) = self.lease else {
            return false;
        };
        let now = self.context.now();
        let is_awake =
            now.saturating_sub(lease.since) >= self.context.settings.bounds.order_thaw_ms;
        now < lease.reliable_until && is_awake
    }

    async fn order_next(&mut self) {
        let Some(table) = self.context.routes() else {
            return;
        };
        let named = self.context.named_versions();
        for pool in table.pools_with_models() {
            for order in self.plan(pool, &named) {
                self.give(order).await;
            }
        }
    }

    fn plan(&self, pool: &Pool, named: &BTreeMap<ModelName, Version>) -> Vec<PlannedOrder> {
        let targets = self.targets(pool);
        let work: BTreeMap<ModelName, ModelWork> = pool
            .models
            .iter()
            .map(|model| (model.clone(), self.work_of(model)))
            .collect();
        let weights = work
            .iter()
            .map(|(model, work)| (model.clone(), work.weight))
            .collect();
        let homes = assign_homes(&targets, &weights, named);
        let demand = work.iter().filter_map(|(model, work)| {
            let named = *named.get(model)?;
            Some((
                model.clone(),
                VersionDemand {
                    named,
                    allowed_age: work.allowed_age,
                },
            ))
        });
        let at_once = self.context.settings.tuning.loads_at_once;
        plan_orders(&targets, &demand.collect(), &homes, at_once)
    }

    /// What the newest batch of a model tells of its work.
    fn work_of(&self, model: &ModelName) -> ModelWork {
        let mut newest: Option<(u64, ModelWork)> = None;
        for partition in &self.context.partitions {
            let inner = partition.lock();
            for batch in inner
                .state
                .batches()
                .filter(|b| b.model.as_ref() == Some(model))
            {
                let step = batch.step.unwrap_or(0);
                if newest.as_ref().is_none_or(|(known, _)| *known < step) {
                    let tokens: u64 = batch
                        .items
                        .iter()
                        .map(|item| u64::from(item.expected_tokens))
                        .sum();
                    let allowed_age = step.saturating_sub(batch.minimum_version);
                    let weight = (tokens as f64).max(1.0);
                    newest = Some((
                        step,
                        ModelWork {
                            weight,
                            allowed_age,
                        },
                    ));
                }
            }
        }
        newest.map_or(
            ModelWork {
                weight: 1.0,
                allowed_age: 0,
            },
            |(_, work)| work,
        )
    }

    fn targets(&self, pool: &Pool) -> Vec<OrderTarget> {
        let now = self.context.now();
        let running = running_items(&self.context);
        let orders = self.context.orders.lock();
        let backends = self.context.backends.lock();
        let lost_ms = ORDER_LOST_AFTER.as_millis() as Millis;
        let quiet_ms = self.context.settings.bounds.order_lease_ms;
        let mut targets = Vec::new();
        for (id, _) in backends.list.ready_in(&pool.name) {
            let pending = orders
                .state
                .pending(id)
                .is_some_and(|order| now.saturating_sub(order.since) < lost_ms);
            let is_quiet = orders
                .state
                .quiet_ms(id, now)
                .is_none_or(|quiet| quiet > quiet_ms);
            let is_left_alone = self.avoided_until.get(id).is_some_and(|until| *until > now);
            let models = pool.models.iter();
            targets.push(OrderTarget {
                backend: id.clone(),
                models: models
                    .map(|m| (m.clone(), backends.version(id, m)))
                    .collect(),
                running: running.get(id).copied().unwrap_or(0),
                loading: pending || self.under_way.contains_key(id),
                avoided: is_left_alone || !is_quiet,
            });
        }
        targets
    }

    async fn give(&mut self, order: PlannedOrder) {
        let Some(lease) = self.lease else { return };
        let record = OrderRecord::Ordered {
            holder: self.context.node.clone(),
            backend: order.backend.clone(),
            model: order.model.clone(),
            version: order.version,
        };
        if let Err(error) = append(&self.context, &record).await {
            warn!(event = "order_not_written", backend = order.backend.as_str(),
                reason = error.to_string().as_str(); "");
            tokio::time::sleep(LOOK_PAUSE).await;
            return;
        }
        self.under_way
            .insert(order.backend.clone(), self.context.now());
        let version_order = VersionOrder {
            model: order.model.clone(),
            version: order.version,
            holder: self.context.node.to_string(),
            fence: lease.term,
            expected_orders: self.taken.get(&order.backend).copied(),
        };
        let context = self.context.clone();
        let sender = self.ended_sender.clone();
        let until = lease.reliable_until;
        tokio::spawn(async move {
            let report = carry_out(&context, &order.backend, &version_order, until).await;
            let _ = sender.send(OrderEnded {
                backend: order.backend,
                report,
            });
            context.orders_changed.notify_one();
        });
    }

    fn take_ended(&mut self, ended: OrderEnded) {
        self.under_way.remove(&ended.backend);
        match ended.report {
            Some(report) => {
                self.taken.insert(ended.backend, report.orders_taken);
            }
            None => {
                self.taken.remove(&ended.backend);
                self.avoided_until
                    .insert(ended.backend, self.context.now() + AVOID_MS);
            }
        }
    }
}

fn running_items(context: &Context) -> BTreeMap<BackendId, u32> {
    let mut running = BTreeMap::new();
    for partition in &context.partitions {
        let inner = partition.lock();
        for batch in inner.state.batches().filter(|batch| !batch.is_closed()) {
            let open = batch.items.iter().filter(|item| item.result.is_none());
            for backend in open.filter_map(|item| item.backend.clone()) {
                *running.entry(backend).or_default() += 1;
            }
        }
    }
    running
}

async fn append(context: &Context, record: &OrderRecord) -> Result<u64, LogError> {
    let records = framing::split(&record.encode(), context.settings.log.record_bytes);
    context
        .log
        .append(ORDERS, records)
        .await
        .map(|appended| appended.offset)
}

/// Gives an order and waits until the back end has the version; the report says that it has.
async fn carry_out(
    context: &Arc<Context>,
    backend: &BackendId,
    order: &VersionOrder,
    reliable_until: Millis,
) -> Option<BackendReport> {
    let began = Instant::now();
    let status = send_order(context, backend, order, reliable_until).await;
    let status_text = status.map_or("none".to_owned(), |status| status.as_u16().to_string());
    info!(event = "order_given", backend = backend.as_str(), model = order.model.as_str(),
        version = order.version, fence = order.fence, status = status_text.as_str(),
        expected_orders = format!("{:?}", order.expected_orders).as_str(); "");
    metrics::order_answered(match status.map(|status| status.as_u16()) {
        Some(200) => "holds",
        Some(202) => "accepted",
        Some(_) => "refused",
        None => "unanswered",
    });
    let first_question = match status {
        Some(StatusCode::ACCEPTED) => FIRST_QUESTION,
        Some(StatusCode::OK) => Duration::ZERO,
        _ => QUESTION_PAUSE,
    };
    tokio::time::sleep(first_question).await;
    loop {
        let report = ask(context, backend).await;
        let version = report
            .as_ref()
            .and_then(|report| report.models.get(&order.model).copied());
        if let (Some(report), Some(version)) = (report, version) {
            if version >= order.version && !report.busy {
                note_loaded(context, backend, &order.model, version, began).await;
                return Some(report);
            }
            // Refused for its count of orders: the next try knows the count.
            if status == Some(StatusCode::CONFLICT) && !report.busy {
                note_loaded(context, backend, &order.model, version, began).await;
                return Some(report);
            }
        }
        if began.elapsed() >= ORDER_LOST_AFTER || !is_listed(context, backend) {
            return None;
        }
        tokio::time::sleep(QUESTION_PAUSE).await;
    }
}

fn is_listed(context: &Context, backend: &BackendId) -> bool {
    context.backends.lock().list.get(backend).is_some()
}

async fn send_order(
    context: &Arc<Context>,
    backend: &BackendId,
    order: &VersionOrder,
    reliable_until: Millis,
) -> Option<StatusCode> {
    let chosen = context.backends.take(backend)?;
    let names = context.dialect.headers();
    let mut request = context.dialect.order_request(order);
    let expected = http::HeaderValue::from_str(backend.as_str()).ok()?;
    request
        .headers_mut()
        .insert(names.expected_backend.clone(), expected);
    if context.now() >= reliable_until {
        return None;
    }
    let answer = chosen.link.send(request, ORDER_TIMEOUT).await.ok()?;
    let status = answer.status();
    let _ = tokio::time::timeout(ORDER_TIMEOUT, answer.whole(MOST_ANSWER_BYTES)).await;
    Some(status)
}

/// Longest answer to an order or a question.
const MOST_ANSWER_BYTES: usize = 1024 * 1024;

async fn ask(context: &Arc<Context>, backend: &BackendId) -> Option<BackendReport> {
    let chosen = context.backends.take(backend)?;
    let names = context.dialect.headers();
    let mut request = context.dialect.report_request();
    let expected = http::HeaderValue::from_str(backend.as_str()).ok()?;
    request
        .headers_mut()
        .insert(names.expected_backend.clone(), expected);
    let answer = chosen.link.send(request, REPORT_TIMEOUT).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    let body = tokio::time::timeout(REPORT_TIMEOUT, answer.whole(MOST_ANSWER_BYTES));
    context.dialect.read_report(&body.await.ok()?.ok()?.body)
}

async fn note_loaded(
    context: &Arc<Context>,
    backend: &BackendId,
    model: &ModelName,
    version: Version,
    began: Instant,
) {
    let took_ms = began.elapsed().as_millis() as u64;
    info!(event = "version_loaded", backend = backend.as_str(), model = model.as_str(),
        version = version, took_ms = took_ms; "");
    context.backends.lock().saw_version(backend, model, version);
    let record = OrderRecord::Loaded {
        backend: backend.clone(),
        model: model.clone(),
        version,
    };
    if let Err(error) = append(context, &record).await {
        warn!(event = "order_not_written", backend = backend.as_str(),
            reason = error.to_string().as_str(); "");
    }
}
