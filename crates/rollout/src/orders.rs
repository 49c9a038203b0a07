//! Rolling out named versions: which back end is ordered to load which version next.
//!
//! One node holds the lease for orders. It writes an order down before it gives it, so that its
//! successor knows when the last one can have been given.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Millis;
use crate::ids::{BackendId, MachineName, ModelName, NodeId, Version};
use crate::lease::{LeaseState, Term};

/// A record of the stream of orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderRecord {
    /// A node started on a machine.
    Joined {
        /// The machine.
        machine: MachineName,
    },
    /// A node runs batches of some routes; it has connections to their back ends.
    Serves {
        /// The node.
        node: NodeId,
        /// Names of the routes.
        routes: Vec<String>,
    },
    /// A node claims the lease; the term is its fencing token.
    Claimed {
        /// The claimed term; counts only if it is higher than the current one.
        term: Term,
        /// The new holder.
        holder: NodeId,
    },
    /// The holder is alive.
    Kept {
        /// The holder's term.
        term: Term,
        /// The holder.
        holder: NodeId,
        /// Milliseconds since the holder sent its last sign of life; 0 at the first.
        after_ms: Millis,
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
    /// The back end was asked: it carries out no order, and has this version.
    Observed {
        /// The back end.
        backend: BackendId,
        /// The model.
        model: ModelName,
        /// The version it has.
        version: Version,
    },
    /// Nothing more is expected of the order that the back end was given.
    Withdrawn {
        /// The back end.
        backend: BackendId,
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

/// A version that a back end was seen to have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedVersion {
    /// The back end.
    pub backend: BackendId,
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: Version,
}

/// What the stream of orders tells.
#[derive(Debug)]
pub struct OrderState {
    own_machine: MachineName,
    machines: BTreeSet<MachineName>,
    serving: BTreeMap<String, Serving>,
    lease: LeaseState,
    pending: BTreeMap<BackendId, PendingOrder>,
    observed: Vec<ObservedVersion>,
    last_by_other: BTreeMap<BackendId, SeenOrder>,
    /// Time that has certainly passed between the first record and the newest.
    log_time: Millis,
}

/// The node that last told that it runs batches of a route.
#[derive(Debug, Clone)]
struct Serving {
    node: NodeId,
    seen: Millis,
}

/// When an order was seen, on two clocks.
#[derive(Debug, Clone, Copy)]
struct SeenOrder {
    read_at: Millis,
    log_time: Millis,
}

impl OrderState {
    /// No orders yet, as the machine `own_machine` sees it.
    pub fn new(own_machine: MachineName) -> Self {
        Self {
            own_machine,
            machines: BTreeSet::new(),
            serving: BTreeMap::new(),
            lease: LeaseState::default(),
            pending: BTreeMap::new(),
            observed: Vec::new(),
            last_by_other: BTreeMap::new(),
            log_time: 0,
        }
    }

    /// Takes the next record.
    pub fn apply(&mut self, record: OrderRecord, now: Millis) {
        match record {
            OrderRecord::Joined { machine } => {
                self.machines.insert(machine);
            }
            OrderRecord::Serves { node, routes } => {
                for route in routes {
                    let serving = Serving {
                        node: node.clone(),
                        seen: now,
                    };
                    self.serving.insert(route, serving);
                }
            }
            OrderRecord::Claimed { term, holder } => {
                self.lease.claim(term, holder, now);
            }
            OrderRecord::Kept {
                term,
                holder,
                after_ms,
            } => {
                if self.lease.keep(term, &holder, now) {
                    self.log_time += after_ms;
                }
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
                    let seen = SeenOrder {
                        read_at: now,
                        log_time: self.log_time,
                    };
                    self.last_by_other.insert(backend.clone(), seen);
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
            OrderRecord::Observed {
                backend,
                model,
                version,
            } => {
                self.pending.remove(&backend);
                self.observed.push(ObservedVersion {
                    backend,
                    model,
                    version,
                });
            }
            OrderRecord::Withdrawn { backend } => {
                self.pending.remove(&backend);
            }
        }
    }

    /// Machines that ever had a node.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// The node that runs batches of a route, if it said so since `since`.
    pub fn serving(&self, route: &str, since: Millis) -> Option<&NodeId> {
        let serving = self.serving.get(route)?;
        (serving.seen >= since).then_some(&serving.node)
    }

    /// Who gives orders.
    pub fn lease(&self) -> &LeaseState {
        &self.lease
    }

    /// Versions that were observed since the last call.
    pub fn take_observed(&mut self) -> Vec<ObservedVersion> {
        std::mem::take(&mut self.observed)
    }

    /// The order a back end is carrying out.
    pub fn pending(&self, backend: &BackendId) -> Option<&PendingOrder> {
        self.pending.get(backend)
    }

    /// Back ends that are carrying out an order.
    pub fn all_pending(&self) -> impl Iterator<Item = (&BackendId, &PendingOrder)> {
        self.pending.iter()
    }

    /// Time that has certainly passed since another machine gave a back end an order; `None` if none
    /// did. A reader that has just started reads old orders only now, but the signs of life behind
    /// them tell how old they are at least.
    pub fn quiet_ms(&self, backend: &BackendId, now: Millis) -> Option<Millis> {
        let seen = self.last_by_other.get(backend)?;
        let by_own_clock = now.saturating_sub(seen.read_at);
        Some(by_own_clock.max(self.log_time - seen.log_time))
    }

    /// Forgets back ends that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&BackendId) -> bool) {
        self.pending.retain(|backend, _| keep(backend));
        self.last_by_other.retain(|backend, _| keep(backend));
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

/// What is asked of a model's back ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionDemand {
    /// The newest named version.
    pub named: Version,
    /// How many versions behind the newest one the work at hand may be.
    pub allowed_age: u64,
}

/// The next orders: at most `at_once` loads are under way together.
///
/// Back ends that are too old for the work at hand come first: they run nothing anyway. Of the
/// others only so many load that the next version finds a share of them new enough; where the work
/// may be one version old, that is every second one, so that each loads every second version and
/// half of them serve without a pause.
pub fn plan_orders(
    targets: &[OrderTarget],
    demand: &BTreeMap<ModelName, VersionDemand>,
    homes: &BTreeMap<BackendId, ModelName>,
    at_once: usize,
) -> Vec<PlannedOrder> {
    let loading = targets.iter().filter(|target| target.loading).count();
    let mut wanted = Vec::new();
    for (model, demand) in demand {
        let at_home: Vec<&OrderTarget> = targets
            .iter()
            .filter(|target| homes.get(&target.backend) == Some(model))
            .collect();
        wanted.extend(wanted_loads(&at_home, model, *demand));
    }
    wanted.sort_by_key(|load| (!load.is_too_old, load.running));
    let free = at_once.saturating_sub(loading);
    wanted
        .into_iter()
        .map(|load| load.order)
        .take(free)
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
    let oldest = demand.named.saturating_sub(demand.allowed_age);
    let share = at_home.len().div_ceil(demand.allowed_age as usize + 1);
    let current = at_home
        .iter()
        .filter(|t| t.loading || has(t) >= demand.named)
        .count();
    let mut behind: Vec<&&OrderTarget> = at_home
        .iter()
        .filter(|t| !t.loading && !t.avoided && has(t) < demand.named)
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
