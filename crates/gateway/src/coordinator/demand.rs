//! What the models' back ends have to do, and which orders follow from it.

use std::collections::BTreeMap;

use havenstage_rollout::Millis;
use havenstage_rollout::ids::{ModelName, Version};
use havenstage_rollout::order_plan::{
    OrderTarget, PlannedOrder, VersionDemand, assign_models, plan_orders,
};
use havenstage_rollout::route::Pool;

use super::Coordinator;
use crate::order_run::ORDER_TIMEOUT;

/// Time from an order's record until the order is at its back end, at most. What is known of another
/// machine's order is when its record stood in the log.
const ORDER_ON_ITS_WAY_MS: Millis = ORDER_TIMEOUT.as_millis() as Millis;

/// What a model's back ends have to do.
#[derive(Debug, Clone, Copy)]
struct ModelWork {
    /// Tokens of its newest batch: its share of the back ends.
    weight: f64,
    /// Items of its newest batch.
    items: u32,
    /// How many versions behind the step's own its tokens may be.
    allowed_age: u64,
}

impl Coordinator {
    pub(super) fn plan(
        &mut self,
        pool: &Pool,
        named: &BTreeMap<ModelName, Version>,
    ) -> Vec<PlannedOrder> {
        // In this order: a suspension in between makes the orders of others look younger, never older.
        let now = self.context.now();
        self.note_suspension();
        let targets = self.targets(pool, now);
        let work: BTreeMap<ModelName, ModelWork> = pool
            .models
            .iter()
            .map(|model| (model.clone(), self.work_of(model)))
            .collect();
        self.want_places_for(pool, &targets, &work);
        let weights = work
            .iter()
            .map(|(model, work)| (model.clone(), work.weight))
            .collect();
        let homes = assign_models(&targets, &weights, named);
        let demand = work.iter().filter_map(|(model, work)| {
            let named = *named.get(model)?;
            Some((
                model.clone(),
                VersionDemand {
                    named,
                    max_versions_behind: work.allowed_age,
                    items: work.items,
                },
            ))
        });
        let at_once = self.load_limit.allowed(targets.len());
        plan_orders(&targets, &demand.collect(), &homes, at_once)
    }

    /// Has more back ends listed if those that are known cannot hold the newest batches of all models at once.
    fn want_places_for(
        &self,
        pool: &Pool,
        targets: &[OrderTarget],
        work: &BTreeMap<ModelName, ModelWork>,
    ) {
        let places: u64 = targets.iter().map(|target| u64::from(target.slots)).sum();
        let known_work = work.values().filter(|work| work.items != u32::MAX);
        let items: u64 = known_work.map(|work| u64::from(work.items)).sum();
        if places < items {
            self.context.backends.want_more(&pool.name);
        }
    }

    /// What the newest batch of a model tells of its work.
    fn work_of(&self, model: &ModelName) -> ModelWork {
        let control = self.context.control.lock();
        let newest = control.state.index().newest_of_model(model);
        newest.map_or(
            ModelWork {
                weight: 1.0,
                // Until a batch is known, so that its first items find a place each.
                items: u32::MAX,
                allowed_age: 0,
            },
            |batch| ModelWork {
                weight: (batch.expected_tokens as f64).max(1.0),
                items: batch.items,
                allowed_age: batch
                    .step
                    .unwrap_or(0)
                    .saturating_sub(batch.minimum_version),
            },
        )
    }

    pub(super) fn targets(&self, pool: &Pool, now: Millis) -> Vec<OrderTarget> {
        let running = self.context.occupied(|_| true);
        self.context.apply_observed_versions();
        let control = self.context.control.lock();
        let backends = self.context.backends.lock();
        let quiet_ms = self.context.settings.bounds.order_lease_ms + ORDER_ON_ITS_WAY_MS;
        let mut targets = Vec::new();
        for (id, record) in backends.list.ready_in(&pool.name) {
            let is_quiet = control
                .state
                .ms_since_order_by_other_machine(id, now)
                .is_none_or(|quiet| quiet > quiet_ms);
            let is_left_alone = self.avoided_until.get(id).is_some_and(|until| *until > now);
            let models = pool.models.iter();
            targets.push(OrderTarget {
                backend: id.clone(),
                models: models
                    .map(|m| (m.clone(), backends.version(id, m)))
                    .collect(),
                running: running.get(id).copied().unwrap_or(0),
                slots: record.slots,
                is_loading: self.under_way.contains(id),
                is_avoided: is_left_alone || !is_quiet,
            });
        }
        targets
    }
}
