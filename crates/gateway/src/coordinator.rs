//! Gives orders to load versions, while this node holds the lease for orders.
//!
//! Each order is written down before it is given. The fold of the log says who holds the lease; a
//! holder relies on it only for a while after each answered sign of life. A new holder gives a
//! back end an order only when the last one of another machine there is older than the lease bound.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::ids::{BackendId, ModelName, Version};
use havenstage_rollout::lease::{ClaimTiming, Term};
use havenstage_rollout::orders::{
    OrderRecord, OrderTarget, PlannedOrder, VersionDemand, assign_homes, plan_orders,
};
use havenstage_rollout::route::Pool;
use log::{info, warn};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use xxhash_rust::xxh3::xxh3_64;

use crate::context::Context;
use crate::edge::BackendReport;
use crate::order_run::{self, Order, OrderStart, append};

/// Pause between two looks at what is to be ordered.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two looks at the lease when another node holds it.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Share of the silence after which others claim in which the holder relies on its lease.
const RELIABLE_SHARE: f64 = 0.7;
/// Time that a back end is left alone after it failed to answer.
const AVOID_MS: Millis = 1_000;

/// Gives orders until the process ends.
pub struct Coordinator {
    context: Arc<Context>,
    lease: Option<HeldLease>,
    /// Orders that each back end has taken, as it last reported.
    taken: BTreeMap<BackendId, u64>,
    under_way: BTreeSet<BackendId>,
    avoided_until: BTreeMap<BackendId, Millis>,
    /// Until when the lease is relied on; read right before each order is sent.
    reliable_until: Arc<AtomicU64>,
    ended: UnboundedReceiver<OrderEnded>,
    ended_sender: UnboundedSender<OrderEnded>,
}

/// The right to give orders, as long as the lease holds.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    term: Term,
    since: Millis,
    kept_at: Millis,
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
            under_way: BTreeSet::new(),
            reliable_until: Arc::new(AtomicU64::new(0)),
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
                });
                self.settle_pending();
            }
            (None, Some(lease)) => {
                info!(event = "order_lease_lost", term = lease.term; "");
                self.lease = None;
                self.reliable_until.store(0, Ordering::Relaxed);
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
                self.reliable_until
                    .store(sent + reliable_ms, Ordering::Relaxed);
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
        self.reliable_until.store(0, Ordering::Relaxed);
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
        now < self.reliable_until.load(Ordering::Relaxed) && is_awake
    }

    async fn order_next(&mut self) {
        let Some(table) = self.context.routes() else {
            return;
        };
        let named = self.context.named_versions();
        for pool in table.pools_with_models() {
            for order in self.plan(pool, &named) {
                self.give(order);
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
        self.context.note_observed_versions();
        let orders = self.context.orders.lock();
        let backends = self.context.backends.lock();
        let quiet_ms = self.context.settings.bounds.order_lease_ms;
        let mut targets = Vec::new();
        for (id, _) in backends.list.ready_in(&pool.name) {
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
                loading: self.under_way.contains(id),
                avoided: is_left_alone || !is_quiet,
            });
        }
        targets
    }

    fn give(&mut self, order: PlannedOrder) {
        let Some(lease) = self.lease else { return };
        let order = Order {
            backend: order.backend,
            model: order.model,
            version: order.version,
            fence: lease.term,
            expected_orders: None,
        };
        let expected_orders = self.taken.get(&order.backend).copied();
        self.follow(
            Order {
                expected_orders,
                ..order
            },
            OrderStart::Give,
        );
    }

    /// Asks about orders that an earlier holder gave.
    fn settle_pending(&mut self) {
        let pending: Vec<Order> = self
            .context
            .orders
            .lock()
            .state
            .all_pending()
            .map(|(backend, order)| Order {
                backend: backend.clone(),
                model: order.model.clone(),
                version: order.version,
                fence: 0,
                expected_orders: None,
            })
            .collect();
        for order in pending {
            self.follow(order, OrderStart::Settle);
        }
    }

    fn follow(&mut self, order: Order, start: OrderStart) {
        if !self.under_way.insert(order.backend.clone()) {
            return;
        }
        let (context, sender) = (self.context.clone(), self.ended_sender.clone());
        let reliable_until = self.reliable_until.clone();
        tokio::spawn(async move {
            let report = order_run::follow(&context, &order, start, &reliable_until).await;
            // The coordinator is gone only when the process ends.
            let _ = sender.send(OrderEnded {
                backend: order.backend,
                report,
            });
        });
    }

    fn take_ended(&mut self, ended: OrderEnded) {
        self.under_way.remove(&ended.backend);
        match ended.report {
            Some(report) => {
                let mut backends = self.context.backends.lock();
                for (model, version) in &report.models {
                    backends.saw_version(&ended.backend, model, *version);
                }
                drop(backends);
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
