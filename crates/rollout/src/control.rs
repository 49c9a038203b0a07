//! The stream that every node reads: which batches there are and who runs them, who gives orders to
//! back ends, and which orders are under way.
//!
//! One node holds the lease for orders. It writes an order down before it gives it, so that its
//! successor knows when the last one can have been given.

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

/// What the control stream tells.
#[derive(Debug)]
pub struct ControlState {
    own_machine: MachineName,
    /// Machines on which a node ever started, as far as they announced themselves.
    fleet: FleetSize,
    index: BatchIndex,
    serving: BTreeMap<String, Serving>,
    lease: LeaseState,
    pending: BTreeMap<BackendId, PendingOrder>,
    /// Newest version of each model that each back end was seen to have. Within a life of a back end,
    /// which its id stands for, versions only rise.
    newest: BTreeMap<(BackendId, ModelName), Version>,
    /// New entries of `newest` that were not taken yet.
    observed: Vec<ObservedVersion>,
    last_orders: LastOrders,
    /// Time that has certainly passed between the first record and the newest.
    log_time: Millis,
    crashes: CrashLedger,
    usage: UsageLedger,
    sizes: OrderedSizes,
    peers: PeerAddresses,
    reachable: ReachableMachines,
}

/// The node that last told that it runs batches of a route.
#[derive(Debug, Clone)]
struct Serving {
    node: NodeId,
    seen: Millis,
}

impl ControlState {
    /// No orders yet, as the machine `own_machine` sees it.
    pub fn new(own_machine: MachineName) -> Self {
        Self {
            crashes: CrashLedger::new(own_machine.clone()),
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

    /// The state up to `next`, without the times at which this node saw it.
    pub fn checkpoint(&self, next: u64) -> ControlCheckpoint {
        let pending = self.pending.iter();
        let last_orders = self.last_orders.all().map(|(backend, order)| OrderTime {
            backend: backend.clone(),
            machine: order.machine.clone(),
            log_time: order.log_time.unwrap_or(self.log_time),
        });
        let unsigned = self.last_orders.all();
        let unsigned = unsigned.filter(|(_, order)| order.log_time.is_none());
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
            unsigned_orders: unsigned
                .map(|(backend, order)| (backend.clone(), order.machine.clone()))
                .collect(),
            newest: self.newest.clone(),
            found: self.index.found(),
            crashes: self.crashes.checkpoint(),
            usage: self.usage.decided().to_vec(),
            sizes: self.sizes.clone(),
            peers: self.peers.checkpoint(),
            reachable: self.reachable.checkpoint(),
        }
    }

    /// The state that a checkpoint tells of, seen now by the machine `own_machine`.
    pub fn restored(own_machine: MachineName, checkpoint: ControlCheckpoint, now: Millis) -> Self {
        let mut state = Self::new(own_machine);
        for machine in checkpoint.machines {
            state.fleet.record_announcement(machine);
        }
        state.index = BatchIndex::restored(checkpoint.batches, &checkpoint.found, now);
        state.lease = LeaseState::restored(checkpoint.term, checkpoint.holder, now);
        state.log_time = checkpoint.log_time;
        state.newest = checkpoint.newest;
        state.crashes = CrashLedger::restored(state.own_machine.clone(), checkpoint.crashes, now);
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
            let is_signed = !checkpoint.unsigned_orders.contains(&key);
            let (backend, machine) = key;
            let last = LastOrder {
                machine,
                read_at: now,
                log_time: is_signed.then_some(order.log_time),
            };
            state.last_orders.given(&backend, last);
        }
        state
    }

    /// Takes the next record.
    pub fn apply(&mut self, record: ControlRecord, now: Millis) {
        match record {
            ControlRecord::Joined { machine } => self.fleet.record_announcement(machine),
            ControlRecord::Heartbeat {
                node,
                routes,
                batches,
            } => {
                self.index.held(&node, &batches, now);
                self.peers.record_heartbeat(&node, now);
                for route in routes {
                    let serving = Serving {
                        node: node.clone(),
                        seen: now,
                    };
                    self.serving.insert(route, serving);
                }
            }
            ControlRecord::BatchAccepted(notice) => self.index.accepted(notice, now),
            ControlRecord::BatchesReleased { node, batches } => {
                self.index.released(&node, &batches, now)
            }
            ControlRecord::BatchClosed { batch } => self.index.closed(&batch, now),
            ControlRecord::LeaseClaimed { term, holder } => {
                self.lease.claim(term, holder, now);
            }
            ControlRecord::LeaseKept {
                term,
                holder,
                after_ms,
            } => {
                if self.lease.keep(term, &holder, now) {
                    self.log_time += after_ms;
                    self.last_orders.signed(self.log_time);
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
                // A late copy counts here too: too long a wait breaks no rule.
                let given = LastOrder {
                    machine: holder.machine,
                    read_at: now,
                    log_time: None,
                };
                self.last_orders.given(&backend, given);
                let order = PendingOrder {
                    model,
                    version,
                    since: now,
                };
                self.ordered(backend, order);
            }
            ControlRecord::Observed {
                backend,
                model,
                version,
            } => self.observed(backend, model, version),
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
        }
    }

    /// An order is under way unless its record is a late copy: then the back end was seen with its
    /// version, or a newer order is under way.
    fn ordered(&mut self, backend: BackendId, order: PendingOrder) {
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

    /// A back end was seen to have a version. One that is not newer than those seen before may be a late
    /// copy and changes nothing: an order that was not taken is withdrawn.
    fn observed(&mut self, backend: BackendId, model: ModelName, version: Version) {
        let key = (backend, model);
        let newest = self.newest.get(&key);
        if newest.is_some_and(|newest| *newest >= version) {
            return;
        }
        self.newest.insert(key.clone(), version);
        let (backend, model) = key;
        let is_about_it = |order: &PendingOrder| order.model == model;
        if self.pending.get(&backend).is_some_and(is_about_it) {
            self.pending.remove(&backend);
        }
        self.observed.push(ObservedVersion {
            backend,
            model,
            version,
        });
    }

    /// The batches there are.
    pub fn index(&self) -> &BatchIndex {
        &self.index
    }

    /// Addresses at which nodes that run batches answer others.
    pub fn peers(&self) -> &PeerAddresses {
        &self.peers
    }

    /// Forgets batches first heard of before `before`, and addresses of nodes not heard of since.
    pub fn forget_batches_before(&mut self, before: Millis) {
        self.index.forget_before(before);
        self.peers.forget_before(before);
    }

    /// Requests under which back ends ended.
    pub fn crashes(&self) -> &CrashLedger {
        &self.crashes
    }

    /// The same, for what this node saw itself and has yet to tell the others.
    pub fn crashes_mut(&mut self) -> &mut CrashLedger {
        &mut self.crashes
    }

    /// Windows of usage that were decided.
    pub fn usage(&self) -> &UsageLedger {
        &self.usage
    }

    /// Sizes that were ordered last.
    pub fn sizes(&self) -> &OrderedSizes {
        &self.sizes
    }

    /// Where other machines can be reached.
    pub fn reachable(&self) -> &ReachableMachines {
        &self.reachable
    }

    /// Machines that announced themselves.
    pub fn machine_count(&self) -> usize {
        self.fleet.machines().len()
    }

    /// How many machines there are, and which announcements are wanted.
    pub fn fleet(&self) -> &FleetSize {
        &self.fleet
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

    /// Versions that were newly observed since the last call.
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
    /// them tell how old they are at least: the first one only that it is younger, each further one by
    /// the time since the one before.
    pub fn ms_since_order_by_other_machine(
        &self,
        backend: &BackendId,
        now: Millis,
    ) -> Option<Millis> {
        let seen = self.last_orders.of_another(backend, &self.own_machine)?;
        let by_own_clock = now.saturating_sub(seen.read_at);
        let by_the_log = seen.log_time.map_or(0, |signed| self.log_time - signed);
        Some(by_own_clock.max(by_the_log))
    }

    /// This machine was suspended for so long, which its clock counts in all that is told here as now. What is owed to
    /// other machines' orders is waited for all the same: only time in which this machine ran, or that the log tells of,
    /// has certainly passed for everybody.
    pub fn exclude_suspended_time(&mut self, suspended_ms: Millis) {
        self.last_orders.clock_leapt(suspended_ms);
    }

    /// Forgets back ends that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&BackendId) -> bool) {
        self.pending.retain(|backend, _| keep(backend));
        self.newest.retain(|(backend, _), _| keep(backend));
        self.last_orders.retain(keep);
    }
}
