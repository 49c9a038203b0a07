//! Rolling out named versions: which back end is ordered to load which version next.
//!
//! One node holds the lease for orders. It writes an order down before it gives it, so that its
//! successor knows when the last one can have been given.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Millis;
use crate::ids::{BackendId, MachineName, ModelName, NodeId, Version};
use crate::lease::{LeaseState, Term};

/// A record of the stream of orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderRecord {
    /// A node claims the lease; the term is its fencing token.
    Claimed {
        /// The claimed term; counts only if it follows the current one.
        term: Term,
        /// The new holder.
        holder: NodeId,
    },
    /// The holder is alive.
    Kept {
        /// The holder's term.
        term: Term,
    },
    /// The holder gives the lease up.
    Released {
        /// The holder's term.
        term: Term,
    },
    /// An order is about to be given.
    Ordered {
        /// Who gives it.
        holder: NodeId,
        /// The back end.
        backend: BackendId,
        /// The model.
        model: ModelName,
        /// The version to load.
        version: Version,
    },
    /// The back end was seen to have the version.
    Loaded {
        /// The back end.
        backend: BackendId,
        /// The model.
        model: ModelName,
        /// The version it has.
        version: Version,
    },
}

/// A record that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("not a record of orders: {0}")]
pub struct UnreadableOrder(postcard::Error);

impl OrderRecord {
    /// The bytes kept in the log.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a record holds only plain data")
    }

    /// Reads the bytes of the log.
    pub fn decode(bytes: &[u8]) -> Result<Self, UnreadableOrder> {
        postcard::from_bytes(bytes).map_err(UnreadableOrder)
    }
}

/// An order of which nothing was heard yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingOrder {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: Version,
    /// When it was first seen in the log.
    pub since: Millis,
}

/// What the stream of orders tells.
#[derive(Debug)]
pub struct OrderState {
    own_machine: MachineName,
    lease: LeaseState,
    pending: BTreeMap<BackendId, PendingOrder>,
    loaded: BTreeMap<(BackendId, ModelName), Version>,
    last_by_other: Option<Millis>,
}

impl OrderState {
    /// No orders yet, as the machine `own_machine` sees it.
    pub fn new(own_machine: MachineName) -> Self {
        Self {
            own_machine,
            lease: LeaseState::default(),
            pending: BTreeMap::new(),
            loaded: BTreeMap::new(),
            last_by_other: None,
        }
    }

    /// Takes the next record.
    pub fn apply(&mut self, record: OrderRecord, now: Millis) {
        match record {
            OrderRecord::Claimed { term, holder } => {
                self.lease.claim(term, holder, now);
            }
            OrderRecord::Kept { term } => {
                self.lease.keep(term, now);
            }
            OrderRecord::Released { term } => {
                self.lease.release(term, now);
            }
            OrderRecord::Ordered {
                holder,
                backend,
                model,
                version,
            } => {
                if holder.machine != self.own_machine {
                    self.last_by_other = Some(now);
                }
                self.pending.insert(
                    backend,
                    PendingOrder {
                        model,
                        version,
                        since: now,
                    },
                );
            }
            OrderRecord::Loaded {
                backend,
                model,
                version,
            } => {
                self.loaded_by(&backend, model, version);
            }
        }
    }

    /// Who gives orders.
    pub fn lease(&self) -> &LeaseState {
        &self.lease
    }

    fn loaded_by(&mut self, backend: &BackendId, model: ModelName, version: Version) {
        let done = self
            .pending
            .get(backend)
            .is_some_and(|order| order.model == model && order.version <= version);
        if done {
            self.pending.remove(backend);
        }
        let known = self
            .loaded
            .entry((backend.clone(), model))
            .or_insert(version);
        *known = (*known).max(version);
    }

    /// The order a back end is carrying out.
    pub fn pending(&self, backend: &BackendId) -> Option<&PendingOrder> {
        self.pending.get(backend)
    }

    /// Back ends that are carrying out an order.
    pub fn all_pending(&self) -> impl Iterator<Item = (&BackendId, &PendingOrder)> {
        self.pending.iter()
    }

    /// Newest version of a model that a back end was seen to have.
    pub fn loaded(&self, backend: &BackendId, model: &ModelName) -> Option<Version> {
        self.loaded.get(&(backend.clone(), model.clone())).copied()
    }

    /// When the last order of another machine was seen.
    pub fn last_by_other(&self) -> Option<Millis> {
        self.last_by_other
    }

    /// Forgets back ends that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&BackendId) -> bool) {
        self.pending.retain(|backend, _| keep(backend));
        self.loaded.retain(|(backend, _), _| keep(backend));
    }
}

/// A back end as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderTarget {
    /// The back end.
    pub backend: BackendId,
    /// Versions it has.
    pub models: BTreeMap<ModelName, Version>,
    /// Items running there, of all nodes.
    pub running: u32,
    /// Whether an order is under way there.
    pub loading: bool,
    /// Whether it is avoided after failures.
    pub avoided: bool,
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

/// The next orders: at most `at_once` loads are under way together, and a model's oldest back ends
/// come first, those with the least work before others.
pub fn plan_orders(
    targets: &[OrderTarget],
    named: &BTreeMap<ModelName, Version>,
    homes: &BTreeMap<BackendId, ModelName>,
    at_once: usize,
) -> Vec<PlannedOrder> {
    let loading = targets.iter().filter(|target| target.loading).count();
    let mut wanted: Vec<(Version, u32, PlannedOrder)> = Vec::new();
    for target in targets
        .iter()
        .filter(|target| !target.loading && !target.avoided)
    {
        let Some(model) = homes.get(&target.backend) else {
            continue;
        };
        let Some(version) = named.get(model) else {
            continue;
        };
        let has = target.models.get(model).copied().unwrap_or(0);
        if has < *version {
            let order = PlannedOrder {
                backend: target.backend.clone(),
                model: model.clone(),
                version: *version,
            };
            wanted.push((has, target.running, order));
        }
    }
    wanted.sort_by(|left, right| {
        (left.0, left.1, &left.2.backend).cmp(&(right.0, right.1, &right.2.backend))
    });
    wanted
        .into_iter()
        .map(|(_, _, order)| order)
        .take(at_once.saturating_sub(loading))
        .collect()
}

/// Which model each back end is kept up to date for. Back ends keep the model they have the newest
/// version of; each model gets a share of back ends by its weight, at least one.
pub fn assign_homes(
    targets: &[OrderTarget],
    weights: &BTreeMap<ModelName, f64>,
    named: &BTreeMap<ModelName, Version>,
) -> BTreeMap<BackendId, ModelName> {
    let mut room = shares(targets.len(), weights);
    let mut homes = BTreeMap::new();
    let mut claims: Vec<(Version, &OrderTarget, &ModelName)> = Vec::new();
    for target in targets {
        for model in weights.keys() {
            let behind = named.get(model).copied().unwrap_or(0)
                - target
                    .models
                    .get(model)
                    .copied()
                    .unwrap_or(0)
                    .min(named.get(model).copied().unwrap_or(0));
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
