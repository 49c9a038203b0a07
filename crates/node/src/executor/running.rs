//! The executions this node runs now, so that one can be stopped from elsewhere.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use havenstage_types::ids::AttemptId;
use tokio::sync::oneshot;

use crate::locks::lock;

/// Why an execution was stopped from this side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopCause {
    /// The engine's home needs the place for live work.
    Preempted,
    /// Its tokens fell behind the staleness bound.
    TooStale,
}

/// Executions running now.
#[derive(Default)]
pub(crate) struct RunningAttempts {
    attempts: Mutex<BTreeMap<AttemptId, oneshot::Sender<StopCause>>>,
}

/// One running execution; it is forgotten when this is dropped.
pub(crate) struct RunningAttempt {
    attempt: AttemptId,
    registry: Arc<RunningAttempts>,
    stop: Option<oneshot::Receiver<StopCause>>,
}

impl RunningAttempts {
    /// Registers an execution.
    pub(crate) fn start(self: &Arc<Self>, attempt: AttemptId) -> RunningAttempt {
        let (sender, receiver) = oneshot::channel();
        lock(&self.attempts).insert(attempt, sender);
        RunningAttempt {
            attempt,
            registry: self.clone(),
            stop: Some(receiver),
        }
    }

    /// Stops an execution to make room for live work.
    pub(crate) fn preempt(&self, attempt: AttemptId) {
        self.stop(attempt, StopCause::Preempted);
    }

    /// Stops an execution; one that has ended is not there any more.
    pub(crate) fn stop(&self, attempt: AttemptId, cause: StopCause) {
        if let Some(sender) = lock(&self.attempts).remove(&attempt) {
            // The execution may end at this very moment.
            let _ = sender.send(cause);
        }
    }
}

impl RunningAttempt {
    /// Returns when the execution is to stop, and why.
    pub(crate) async fn stopped(mut self) -> StopCause {
        let Some(stop) = self.stop.take() else {
            return std::future::pending().await;
        };
        match stop.await {
            Ok(cause) => cause,
            Err(_registry_gone) => std::future::pending().await,
        }
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        lock(&self.registry.attempts).remove(&self.attempt);
    }
}
