//! Orders pool sizes from the platform, while this node holds the order lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::ids::{PoolName, ZoneName};
use havenstage_rollout::lease::Term;
use havenstage_rollout::route::{Pool, RouteTable};
use havenstage_rollout::sizing::{PoolLoad, PoolScaling, PoolSizer, ZoneSizes};
use log::{info, warn};

use crate::context::Context;
use crate::log_writes::append_control_and_read;
use crate::metrics;
use crate::operations::{DutyAuthority, DutyError, OperationsApi, SizeOrder};

/// Interval at which the load of the pools is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a size order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Share of the time in which a batch is due after which the batch counts as behind. It is below 1, as a new back
/// end serves only some seconds after it is ordered.
const BEHIND_SHARE: f64 = 0.8;

/// Adjusts the size of each pool to its load.
pub(crate) struct PoolSizeController {
    context: Arc<Context>,
    api: Arc<dyn OperationsApi>,
    sizers: BTreeMap<PoolName, PoolSizer>,
    /// Size in the last successful order for each pool and zone, and the term under which it was sent. Such an order
    /// is not repeated in the same term.
    acknowledged: BTreeMap<(PoolName, ZoneName), (Term, u32)>,
}

impl PoolSizeController {
    /// Creates a controller that has ordered nothing.
    pub(crate) fn new(context: Arc<Context>, api: Arc<dyn OperationsApi>) -> Self {
        Self {
            context,
            api,
            sizers: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
        }
    }

    /// Checks the pools and sends size orders, until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let orders = self.size_orders();
            let Some(term) = self.context.lease_grant().map(|grant| grant.term) else {
                continue;
            };
            for order in orders {
                let key = (order.pool.clone(), order.zone.clone());
                if self.acknowledged.get(&key) != Some(&(term, order.size)) {
                    self.send_order(order).await;
                }
            }
        }
    }

    /// The size of each zone of each pool, of those whose size was ever ordered or is ordered now. Nodes without the
    /// lease run this as well: they observe the back ends that are ready, so that the next holder knows the pool sizes.
    fn size_orders(&mut self) -> Vec<SizeOrder> {
        let Some(table) = self.context.routes() else {
            return Vec::new();
        };
        let now = self.context.now();
        let mut orders = Vec::new();
        for (pool, scaling) in table.scaled_pools() {
            let load = self.load(&table, pool, scaling, now);
            let ordered = self.ordered(&pool.name);
            let sizer = self.sizers.entry(pool.name.clone()).or_default();
            sizer.observe_ready(&load.ready);
            let planned = match self.context.lease_grant() {
                Some(_) => sizer.plan(scaling, &ordered, &load, now),
                None => None,
            };
            let sizes = planned.unwrap_or(ordered);
            orders.extend(sizes.into_iter().map(|(zone, size)| SizeOrder {
                pool: pool.name.clone(),
                zone,
                size,
            }));
        }
        orders
    }

    /// The sizes that were ordered last, by any lease holder.
    fn ordered(&self, pool: &PoolName) -> ZoneSizes {
        let control = self.context.control.lock();
        let sizes = control.state.sizes().get(pool);
        sizes.cloned().unwrap_or_default()
    }

    /// Whether an open batch of a pool has used most of the time in which it is due.
    fn is_behind(&self, table: &RouteTable, pool: &PoolName, now: Millis) -> bool {
        let control = self.context.control.lock();
        let mut open = control.state.index().open();
        open.any(|batch| {
            let route = table.batch_route(&batch.notice.host, &batch.notice.path);
            let pool_route =
                route.filter(|route| route.pools.iter().any(|part| part.pool == *pool));
            let due_ms = pool_route.and_then(|route| route.due_ms);
            let age_ms = now.saturating_sub(batch.first_seen) as f64;
            due_ms.is_some_and(|due_ms| age_ms > due_ms as f64 * BEHIND_SHARE)
        })
    }

    /// The ready back ends, slots and running items of a pool.
    fn load(
        &self,
        table: &RouteTable,
        pool: &Pool,
        scaling: &PoolScaling,
        now: Millis,
    ) -> PoolLoad {
        let is_behind = self.is_behind(table, &pool.name, now);
        let running = self.context.occupied(|_| true);
        let backends = self.context.backends.lock();
        let zones = scaling.zone_prices.keys();
        let mut load = PoolLoad {
            ready: zones.map(|zone| (zone.clone(), 0)).collect(),
            slots: 0,
            running_items: 0,
            is_behind,
        };
        for (id, record) in backends.list.serving_in(&pool.name) {
            if let Some(count) = load.ready.get_mut(record.zone.as_str()) {
                *count += 1;
            }
            load.slots += record.slots;
            load.running_items += running.get(id).copied().unwrap_or(0).min(record.slots);
        }
        load
    }

    /// Appends a size order to the log, then sends it to the platform.
    async fn send_order(&mut self, order: SizeOrder) {
        let Some(authority) = self.authority() else {
            return;
        };
        let record = ControlRecord::SizeOrdered {
            pool: order.pool.clone(),
            zone: order.zone.clone(),
            size: order.size,
        };
        if let Err(error) = append_control_and_read(&self.context, &record).await {
            warn!(event = "size_not_written", pool = order.pool.as_str(), zone = order.zone.as_str(),
                reason = error.to_string().as_str(); "");
            return;
        }
        // The lease may have been lost during the append.
        let Some(authority) = self.authority().filter(|now| now.fence == authority.fence) else {
            return;
        };
        let answer = self.api.order_size(&order, &authority).await;
        let outcome = answer.map_or_else(DutyError::name, |()| "done");
        metrics::size_ordered(outcome);
        info!(event = "size_ordered", pool = order.pool.as_str(), zone = order.zone.as_str(),
            size = order.size, fence = authority.fence, outcome = outcome; "");
        if answer.is_ok() {
            let key = (order.pool, order.zone);
            self.acknowledged.insert(key, (authority.fence, order.size));
        }
    }

    /// The authority for a size order now; `None` if none may be sent.
    fn authority(&self) -> Option<DutyAuthority> {
        let grant = self.context.lease_grant()?;
        grant.authority(&self.context, ORDER_TIMEOUT)
    }
}
