//! The last orders that each back end was given, with their times and the machines that gave them.

use std::collections::BTreeMap;

use crate::Millis;
use crate::ids::{BackendId, MachineName};

/// Machines whose last order is stored for each back end. With two, there is always an order of a machine other
/// than the one that asks, if another machine gave one.
const MAX_MACHINES_PER_BACKEND: usize = 2;

/// The last order that a machine gave a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastOrder {
    /// The machine of the lease holder that gave the order.
    pub machine: MachineName,
    /// When this node read the order, on its own clock, plus the time for which its machine was suspended since
    /// then.
    pub read_at: Millis,
    /// Log time at the first heartbeat of a lease holder after the order; `None` until there is one. The log time
    /// is the sum of the times between heartbeats. The time between two heartbeats has certainly passed since the
    /// order only if the order precedes both.
    pub log_time: Option<Millis>,
}

/// Removes the start time from a back end id, so that orders to all incarnations of a back end count together: the
/// minimum time between orders of two lease holders also holds if the back end restarts in between.
fn without_start_time(backend: &BackendId) -> BackendId {
    BackendId::from(backend.name())
}

/// For each back end, the last orders of the two machines that most recently gave it one, newest first.
#[derive(Debug, Default)]
pub struct LastOrders {
    by_backend: BTreeMap<BackendId, Vec<LastOrder>>,
}

impl LastOrders {
    /// Records that a back end was given an order.
    pub fn record_order(&mut self, backend: &BackendId, order: LastOrder) {
        let orders = self
            .by_backend
            .entry(without_start_time(backend))
            .or_default();
        orders.retain(|known| known.machine != order.machine);
        orders.insert(0, order);
        orders.truncate(MAX_MACHINES_PER_BACKEND);
    }

    /// Records a heartbeat of a lease holder at `log_time`, in milliseconds, after all orders so far.
    pub fn record_heartbeat(&mut self, log_time: Millis) {
        for order in self.by_backend.values_mut().flatten() {
            order.log_time.get_or_insert(log_time);
        }
    }

    /// Moves the read times of all orders forward by a time, in milliseconds, for which this node's machine was
    /// suspended, because the node's clock includes that time.
    pub fn shift_read_times(&mut self, suspended_ms: Millis) {
        for order in self.by_backend.values_mut().flatten() {
            order.read_at += suspended_ms;
        }
    }

    /// Returns the last order that a machine other than `own` gave a back end.
    pub fn by_other_machine(&self, backend: &BackendId, own: &MachineName) -> Option<&LastOrder> {
        let orders = self.by_backend.get(&without_start_time(backend))?;
        orders.iter().find(|order| order.machine != *own)
    }

    /// Iterates over all stored orders, oldest first for each back end.
    pub fn all(&self) -> impl Iterator<Item = (&BackendId, &LastOrder)> {
        let backends = self.by_backend.iter();
        backends
            .flat_map(|(backend, orders)| orders.iter().rev().map(move |order| (backend, order)))
    }

    /// Removes the orders of back ends for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&BackendId) -> bool) {
        self.by_backend.retain(|backend, _| keep(backend));
    }
}
