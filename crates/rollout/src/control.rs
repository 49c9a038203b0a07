//! The state that every node builds from the control stream: which batches there are and which node runs each,
//! which node may give orders to back ends, and which orders are pending. An order tells a back end to load
//! a version of a model.
//!
//! One node holds the order lease and gives the orders. It appends each order to the log before it sends it, so
//! that its successor knows the latest time at which the back end can have received one.

use std::collections::BTreeMap;

use crate::Millis;
use crate::batch_index::BatchIndex;
use crate::checkpoint::{ControlCheckpoint, FORMAT_VERSION, OrderTime};
use crate::control_record::ControlRecord;
use crate::crash_ledger::CrashLedger;
use crate::fleet_size::FleetSize;
use crate::ids::{BackendId, MachineName, ModelName, NodeId, Version};
use crate::last_orders::{LastOrder, LastOrders};
use crate::lease::LeaseState;
use crate::peer_addresses::PeerAddresses;
use crate::reachable_machines::ReachableMachines;
use crate::sizing::OrderedSizes;
use crate::usage::UsageLedger;

/// A pending order: the log holds neither its result nor its withdrawal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingOrder {
    /// The model whose weights are to be loaded.
    pub model: ModelName,
    /// The version to load.
    pub version: Version,
    /// When this node read the order, on this node's clock.
    pub since: Millis,
}

/// A version that a back end was observed to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedVersion {
    /// The back end that was polled.
    pub backend: BackendId,
    /// The model that the back end serves.
    pub model: ModelName,
    /// The version that the back end has loaded.
    pub version: Version,
}

/// The fold over the records of the control stream.
#[derive(Debug)]
pub struct ControlState {
    own_machine: MachineName,
    /// Machines on which a node has started, as far as these nodes wrote a record of it.
    fleet: FleetSize,
    index: BatchIndex,
    /// The node that runs the batches of each route, by the name of the route.
    serving: BTreeMap<String, RouteServer>,
    /// The order lease.
    lease: LeaseState,
    pending: BTreeMap<BackendId, PendingOrder>,
    /// Newest version of each model that each back end was observed to serve. A back end id stands for one
    /// incarnation, in which versions only rise.
    newest: BTreeMap<(BackendId, ModelName), Version>,
    /// New entries of `newest` that [`Self::take_observed`] has not returned yet.
    observed: Vec<ObservedVersion>,
    last_orders: LastOrders,
    /// Lower bound of the time that has passed between the first and the newest record, in milliseconds: the sum
    /// of the times between heartbeats of lease holders.
    log_time: Millis,
    crashes: CrashLedger,
    usage: UsageLedger,
    sizes: OrderedSizes,
    peers: PeerAddresses,
    reachable: ReachableMachines,
}

/// The node that last reported that it runs batches of a route.
#[derive(Debug, Clone)]
struct RouteServer {
    node: NodeId,
    last_seen: Millis,
}

impl ControlState {
    /// Creates the state before the first record, for a node on machine `own_machine`.
    pub fn new(own_machine: MachineName) -> Self {
        Self {
            crashes: CrashLedger::new(),
            own_machine,
            fleet: FleetSize::default(),
            index: BatchIndex::default(),
            serving: BTreeMap::new(),
            lease: LeaseState::default(),
            pending: BTreeMap::new(),
            newest: BTreeMap::new(),
            observed: Vec::new(),
            last_orders: LastOrders::default(),
            log_time: 0,
            usage: UsageLedger::default(),
            sizes: OrderedSizes::new(),
            peers: PeerAddresses::default(),
            reachable: ReachableMachines::default(),
        }
    }

    /// Creates a checkpoint of the state up to offset `next`, without the times at which this node read the
    /// records.
    pub fn checkpoint(&self, next: u64) -> ControlCheckpoint {
        let pending = self.pending.iter();
        let last_orders = self.last_orders.all().map(|(backend, order)| OrderTime {
            backend: backend.clone(),
            machine: order.machine.clone(),
            log_time: order.log_time.unwrap_or(self.log_time),
        });
        let without_heartbeat = self.last_orders.all();
        let without_heartbeat = without_heartbeat.filter(|(_, order)| order.log_time.is_none());
        ControlCheckpoint {
            next,
            machines: self.fleet.machines().clone(),
            batches: self.index.checkpoint(),
            term: self.lease.term(),
            holder: self.lease.holder().cloned(),
            pending: pending
                .map(|(backend, order)| (backend.clone(), (order.model.clone(), order.version)))
                .collect(),
            last_orders: last_orders.collect(),
            log_time: self.log_time,
            form: FORMAT_VERSION,
            unsigned_orders: without_heartbeat
                .map(|(backend, order)| (backend.clone(), order.machine.clone()))
                .collect(),
            newest: self.newest.clone(),
            found: self.index.found(),
            crashes: self.crashes.checkpoint(),
            usage: self.usage.decided().to_vec(),
            sizes: self.sizes.clone(),
            peers: self.peers.checkpoint(),
            reachable: self.reachable.checkpoint(),
            trials: self.crashes.trial_checkpoint(),
        }
    }

    /// Restores the state from a checkpoint, for a node on machine `own_machine`. All records count as read at
    /// `now`.
    pub fn restored(own_machine: MachineName, checkpoint: ControlCheckpoint, now: Millis) -> Self {
        let mut state = Self::new(own_machine);
        for machine in checkpoint.machines {
            state.fleet.record_announcement(machine);
        }
        state.index = BatchIndex::restored(checkpoint.batches, &checkpoint.found, now);
        state.lease = LeaseState::restored(checkpoint.term, checkpoint.holder, now);
        state.log_time = checkpoint.log_time;
        state.newest = checkpoint.newest;
        state.crashes = CrashLedger::restored(checkpoint.crashes, checkpoint.trials, now);
        state.usage = UsageLedger::restored(checkpoint.usage);
        state.sizes = checkpoint.sizes;
        state.peers = PeerAddresses::restored(checkpoint.peers, now);
        state.reachable = ReachableMachines::restored(checkpoint.reachable);
        for (backend, (model, version)) in checkpoint.pending {
            let order = PendingOrder {
                model,
                version,
                since: now,
            };
            state.pending.insert(backend, order);
        }
        for order in checkpoint.last_orders {
            let key = (order.backend, order.machine);
            let has_heartbeat = !checkpoint.unsigned_orders.contains(&key);
            let (backend, machine) = key;
            let last = LastOrder {
                machine,
                read_at: now,
                log_time: has_heartbeat.then_some(order.log_time),
            };
            state.last_orders.record_order(&backend, last);
        }
        state
    }

    /// Applies the next record of the stream, read at `now` on this node's clock.
    pub fn apply(&mut self, record: ControlRecord, now: Millis) {
        match record {
            ControlRecord::Joined { machine } => self.fleet.record_announcement(machine),
            ControlRecord::Heartbeat {
                node,
                routes,
                batches,
            } => {
                self.index.record_heartbeat(&node, &batches, now);
                self.peers.record_heartbeat(&node, now);
                for route in routes {
                    let server = RouteServer {
                        node: node.clone(),
                        last_seen: now,
                    };
                    self.serving.insert(route, server);
                }
            }
            ControlRecord::BatchAccepted(notice) => self.index.add(notice, now),
            ControlRecord::BatchesReleased { node, batches } => {
                self.index.release(&node, &batches, now)
            }
            ControlRecord::BatchClosed { batch } => self.index.close(&batch, now),
            ControlRecord::LeaseClaimed { term, holder } => {
                self.lease.claim(term, holder, now);
            }
            ControlRecord::LeaseKept {
                term,
                holder,
                after_ms,
            } => {
                if self.lease.renew(term, &holder, now) {
                    self.log_time += after_ms;
                    self.last_orders.record_heartbeat(self.log_time);
                }
            }
            ControlRecord::LeaseReleased { term } => {
                self.lease.release(term, now);
            }
            ControlRecord::Ordered {
                holder,
                backend,
                model,
                version,
            } => {
                // A delayed duplicate counts here too: it only lengthens the wait of other lease holders, which
                // is safe.
                let last = LastOrder {
                    machine: holder.machine,
                    read_at: now,
                    log_time: None,
                };
                self.last_orders.record_order(&backend, last);
                let order = PendingOrder {
                    model,
                    version,
                    since: now,
                };
                self.apply_order(backend, order);
            }
            ControlRecord::Observed {
                backend,
                model,
                version,
            } => self.apply_observation(backend, model, version),
            ControlRecord::Withdrawn { backend } => {
                self.pending.remove(&backend);
            }
            ControlRecord::BackendEnded { request, ended } => {
                self.crashes.record_end(request, ended, now);
            }
            ControlRecord::RequestCleared { request } => {
                self.crashes.clear(&request);
            }
            ControlRecord::BackendLives { backend } => {
                self.crashes.retract_ends_at(&backend);
            }
            ControlRecord::UsageDecided { window, counts } => self.usage.decide(window, counts),
            ControlRecord::SizeOrdered { pool, zone, size } => {
                self.sizes.entry(pool).or_default().insert(zone, size);
            }
            ControlRecord::UsageSettled { window } => self.usage.settle(window),
            ControlRecord::PeerListens { node, address } => {
                self.peers.record_address(node, address, now)
            }
            ControlRecord::Reachable { machine, address } => {
                self.reachable.record_address(machine, address);
            }
            ControlRecord::TrialClaimed {
                request,
                number,
                node,
            } => {
                self.crashes.record_trial_claim(&request, number, node, now);
            }
        }
    }

    /// Marks an order as pending, unless its record is a delayed duplicate: then the back end was already
    /// observed with this version or a newer one, or an order for a newer version is pending.
    fn apply_order(&mut self, backend: BackendId, order: PendingOrder) {
        let key = (backend, order.model.clone());
        let newest = self.newest.get(&key);
        let is_done = newest.is_some_and(|newest| *newest >= order.version);
        let (backend, _) = key;
        let pending = self.pending.get(&backend);
        let is_replaced = pending
            .is_some_and(|newer| newer.model == order.model && newer.version > order.version);
        if !is_done && !is_replaced {
            self.pending.insert(backend, order);
        }
    }

    /// Records the version that a back end was observed to serve, and that the pending order for its model is
    /// done. A version that is not newer than those observed before may come from a delayed duplicate and
    /// changes nothing; an order that the back end did not carry out ends with [`ControlRecord::Withdrawn`].
    fn apply_observation(&mut self, backend: BackendId, model: ModelName, version: Version) {
        let key = (backend, model);
        let newest = self.newest.get(&key);
        if newest.is_some_and(|newest| *newest >= version) {
            return;
        }
        self.newest.insert(key.clone(), version);
        let (backend, model) = key;
        let is_for_model = |order: &PendingOrder| order.model == model;
        if self.pending.get(&backend).is_some_and(is_for_model) {
            self.pending.remove(&backend);
        }
        self.observed.push(ObservedVersion {
            backend,
            model,
            version,
        });
    }

    /// The index of all batches.
    pub fn index(&self) -> &BatchIndex {
        &self.index
    }

    /// Addresses at which nodes that run batches accept requests of other nodes.
    pub fn peers(&self) -> &PeerAddresses {
        &self.peers
    }

    /// Removes closed batches first seen before `before`, and addresses of nodes without a heartbeat since then.
    pub fn forget_batches_before(&mut self, before: Millis) {
        self.index.forget_before(before);
        self.peers.forget_before(before);
    }

    /// Requests during which back ends ended.
    pub fn crashes(&self) -> &CrashLedger {
        &self.crashes
    }

    /// The same, to add what this node observed itself and has not written to the log yet.
    pub fn crashes_mut(&mut self) -> &mut CrashLedger {
        &mut self.crashes
    }

    /// Time windows whose usage to report has been fixed.
    pub fn usage(&self) -> &UsageLedger {
        &self.usage
    }

    /// The last ordered size of each pool in each zone.
    pub fn sizes(&self) -> &OrderedSizes {
        &self.sizes
    }

    /// Addresses at which other machines receive datagrams.
    pub fn reachable(&self) -> &ReachableMachines {
        &self.reachable
    }

    /// Number of machines that wrote a record that a node started there.
    pub fn machine_count(&self) -> usize {
        self.fleet.machines().len()
    }

    /// Estimate of the number of machines, and which machines are to write that they joined.
    pub fn fleet(&self) -> &FleetSize {
        &self.fleet
    }

    /// Returns the node that runs batches of a route; `None` if its last heartbeat for the route was read before
    /// `since`.
    pub fn serving(&self, route: &str, since: Millis) -> Option<&NodeId> {
        let server = self.serving.get(route)?;
        (server.last_seen >= since).then_some(&server.node)
    }

    /// The order lease, whose holder gives orders to back ends.
    pub fn lease(&self) -> &LeaseState {
        &self.lease
    }

    /// Returns the versions that were newly observed since the last call.
    pub fn take_observed(&mut self) -> Vec<ObservedVersion> {
        std::mem::take(&mut self.observed)
    }

    /// Returns the pending order of a back end.
    pub fn pending(&self, backend: &BackendId) -> Option<&PendingOrder> {
        self.pending.get(backend)
    }

    /// Iterates over the back ends with a pending order.
    pub fn all_pending(&self) -> impl Iterator<Item = (&BackendId, &PendingOrder)> {
        self.pending.iter()
    }

    /// Returns a lower bound of the time since another machine last gave a back end an order, in milliseconds;
    /// `None` if no other machine did.
    ///
    /// A node that has just started reads old orders only now, but the heartbeats of the lease holder after an
    /// order show its minimum age. The first heartbeat after the order adds nothing, since part of the time that
    /// it covers may have passed before the order. Each further heartbeat adds the time since the previous one.
    pub fn ms_since_order_by_other_machine(
        &self,
        backend: &BackendId,
        now: Millis,
    ) -> Option<Millis> {
        let last = self
            .last_orders
            .by_other_machine(backend, &self.own_machine)?;
        let by_own_clock = now.saturating_sub(last.read_at);
        let by_log_time = last
            .log_time
            .map_or(0, |heartbeat| self.log_time - heartbeat);
        Some(by_own_clock.max(by_log_time))
    }

    /// Excludes a suspension of this machine, in milliseconds, from [`Self::ms_since_order_by_other_machine`]. This
    /// machine's clock includes the suspension, so every later `now` is ahead by it. The wait after orders of other
    /// machines must not be shortened: only time in which this machine ran, or that heartbeats in the log cover, has
    /// certainly passed for all nodes.
    pub fn exclude_suspended_time(&mut self, suspended_ms: Millis) {
        self.last_orders.shift_read_times(suspended_ms);
    }

    /// Removes the orders and observed versions of back ends for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&BackendId) -> bool) {
        self.pending.retain(|backend, _| keep(backend));
        self.newest.retain(|(backend, _), _| keep(backend));
        self.last_orders.retain(keep);
    }
}
