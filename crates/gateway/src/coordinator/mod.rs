//! Orders back ends to load model versions, while this node holds the order lease.
//!
//! Each order is appended to the log before it is sent. The records of the log decide who holds the lease.
//! The holder relies on its lease only for a limited time after each heartbeat that the log has confirmed. A
//! new holder sends an order to a back end only when the last order of another machine to that back end is
//! older than the lease bound.

mod demand;
mod harmful_loads;
mod lease;
mod suspension;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use havenstage_clock::{AwakeInstant, Instant};
use havenstage_rollout::Millis;
use havenstage_rollout::crash_ledger::Fingerprint;
use havenstage_rollout::ids::{BackendId, ModelName, PoolName};
use havenstage_rollout::lease::Term;
use havenstage_rollout::load_limit::{LoadLimit, LoadSample};
use havenstage_rollout::order_plan::PlannedOrder;
use havenstage_rollout::route::RouteTable;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use self::harmful_loads::{HarmfulLoads, LoadEnd};
use self::suspension::SuspensionWatch;
use crate::context::Context;
use crate::edge::{BackendReport, LoadMode};
use crate::fingerprint;
use crate::order_run::{self, Order, OrderStart};
use crate::work_pace::WorkPace;

/// Interval at which the lease holder checks which orders are due.
const ORDER_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after planning, as a multiple of the time that planning took: it uses at most a quarter of one
/// processor.
const PLAN_PAUSE_FACTOR: u32 = 3;
/// Interval at which a node that does not hold the lease checks whether it can claim it.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);
/// Backoff after a back end did not answer; it gets no orders in this time.
const BACKOFF_MS: Millis = 1_000;

/// Plans and sends the orders of this node while it holds the order lease.
pub struct Coordinator {
    context: Arc<Context>,
    lease: Option<HeldLease>,
    /// Number of orders that each back end has accepted, as it last reported.
    accepted_orders: BTreeMap<BackendId, u64>,
    /// Back ends whose order has not ended, at most one order each.
    /// Back ends with an order in flight, and the most orders that were in flight at a time since it began.
    in_flight: BTreeMap<BackendId, usize>,
    avoided_until: BTreeMap<BackendId, Millis>,
    load_limit: LoadLimit,
    harmful_loads: HarmfulLoads,
    /// Time until which the lease is valid, in the milliseconds of [`Context::now`]. It is read right before
    /// each order is sent, as the order may have waited for its log append. 0 if the lease is not valid.
    valid_until: Arc<AtomicU64>,
    pace: WorkPace,
    suspension: SuspensionWatch,
    outcomes: UnboundedReceiver<OrderOutcome>,
    outcome_sender: UnboundedSender<OrderOutcome>,
}

/// The order lease as this node holds it.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    term: Term,
    since: Millis,
    /// When the last heartbeat was sent.
    last_heartbeat_at: Millis,
    /// When the last heartbeat was certainly in the log; `None` if its append had no answer. The next
    /// heartbeat reports the time since then, so that readers of the log never take an order that precedes
    /// the former heartbeat for older than it is.
    heartbeat_logged_at: Option<AwakeInstant>,
}

/// The outcome of an order, sent to the coordinator by the task that followed the order.
struct OrderOutcome {
    backend: BackendId,
    model: ModelName,
    /// The load that was ordered; `None` if an earlier lease holder sent the order.
    ordered_load: Option<Fingerprint>,
    /// The last report of the back end after the order; `None` if there is none.
    report: Option<BackendReport>,
    /// Duration of the load in milliseconds, if the order started it and it succeeded.
    load_ms: Option<Millis>,
    /// Whether the back end may have begun to load the version.
    may_have_begun: bool,
}

impl Coordinator {
    /// Creates a coordinator that does not hold the lease.
    pub fn new(context: Arc<Context>) -> Self {
        let (outcome_sender, outcomes) = mpsc::unbounded_channel();
        let load_limit = LoadLimit::new(context.settings.tuning.loads_at_once);
        Self {
            load_limit,
            harmful_loads: HarmfulLoads::default(),
            context,
            lease: None,
            accepted_orders: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            valid_until: Arc::new(AtomicU64::new(0)),
            avoided_until: BTreeMap::new(),
            pace: WorkPace::new(PLAN_PAUSE_FACTOR),
            suspension: SuspensionWatch::start(),
            outcomes,
            outcome_sender,
        }
    }

    /// Claims, renews and releases the lease and sends orders, until the process ends.
    pub async fn run(mut self) {
        let context = self.context.clone();
        loop {
            let pause = if self.lease.is_some() {
                ORDER_INTERVAL
            } else {
                CLAIM_INTERVAL
            };
            tokio::select! {
                Some(outcome) = self.outcomes.recv() => self.record_outcome(outcome),
                () = context.control_changed.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
            self.record_suspension();
            self.update_lease();
            if context.is_stopping() {
                self.release().await;
            } else if self.lease.is_some() {
                self.send_heartbeat_if_due().await;
                if self.can_order() && self.pace.is_due() {
                    let began = Instant::now();
                    self.send_due_orders().await;
                    self.pace.done(began);
                }
            } else if self.claimable_term().is_some() {
                self.claim().await;
            }
        }
    }

    /// Plans orders for all pools and sends those that may begin now.
    async fn send_due_orders(&mut self) {
        let Some(table) = self.context.routes() else {
            return;
        };
        let named = self.context.named_versions();
        for pool in table.pools_with_models() {
            let mode = load_mode(&table, &pool.name);
            for order in self.plan(pool, &named) {
                if self.try_begin_load(&order) {
                    self.send_order(order, mode);
                }
            }
        }
    }

    /// Sends a planned order under the current term.
    fn send_order(&mut self, order: PlannedOrder, mode: LoadMode) {
        let Some(lease) = self.lease else { return };
        let order = Order {
            backend: order.backend,
            model: order.model,
            version: order.version,
            mode,
            fence: lease.term,
            expected_orders: None,
        };
        let expected_orders = self.accepted_orders.get(&order.backend).copied();
        self.spawn_follower(
            Order {
                expected_orders,
                ..order
            },
            OrderStart::Send,
        );
    }

    /// Follows the orders that an earlier holder sent and whose outcome is not in the log.
    fn follow_pending_orders(&mut self) {
        let pending: Vec<Order> = self
            .context
            .control
            .lock()
            .state
            .all_pending()
            .map(|(backend, order)| Order {
                backend: backend.clone(),
                model: order.model.clone(),
                version: order.version,
                mode: LoadMode::Retain,
                fence: 0,
                expected_orders: None,
            })
            .collect();
        for order in pending {
            self.spawn_follower(order, OrderStart::Follow);
        }
    }

    /// Starts a task that follows an order, unless one for the same back end is in flight.
    fn spawn_follower(&mut self, order: Order, start: OrderStart) {
        if self.in_flight.contains_key(&order.backend) {
            return;
        }
        self.in_flight.insert(order.backend.clone(), 0);
        let count = self.in_flight.len();
        for most in self.in_flight.values_mut() {
            *most = count.max(*most);
        }
        let (context, sender) = (self.context.clone(), self.outcome_sender.clone());
        let valid_until = self.valid_until.clone();
        tokio::spawn(async move {
            let executed = order_run::execute(&context, &order, start, &valid_until).await;
            let is_sent = start == OrderStart::Send;
            // Sending fails only when the process ends and the coordinator is dropped.
            let _ = sender.send(OrderOutcome {
                ordered_load: is_sent.then(|| fingerprint::of_load(&order.model, order.version)),
                backend: order.backend,
                model: order.model,
                report: executed.report,
                load_ms: executed.load_ms,
                may_have_begun: executed.may_have_begun,
            });
        });
    }

    /// Records the outcome of an order that has ended.
    fn record_outcome(&mut self, outcome: OrderOutcome) {
        let concurrent = self.in_flight.remove(&outcome.backend);
        if let Some(load) = outcome.ordered_load {
            let end = LoadEnd {
                backend: &outcome.backend,
                may_have_begun: outcome.may_have_begun,
            };
            let now = self.context.now();
            self.harmful_loads.record_end(&load, end, now);
        }
        if let (Some(took_ms), Some(concurrent)) = (outcome.load_ms, concurrent) {
            let load = LoadSample {
                model: outcome.model,
                took_ms,
                concurrent,
            };
            self.load_limit.record_load(load, self.context.now());
        }
        match outcome.report {
            Some(report) => {
                let mut backends = self.context.backends.lock();
                for (model, version) in &report.models {
                    backends.record_version(&outcome.backend, model, *version);
                }
                drop(backends);
                self.accepted_orders
                    .insert(outcome.backend, report.orders_taken);
            }
            None => {
                self.accepted_orders.remove(&outcome.backend);
                self.avoided_until
                    .insert(outcome.backend, self.context.now() + BACKOFF_MS);
            }
        }
    }
}

/// A pool with routes whose results must come from a single version waits for running requests to end before
/// it loads. Other pools retain running requests during a load.
fn load_mode(table: &RouteTable, pool: &PoolName) -> LoadMode {
    if table.has_single_version_routes(pool) {
        LoadMode::Wait
    } else {
        LoadMode::Retain
    }
}
