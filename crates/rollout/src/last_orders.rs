//! When each back end was last given an order, and by which machine.

use std::collections::BTreeMap;

use crate::Millis;
use crate::ids::{BackendId, MachineName};

/// Machines that are kept for each back end: whichever of them asks, one of another machine is there.
const KEPT_MACHINES: usize = 2;

/// The last order that a machine gave a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastOrder {
    /// The machine.
    pub machine: MachineName,
    /// When this node read of it, on its own clock; later by the time in which its machine was suspended since.
    pub read_at: Millis,
    /// The first sign of life behind it, in time that certainly passed in the log; `None` until there is
    /// one. Time between two signs counts only if the order stands in front of both.
    pub log_time: Option<Millis>,
}

/// Orders to all lives of a back end count together: what two holders owe to it does not end with one of
/// its lives.
fn without_life(backend: &BackendId) -> BackendId {
    BackendId::from(backend.name())
}

/// The last orders of the two machines that gave each back end one most recently.
#[derive(Debug, Default)]
pub struct LastOrders {
    by_backend: BTreeMap<BackendId, Vec<LastOrder>>,
}

impl LastOrders {
    /// A back end was given an order.
    pub fn given(&mut self, backend: &BackendId, order: LastOrder) {
        let orders = self.by_backend.entry(without_life(backend)).or_default();
        orders.retain(|known| known.machine != order.machine);
        orders.insert(0, order);
        orders.truncate(KEPT_MACHINES);
    }

    /// A sign of life stands at `log_time`, behind all orders so far.
    pub fn signed(&mut self, log_time: Millis) {
        for order in self.by_backend.values_mut().flatten() {
            order.log_time.get_or_insert(log_time);
        }
    }

    /// The reader's clock counts a span of time in which its machine was suspended.
    pub fn clock_leapt(&mut self, leap_ms: Millis) {
        for order in self.by_backend.values_mut().flatten() {
            order.read_at += leap_ms;
        }
    }

    /// The last order that a machine other than `own` gave a back end.
    pub fn of_another(&self, backend: &BackendId, own: &MachineName) -> Option<&LastOrder> {
        let orders = self.by_backend.get(&without_life(backend))?;
        orders.iter().find(|order| order.machine != *own)
    }

    /// All that is kept, oldest first for each back end.
    pub fn all(&self) -> impl Iterator<Item = (&BackendId, &LastOrder)> {
        let backends = self.by_backend.iter();
        backends
            .flat_map(|(backend, orders)| orders.iter().rev().map(move |order| (backend, order)))
    }

    /// Forgets back ends that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&BackendId) -> bool) {
        self.by_backend.retain(|backend, _| keep(backend));
    }
}
