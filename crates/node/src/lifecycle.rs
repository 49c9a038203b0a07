//! Whether the node takes new work, and what it still has in flight.

use std::sync::Arc;

use tokio::sync::watch;

/// Counts work in flight and remembers a planned stop.
pub(crate) struct Lifecycle {
    stopping: watch::Sender<bool>,
    in_flight: Arc<watch::Sender<usize>>,
}

/// Counts as one piece of work in flight until dropped.
pub(crate) struct InFlightGuard {
    in_flight: Arc<watch::Sender<usize>>,
}

impl Lifecycle {
    pub(crate) fn new() -> Self {
        Self {
            stopping: watch::Sender::new(false),
            in_flight: Arc::new(watch::Sender::new(0)),
        }
    }

    pub(crate) fn begin_stop(&self) {
        self.stopping.send_replace(true);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns when a planned stop has begun.
    pub(crate) async fn stop_begun(&self) {
        let mut stopping = self.stopping.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = stopping.wait_for(|stopping| *stopping).await;
    }

    /// Counts a new piece of work until the guard is dropped.
    pub(crate) fn track(&self) -> InFlightGuard {
        self.in_flight.send_modify(|count| *count += 1);
        InFlightGuard {
            in_flight: self.in_flight.clone(),
        }
    }

    pub(crate) fn in_flight(&self) -> usize {
        *self.in_flight.borrow()
    }

    /// Returns when nothing is in flight.
    pub(crate) async fn drained(&self) {
        let mut in_flight = self.in_flight.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = in_flight.wait_for(|count| *count == 0).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.send_modify(|count| *count -= 1);
    }
}
