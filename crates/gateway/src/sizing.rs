//! Orders the sizes of pools from the platform, while this node holds the lease for orders.

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

/// Pause between two looks at the pools.
const LOOK_PAUSE: Duration = Duration::from_millis(250);
/// Time for an order to be answered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Share of the time within which a batch is due after which it is taken to be behind: a new back end serves
/// seconds later.
const BEHIND_SHARE: f64 = 0.8;

/// Keeps pools at the size that their load needs.
pub(crate) struct PoolSizeController {
    context: Arc<Context>,
    api: Arc<dyn OperationsApi>,
    sizers: BTreeMap<PoolName, PoolSizer>,
    /// The size that each zone's last answered order named, and the term it was given in.
    answered: BTreeMap<(PoolName, ZoneName), (Term, u32)>,
}

impl PoolSizeController {
    /// One that has ordered nothing.
    pub(crate) fn new(context: Arc<Context>, api: Arc<dyn OperationsApi>) -> Self {
        Self {
            context,
            api,
            sizers: BTreeMap::new(),
            answered: BTreeMap::new(),
        }
    }

    /// Works until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::time::sleep(LOOK_PAUSE).await;
            let orders = self.wanted_orders();
            let Some(term) = self.context.lease_grant().map(|grant| grant.term) else {
                continue;
            };
            for order in orders {
                let key = (order.pool.clone(), order.zone.clone());
                if self.answered.get(&key) != Some(&(term, order.size)) {
                    self.give(order).await;
                }
            }
        }
    }

    /// What each zone of each pool is to have, of those whose size was ever ordered. Every node looks, so that the next
    /// holder knows how large the pools are.
    fn wanted_orders(&mut self) -> Vec<SizeOrder> {
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

    /// The sizes ordered last, by whichever holder.
    fn ordered(&self, pool: &PoolName) -> ZoneSizes {
        let control = self.context.control.lock();
        let sizes = control.state.sizes().get(pool);
        sizes.cloned().unwrap_or_default()
    }

    /// Whether an open batch of a pool has used up most of the time within which it is due.
    fn is_behind(&self, table: &RouteTable, pool: &PoolName, now: Millis) -> bool {
        let control = self.context.control.lock();
        let mut open = control.state.index().open();
        open.any(|batch| {
            let route = table.batch_route(&batch.notice.host, &batch.notice.path);
            let of_pool = route.filter(|route| route.pools.iter().any(|part| part.pool == *pool));
            let due_ms = of_pool.and_then(|route| route.due_ms);
            let age_ms = now.saturating_sub(batch.first_seen) as f64;
            due_ms.is_some_and(|due_ms| age_ms > due_ms as f64 * BEHIND_SHARE)
        })
    }

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

    async fn give(&mut self, order: SizeOrder) {
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
        // Writing it down took time, in which the lease may have gone.
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
            self.answered.insert(key, (authority.fence, order.size));
        }
    }

    fn authority(&self) -> Option<DutyAuthority> {
        let grant = self.context.lease_grant()?;
        grant.authority(&self.context, ORDER_TIMEOUT)
    }
}
