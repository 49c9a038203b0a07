//! Spawns a node's tasks through one gate, so that all of them can be ended, or held up, as one.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use tokio::task::JoinHandle;

/// What a gate lets its tasks do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GateState {
    Open,
    Held,
    Closed,
}

struct Gate {
    state: GateState,
    waiting: Vec<Waker>,
}

/// Spawns the tasks of one node. Clones share one gate.
#[derive(Clone)]
pub struct TaskSpawner {
    gate: Arc<Mutex<Gate>>,
}

impl Default for TaskSpawner {
    fn default() -> Self {
        Self::new()
    }
}

impl TaskSpawner {
    /// A spawner whose gate is open.
    pub fn new() -> Self {
        let gate = Gate {
            state: GateState::Open,
            waiting: Vec::new(),
        };
        Self {
            gate: Arc::new(Mutex::new(gate)),
        }
    }

    /// Runs a future behind the gate. The handle yields `None` when the gate was closed first.
    pub fn spawn<F>(&self, future: F) -> JoinHandle<Option<F::Output>>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        tokio::spawn(self.gated(future))
    }

    /// Wraps a future so that it only makes progress while the gate is open.
    pub fn gated<F: Future>(&self, future: F) -> Gated<F> {
        Gated {
            gate: self.gate.clone(),
            future: Some(Box::pin(future)),
        }
    }

    /// Holds up every task at its next step, as a stopped process would be.
    pub fn hold(&self) {
        let mut gate = lock(&self.gate);
        if gate.state == GateState::Open {
            gate.state = GateState::Held;
        }
    }

    /// Lets held tasks go on.
    pub fn release(&self) {
        self.change_state(GateState::Held, GateState::Open);
    }

    /// Ends every task at its next step, as a killed process would.
    pub fn close(&self) {
        let mut gate = lock(&self.gate);
        gate.state = GateState::Closed;
        wake_all(&mut gate);
    }

    /// Whether the gate is closed for good.
    pub fn is_closed(&self) -> bool {
        lock(&self.gate).state == GateState::Closed
    }

    fn change_state(&self, from: GateState, to: GateState) {
        let mut gate = lock(&self.gate);
        if gate.state == from {
            gate.state = to;
            wake_all(&mut gate);
        }
    }
}

fn lock(gate: &Mutex<Gate>) -> MutexGuard<'_, Gate> {
    gate.lock().unwrap_or_else(PoisonError::into_inner)
}

fn wake_all(gate: &mut Gate) {
    for waker in gate.waiting.drain(..) {
        waker.wake();
    }
}

/// A future behind a gate; see [`TaskSpawner::gated`].
pub struct Gated<F> {
    gate: Arc<Mutex<Gate>>,
    future: Option<Pin<Box<F>>>,
}

impl<F: Future> Future for Gated<F> {
    type Output = Option<F::Output>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let state = {
            let mut gate = lock(&self.gate);
            if gate.state == GateState::Held {
                gate.waiting.push(context.waker().clone());
            }
            gate.state
        };
        match (state, self.future.as_mut()) {
            (GateState::Held, Some(_)) => Poll::Pending,
            (GateState::Open, Some(future)) => future.as_mut().poll(context).map(Some),
            (GateState::Closed, _) | (_, None) => {
                self.future = None;
                Poll::Ready(None)
            }
        }
    }
}
