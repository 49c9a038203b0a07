//! Rolling out named versions: which back end is ordered to load which version next.

use std::collections::BTreeMap;

use crate::ids::{BackendId, ModelName, Version};

/// A back end as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderTarget {
    /// The back end.
    pub backend: BackendId,
    /// Versions it has.
    pub models: BTreeMap<ModelName, Version>,
    /// Items running there, of all nodes.
    pub running: u32,
    /// Items it runs at a time.
    pub slots: u32,
    /// Whether an order is under way there.
    pub is_loading: bool,
    /// Whether it is avoided after failures.
    pub is_avoided: bool,
}

/// An order to be given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The back end.
    pub backend: BackendId,
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: Version,
}

/// What is asked of a model's back ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionDemand {
    /// The newest named version.
    pub named: Version,
    /// How many versions behind the newest one the work at hand may be.
    pub max_versions_behind: u64,
    /// Items of the newest batch: back ends beyond those that hold them all at once are left alone.
    pub items: u32,
}

/// The next orders: at most `max_concurrent` loads are under way together.
///
/// Back ends that are too old for the work at hand come first: they run nothing anyway. Of the
/// others only so many load that the next version finds a share of them new enough; where the work
/// may be one version old, that is every second one, so that each loads every second version and
/// half of them serve without a pause.
pub fn plan_orders(
    targets: &[OrderTarget],
    demand: &BTreeMap<ModelName, VersionDemand>,
    homes: &BTreeMap<BackendId, ModelName>,
    max_concurrent: usize,
) -> Vec<PlannedOrder> {
    let loading = targets.iter().filter(|target| target.is_loading).count();
    let mut wanted = Vec::new();
    for (model, demand) in demand {
        let at_home: Vec<&OrderTarget> = targets
            .iter()
            .filter(|target| homes.get(&target.backend) == Some(model))
            .collect();
        let kept = kept_up_to_date(at_home, model, demand);
        wanted.extend(wanted_loads(&kept, model, *demand));
    }
    wanted.sort_by_key(|load| (!load.is_too_old, load.running));
    let free = max_concurrent.saturating_sub(loading);
    wanted
        .into_iter()
        .map(|load| load.order)
        .take(free)
        .collect()
}

/// The back ends of a model that are kept up to date: as many as hold all items of its newest batch at
/// once. Loading more would take time and connections and make nothing quicker. Those with the newest
/// versions stay, so that it is the same ones with each version.
fn kept_up_to_date<'a>(
    mut at_home: Vec<&'a OrderTarget>,
    model: &ModelName,
    demand: &VersionDemand,
) -> Vec<&'a OrderTarget> {
    at_home.sort_by_key(|target| {
        let version = target.models.get(model).copied().unwrap_or(0);
        let cannot_load = target.is_avoided && version < demand.named;
        let behind = demand.named.saturating_sub(version);
        (cannot_load, behind, target.backend.clone())
    });
    let mut places: u32 = 0;
    at_home
        .into_iter()
        .take_while(|target| {
            let is_needed = places < demand.items;
            places = places.saturating_add(target.slots);
            is_needed
        })
        .collect()
}

struct WantedLoad {
    is_too_old: bool,
    running: u32,
    order: PlannedOrder,
}

fn wanted_loads(
    at_home: &[&OrderTarget],
    model: &ModelName,
    demand: VersionDemand,
) -> Vec<WantedLoad> {
    let has = |target: &OrderTarget| target.models.get(model).copied().unwrap_or(0);
    let oldest = demand.named.saturating_sub(demand.max_versions_behind);
    let share = at_home
        .len()
        .div_ceil(demand.max_versions_behind as usize + 1);
    let current = at_home
        .iter()
        .filter(|t| t.is_loading || has(t) >= demand.named)
        .count();
    let mut behind: Vec<&&OrderTarget> = at_home
        .iter()
        .filter(|t| !t.is_loading && !t.is_avoided && has(t) < demand.named)
        .collect();
    behind.sort_by_key(|target| (has(target) >= oldest, target.running, has(target)));
    let missing = share.saturating_sub(current);
    let chosen = behind
        .into_iter()
        .enumerate()
        .filter(|(at, t)| *at < missing || has(t) < oldest);
    chosen
        .map(|(_, target)| WantedLoad {
            is_too_old: has(target) < oldest,
            running: target.running,
            order: PlannedOrder {
                backend: target.backend.clone(),
                model: model.clone(),
                version: demand.named,
            },
        })
        .collect()
}

/// Which model each back end is kept up to date for. Back ends keep the model they have the newest
/// version of; each model gets a share of back ends by its weight, at least one.
pub fn assign_models(
    targets: &[OrderTarget],
    weights: &BTreeMap<ModelName, f64>,
    named: &BTreeMap<ModelName, Version>,
) -> BTreeMap<BackendId, ModelName> {
    let mut room = shares(targets.len(), weights);
    let mut homes = BTreeMap::new();
    let mut claims: Vec<(Version, &OrderTarget, &ModelName)> = Vec::new();
    for target in targets {
        for model in weights.keys() {
            let newest = named.get(model).copied().unwrap_or(0);
            let present = target.models.get(model).copied().unwrap_or(0);
            let behind = newest.saturating_sub(present);
            claims.push((behind, target, model));
        }
    }
    claims.sort_by(|left, right| {
        (left.0, &left.1.backend, left.2).cmp(&(right.0, &right.1.backend, right.2))
    });
    for (_, target, model) in claims {
        let free = room.get_mut(model).filter(|free| **free > 0);
        if let (Some(free), false) = (free, homes.contains_key(&target.backend)) {
            *free -= 1;
            homes.insert(target.backend.clone(), model.clone());
        }
    }
    homes
}

/// Splits `count` back ends by weight: one each first, the rest by the largest quotient.
fn shares(count: usize, weights: &BTreeMap<ModelName, f64>) -> BTreeMap<ModelName, usize> {
    let mut room: BTreeMap<ModelName, usize> = weights.keys().map(|m| (m.clone(), 0)).collect();
    for _ in 0..count {
        let next = weights.iter().max_by(|left, right| {
            let quotient = |model: &ModelName, weight: f64| weight / (room[model] as f64 + 0.5);
            let order = quotient(left.0, *left.1).total_cmp(&quotient(right.0, *right.1));
            order.then_with(|| right.0.cmp(left.0))
        });
        if let Some((model, _)) = next {
            let model = model.clone();
            *room.entry(model).or_default() += 1;
        }
    }
    room
}
