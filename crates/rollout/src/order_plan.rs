//! Plans the rollout of model versions: which back end is ordered to load which version next.

use std::collections::BTreeMap;

use crate::ids::{BackendId, ModelName, Version};

/// The state of a back end that the planner needs.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderTarget {
    /// The back end.
    pub backend: BackendId,
    /// Version of each model that it serves.
    pub models: BTreeMap<ModelName, Version>,
    /// Number of items that all nodes together run there.
    pub running: u32,
    /// Maximum number of items that it runs at a time.
    pub slots: u32,
    /// Whether an order to load a version is in flight there.
    pub is_loading: bool,
    /// Whether it currently gets no orders, for instance after a failure.
    pub is_avoided: bool,
}

/// An order for a back end to load a version of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The back end.
    pub backend: BackendId,
    /// The model to load.
    pub model: ModelName,
    /// The version of the model to load.
    pub version: Version,
}

/// What the work at hand requires of the back ends of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionDemand {
    /// The newest version of the model that a trainer has named; orders are for this version.
    pub named: Version,
    /// How many versions behind `named` a back end may be and still run the work at hand.
    pub max_versions_behind: u64,
    /// Number of items of the newest batch. Only as many back ends get orders as have slots for all of them at once.
    pub items: u32,
}

/// Plans the next orders so that at most `max_concurrent` loads are in flight together.
///
/// Back ends that are too old for the work at hand come first, as they cannot run it anyway. Of the others only as
/// many load as keep a share of the back ends new enough for the next version. If the work may be one version
/// behind, that share is one half: each back end loads every second version, and half of them serve without a pause.
pub fn plan_orders(
    targets: &[OrderTarget],
    demand: &BTreeMap<ModelName, VersionDemand>,
    assigned_models: &BTreeMap<BackendId, ModelName>,
    max_concurrent: usize,
) -> Vec<PlannedOrder> {
    let loading = targets.iter().filter(|target| target.is_loading).count();
    let mut loads = Vec::new();
    for (model, demand) in demand {
        let assigned_targets: Vec<&OrderTarget> = targets
            .iter()
            .filter(|target| assigned_models.get(&target.backend) == Some(model))
            .collect();
        let to_update = targets_to_update(assigned_targets, model, demand);
        loads.extend(missing_loads(&to_update, model, *demand));
    }
    loads.sort_by_key(|load| (!load.is_too_old, load.running));
    let free_loads = max_concurrent.saturating_sub(loading);
    loads
        .into_iter()
        .map(|load| load.order)
        .take(free_loads)
        .collect()
}

/// The back ends of a model that are kept up to date: as many as have slots for all items of its newest batch at
/// once. Loading more would take time and connections without making the batch faster. Back ends with the newest
/// versions are preferred, so that the same ones are chosen for each version.
fn targets_to_update<'a>(
    mut assigned_targets: Vec<&'a OrderTarget>,
    model: &ModelName,
    demand: &VersionDemand,
) -> Vec<&'a OrderTarget> {
    assigned_targets.sort_by_key(|target| {
        let version = target.models.get(model).copied().unwrap_or(0);
        let cannot_load = target.is_avoided && version < demand.named;
        let behind = demand.named.saturating_sub(version);
        (cannot_load, behind, target.backend.clone())
    });
    let mut total_slots: u32 = 0;
    assigned_targets
        .into_iter()
        .take_while(|target| {
            let is_needed = total_slots < demand.items;
            total_slots = total_slots.saturating_add(target.slots);
            is_needed
        })
        .collect()
}

struct MissingLoad {
    is_too_old: bool,
    running: u32,
    order: PlannedOrder,
}

fn missing_loads(
    assigned_targets: &[&OrderTarget],
    model: &ModelName,
    demand: VersionDemand,
) -> Vec<MissingLoad> {
    let version_of = |target: &OrderTarget| target.models.get(model).copied().unwrap_or(0);
    let oldest_allowed = demand.named.saturating_sub(demand.max_versions_behind);
    let share = assigned_targets
        .len()
        .div_ceil(demand.max_versions_behind as usize + 1);
    let loading_or_up_to_date = assigned_targets
        .iter()
        .filter(|target| target.is_loading || version_of(target) >= demand.named)
        .count();
    let mut behind: Vec<&&OrderTarget> = assigned_targets
        .iter()
        .filter(|target| {
            !target.is_loading && !target.is_avoided && version_of(target) < demand.named
        })
        .collect();
    behind.sort_by_key(|target| {
        (
            version_of(target) >= oldest_allowed,
            target.running,
            version_of(target),
        )
    });
    let missing = share.saturating_sub(loading_or_up_to_date);
    let to_load = behind
        .into_iter()
        .enumerate()
        .filter(|(at, target)| *at < missing || version_of(target) < oldest_allowed);
    to_load
        .map(|(_, target)| MissingLoad {
            is_too_old: version_of(target) < oldest_allowed,
            running: target.running,
            order: PlannedOrder {
                backend: target.backend.clone(),
                model: model.clone(),
                version: demand.named,
            },
        })
        .collect()
}

/// Assigns to each back end the model that it is kept up to date for. Each model gets a share of the back ends by its
/// weight. Within the shares, a back end gets the model whose newest version it is closest to.
pub fn assign_models(
    targets: &[OrderTarget],
    weights: &BTreeMap<ModelName, f64>,
    named: &BTreeMap<ModelName, Version>,
) -> BTreeMap<BackendId, ModelName> {
    let mut quotas = split_by_weight(targets.len(), weights);
    let mut assigned_models = BTreeMap::new();
    let mut preferences: Vec<(Version, &OrderTarget, &ModelName)> = Vec::new();
    for target in targets {
        for model in weights.keys() {
            let newest = named.get(model).copied().unwrap_or(0);
            let present = target.models.get(model).copied().unwrap_or(0);
            let behind = newest.saturating_sub(present);
            preferences.push((behind, target, model));
        }
    }
    preferences.sort_by(|left, right| {
        (left.0, &left.1.backend, left.2).cmp(&(right.0, &right.1.backend, right.2))
    });
    for (_, target, model) in preferences {
        let free = quotas.get_mut(model).filter(|free| **free > 0);
        if let (Some(free), false) = (free, assigned_models.contains_key(&target.backend)) {
            *free -= 1;
            assigned_models.insert(target.backend.clone(), model.clone());
        }
    }
    assigned_models
}

/// Splits `count` back ends between models by weight. Each next back end goes to the model with the largest quotient of
/// weight and number of back ends so far plus one half.
fn split_by_weight(count: usize, weights: &BTreeMap<ModelName, f64>) -> BTreeMap<ModelName, usize> {
    let mut quotas: BTreeMap<ModelName, usize> = weights.keys().map(|m| (m.clone(), 0)).collect();
    for _ in 0..count {
        let next = weights.iter().max_by(|left, right| {
            let quotient = |model: &ModelName, weight: f64| weight / (quotas[model] as f64 + 0.5);
            let order = quotient(left.0, *left.1).total_cmp(&quotient(right.0, *right.1));
            order.then_with(|| right.0.cmp(left.0))
        });
        if let Some((model, _)) = next {
            let model = model.clone();
            *quotas.entry(model).or_default() += 1;
        }
    }
    quotas
}
