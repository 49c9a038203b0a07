//! The demand of each model for back ends, and the orders that follow from it.

use std::collections::BTreeMap;

use havenstage_rollout::Millis;
use havenstage_rollout::ids::{ModelName, Version};
use havenstage_rollout::order_plan::{
    OrderTarget, PlannedOrder, VersionDemand, assign_models, plan_orders,
};
use havenstage_rollout::route::Pool;

use super::Coordinator;
use crate::order_run::ORDER_TIMEOUT;

/// Longest time from the log record of an order until the order is at its back end. Of another machine's
/// order, a node knows only when the record was in the log.
const MAX_ORDER_DELAY_MS: Millis = ORDER_TIMEOUT.as_millis() as Millis;

/// The workload of a model, as its newest batch shows it.
#[derive(Debug, Clone, Copy)]
struct ModelWorkload {
    /// Expected tokens of the newest batch; the back ends are divided among the models in this proportion.
    weight: f64,
    /// Items of the newest batch; `u32::MAX` while no batch is known.
    items: u32,
    /// How many versions behind the version of the batch's step its tokens may be.
    max_versions_behind: u64,
}

impl Coordinator {
    /// Plans the orders that a pool needs now.
    pub(super) fn plan(
        &mut self,
        pool: &Pool,
        named: &BTreeMap<ModelName, Version>,
    ) -> Vec<PlannedOrder> {
        // The time is read before the suspension is recorded: a suspension in between makes the orders of
        // other machines look younger, never older.
        let now = self.context.now();
        self.record_suspension();
        let targets = self.targets(pool, now);
        let workload: BTreeMap<ModelName, ModelWorkload> = pool
            .models
            .iter()
            .map(|model| (model.clone(), self.workload_of(model)))
            .collect();
        self.request_backends_if_short(pool, &targets, &workload);
        let weights = workload
            .iter()
            .map(|(model, workload)| (model.clone(), workload.weight))
            .collect();
        let assignments = assign_models(&targets, &weights, named);
        let demand = workload.iter().filter_map(|(model, workload)| {
            let named = *named.get(model)?;
            Some((
                model.clone(),
                VersionDemand {
                    named,
                    max_versions_behind: workload.max_versions_behind,
                    items: workload.items,
                },
            ))
        });
        let max_loads_at_once = self.load_limit.allowed(targets.len(), now);
        plan_orders(&targets, &demand.collect(), &assignments, max_loads_at_once)
    }

    /// Requests that more back ends be listed if the known ones have too few slots for the newest batches of
    /// all models at once.
    fn request_backends_if_short(
        &self,
        pool: &Pool,
        targets: &[OrderTarget],
        workload: &BTreeMap<ModelName, ModelWorkload>,
    ) {
        let slots: u64 = targets.iter().map(|target| u64::from(target.slots)).sum();
        let known_workloads = workload
            .values()
            .filter(|workload| workload.items != u32::MAX);
        let items: u64 = known_workloads
            .map(|workload| u64::from(workload.items))
            .sum();
        if slots < items {
            self.context.backends.want_more(&pool.name);
        }
    }

    /// The workload of a model, from its newest batch.
    fn workload_of(&self, model: &ModelName) -> ModelWorkload {
        let control = self.context.control.lock();
        let newest = control.state.index().newest_of_model(model);
        newest.map_or(
            ModelWorkload {
                weight: 1.0,
                // While no batch is known, so that each of the first items finds a slot.
                items: u32::MAX,
                max_versions_behind: 0,
            },
            |batch| ModelWorkload {
                weight: (batch.expected_tokens as f64).max(1.0),
                items: batch.items,
                max_versions_behind: batch
                    .step
                    .unwrap_or(0)
                    .saturating_sub(batch.minimum_version),
            },
        )
    }

    /// The back ends of a pool that are ready, with their versions, load and whether they can get an order.
    pub(super) fn targets(&self, pool: &Pool, now: Millis) -> Vec<OrderTarget> {
        let running = self.context.occupied(|_| true);
        self.context.apply_observed_versions();
        let control = self.context.control.lock();
        let mut backends = self.context.backends.lock();
        backends.list.expire_replaced(now);
        let min_order_age_ms = self.context.settings.bounds.order_lease_ms + MAX_ORDER_DELAY_MS;
        let mut targets = Vec::new();
        for (id, record) in backends.list.ready_in(&pool.name) {
            let is_order_old_enough = control
                .state
                .ms_since_order_by_other_machine(id, now)
                .is_none_or(|age_ms| age_ms > min_order_age_ms);
            let is_backing_off = self.avoided_until.get(id).is_some_and(|until| *until > now);
            let models = pool.models.iter();
            targets.push(OrderTarget {
                backend: id.clone(),
                models: models
                    .map(|m| (m.clone(), backends.version(id, m)))
                    .collect(),
                running: running.get(id).copied().unwrap_or(0),
                slots: record.slots,
                is_loading: self.in_flight.contains_key(id),
                is_avoided: is_backing_off || !is_order_old_enough,
            });
        }
        targets
    }
}
