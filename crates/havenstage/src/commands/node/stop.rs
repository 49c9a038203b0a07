//! Signals that ask for a planned stop.

use std::future::Future;
use std::io;

use havenstage_node::node::Node;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Takes the signals over from the default action.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the first signal, and hands the signals back for those that follow.
    pub async fn first(mut self) -> Self {
        self.next().await;
        self
    }

    /// Waits for a step of the stop. A further signal does not cut it short; it logs what the node
    /// still waits for.
    pub async fn report_until<T>(&mut self, node: &Node, step: impl Future<Output = T>) -> T {
        tokio::pin!(step);
        loop {
            tokio::select! {
                done = &mut step => return done,
                () = self.next() => report(node),
            }
        }
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn report(node: &Node) {
    let status = node.status();
    log::warn!(
        in_flight = status.in_flight,
        jobs = status.jobs.len(),
        engines = status.engines.len();
        "already stopping; waiting for work in flight"
    );
}
