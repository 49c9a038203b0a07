//! Gives orders to load versions, while this node holds the lease for orders.
//!
//! Each order is written down before it is given. The fold of the log says who holds the lease; a
//! holder relies on it only for a while after each answered sign of life. A new holder gives a
//! back end an order only when the last one of another machine there is older than the lease bound.

mod demand;
mod harmful_loads;
mod lease;
mod suspension;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use havenstage_clock::{AwakeInstant, Instant};
use havenstage_rollout::Millis;
use havenstage_rollout::crash_ledger::Fingerprint;
use havenstage_rollout::ids::{BackendId, PoolName};
use havenstage_rollout::lease::Term;
use havenstage_rollout::load_limit::LoadLimit;
use havenstage_rollout::order_plan::PlannedOrder;
use havenstage_rollout::route::RouteTable;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use self::harmful_loads::HarmfulLoads;
use self::suspension::SuspensionWatch;
use crate::context::Context;
use crate::edge::{BackendReport, LoadMode};
use crate::fingerprint;
use crate::order_run::{self, Order, OrderStart};
use crate::work_pace::WorkPace;

/// Pause between two looks at what is to be ordered.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Rest after a plan, as a multiple of the time it took: planning uses at most a quarter of the processor.
const PLAN_REST: u32 = 3;
/// Pause between two looks at the lease when another node holds it.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
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
    load_limit: LoadLimit,
    harmful_loads: HarmfulLoads,
    /// Until when the lease is relied on; read right before each order is sent.
    valid_until: Arc<AtomicU64>,
    pace: WorkPace,
    suspension: SuspensionWatch,
    ended: UnboundedReceiver<OrderEnded>,
    ended_sender: UnboundedSender<OrderEnded>,
}

/// The right to give orders, as long as the lease holds.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    term: Term,
    since: Millis,
    /// When the last sign of life was sent.
    kept_at: Millis,
    /// When the last sign of life certainly stood in the log; `None` if its append had no answer. The time
    /// that the next one tells begins here: an order in front of the former sign is older than that.
    sign_stood_at: Option<AwakeInstant>,
}

struct OrderEnded {
    backend: BackendId,
    /// What was ordered, if this holder gave the order.
    given: Option<Fingerprint>,
    report: Option<BackendReport>,
    /// The load that was ordered, if the back end has its version now.
    load: Option<EndedLoad>,
}

/// A load that ended well.
#[derive(Debug, Clone, Copy)]
struct EndedLoad {
    took_ms: Millis,
    /// Orders under way when it was given, itself among them.
    together: usize,
}

impl Coordinator {
    /// A coordinator without a term.
    pub fn new(context: Arc<Context>) -> Self {
        let (ended_sender, ended) = mpsc::unbounded_channel();
        let load_limit = LoadLimit::new(context.settings.tuning.loads_at_once);
        Self {
            load_limit,
            harmful_loads: HarmfulLoads::default(),
            context,
            lease: None,
            taken: BTreeMap::new(),
            under_way: BTreeSet::new(),
            valid_until: Arc::new(AtomicU64::new(0)),
            avoided_until: BTreeMap::new(),
            pace: WorkPace::new(PLAN_REST),
            suspension: SuspensionWatch::start(),
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
                () = context.control_changed.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
            self.note_suspension();
            self.follow_lease();
            if context.is_stopping() {
                self.release().await;
            } else if self.lease.is_some() {
                self.keep_lease().await;
                if self.may_order() && self.pace.is_due() {
                    let began = Instant::now();
                    self.order_next().await;
                    self.pace.done(began);
                }
            } else if self.claimable_term().is_some() {
                self.claim().await;
            }
        }
    }

    async fn order_next(&mut self) {
        let Some(table) = self.context.routes() else {
            return;
        };
        let named = self.context.named_versions();
        for pool in table.pools_with_models() {
            let mode = load_mode(&table, &pool.name);
            for order in self.plan(pool, &named) {
                if self.begin_load(&order) {
                    self.give(order, mode);
                }
            }
        }
    }

    fn give(&mut self, order: PlannedOrder, mode: LoadMode) {
        let Some(lease) = self.lease else { return };
        let order = Order {
            backend: order.backend,
            model: order.model,
            version: order.version,
            mode,
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
            self.follow(order, OrderStart::Settle);
        }
    }

    fn follow(&mut self, order: Order, start: OrderStart) {
        if !self.under_way.insert(order.backend.clone()) {
            return;
        }
        let (context, sender) = (self.context.clone(), self.ended_sender.clone());
        let (began, together) = (context.now(), self.under_way.len());
        let valid_until = self.valid_until.clone();
        tokio::spawn(async move {
            let report = order_run::follow(&context, &order, start, &valid_until).await;
            let has_version = report.as_ref().is_some_and(|report| order.is_taken(report));
            let took_ms = context.now().saturating_sub(began);
            let is_given = start == OrderStart::Give;
            let load = (is_given && has_version).then_some(EndedLoad { took_ms, together });
            // The coordinator is gone only when the process ends.
            let _ = sender.send(OrderEnded {
                given: is_given.then(|| fingerprint::of_load(&order.model, order.version)),
                backend: order.backend,
                report,
                load,
            });
        });
    }

    fn take_ended(&mut self, ended: OrderEnded) {
        self.under_way.remove(&ended.backend);
        if let Some(load) = ended.given {
            self.harmful_loads.ended(&load);
        }
        if let Some(load) = ended.load {
            self.load_limit.record_load(load.took_ms, load.together);
        }
        match ended.report {
            Some(report) => {
                let mut backends = self.context.backends.lock();
                for (model, version) in &report.models {
                    backends.record_version(&ended.backend, model, *version);
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

/// Where results must come from one version, running requests end before a load.
fn load_mode(table: &RouteTable, pool: &PoolName) -> LoadMode {
    if table.has_single_version_routes(pool) {
        LoadMode::Wait
    } else {
        LoadMode::Retain
    }
}
