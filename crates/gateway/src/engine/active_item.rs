//! The state of an item that this node runs.

use std::sync::Arc;

use havenstage_rollout::Millis;
use havenstage_rollout::backoff::Backoff;
use havenstage_rollout::batch::Item;
use havenstage_rollout::batch_state::ItemState;
use havenstage_rollout::ids::{BackendId, RunId, Version};
use havenstage_rollout::record::{BatchRecord, OutputEvent};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::run::ItemKey;

/// Aborts a task when it is dropped.
#[derive(Debug)]
pub struct AbortOnDrop(pub AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The stage of work on an item.
#[derive(Debug)]
pub enum Phase {
    /// The item waits for a free slot.
    Waiting,
    /// A run of the item is in flight.
    Running {
        /// The back end that runs the item.
        backend: BackendId,
        /// When the run began, by the node's clock.
        since: Millis,
        /// When the last event or the head of the response arrived; `None` before the head.
        last_event: Option<Millis>,
        /// Tells the run to end as stalled; `None` once that was done.
        stall_signal: Option<Arc<Notify>>,
        /// The task of the run, which is aborted when the phase changes.
        _task: AbortOnDrop,
    },
    /// The output is whole and the reward call is in flight.
    Scoring {
        /// The task of the reward call, which is aborted when the phase changes.
        _task: AbortOnDrop,
    },
    /// The outcome waits to be written to the log, or to be read back from it.
    Finishing {
        /// When the item finished, by the node's clock.
        since: Millis,
    },
}

/// An item that this node runs, scores or finishes.
#[derive(Debug)]
pub struct ActiveItem {
    /// The request to back ends, and the reward call if there is one.
    pub spec: Arc<Item>,
    /// Index of its batch's partition.
    pub partition: usize,
    /// The current stage of work.
    pub phase: Phase,
    /// Id of the current or last run.
    pub run: RunId,
    /// Number of events that the item had when that run began.
    pub resumed_from: u32,
    /// Number of output events, whether or not they are in a log record yet.
    pub events: u32,
    /// The weight version that produced the first event; `None` if there is no output.
    pub first_version: Option<Version>,
    /// How often this node moved the item to a faster back end.
    pub moves: u32,
    /// How often a back end answered with an internal server error.
    pub failures: u32,
    /// Counts the runs in a row that broke off without progress.
    pub backoff: Backoff,
    /// Time until which no run begins, by the node's clock.
    pub paused_until: Millis,
    /// When this node began to work on the item, by the node's clock.
    pub since: Millis,
    /// When the last run of this node ended, by the node's clock; `None` before the first one.
    pub last_run_ended: Option<Millis>,
    /// Number of events that the log held when this node began to work on the item.
    logged_events: u32,
    /// All runs that this node began.
    own_runs: Vec<RunId>,
    /// Events that are in no log record yet.
    unrecorded: Vec<OutputEvent>,
}

impl ActiveItem {
    /// Creates an item in the waiting phase, with the output that the log holds.
    pub fn new(state: &ItemState, spec: Arc<Item>, partition: usize, now: Millis) -> Self {
        let events = state.events.len() as u32;
        let run = state.run.unwrap_or(RunId(0));
        Self {
            spec,
            partition,
            phase: Phase::Waiting,
            run,
            resumed_from: events,
            events,
            first_version: state.events.first().map(|event| event.version),
            moves: 0,
            failures: 0,
            backoff: Backoff::default(),
            paused_until: 0,
            since: now,
            last_run_ended: None,
            logged_events: events,
            own_runs: Vec::new(),
            unrecorded: Vec::new(),
        }
    }

    /// Begins a run that continues after the events so far, and returns its id.
    pub fn begin_run(&mut self) -> RunId {
        let run = RunId(rand::random());
        self.run = run;
        self.own_runs.push(run);
        self.resumed_from = self.events;
        run
    }

    /// Appends an event of the current run to the output.
    pub fn add_event(&mut self, event: OutputEvent) {
        self.events += 1;
        self.first_version.get_or_insert(event.version);
        self.unrecorded.push(event);
    }

    /// Returns a log record of the events that are in no record yet; `None` if there are none.
    pub fn take_progress(&mut self, key: &ItemKey) -> Option<BatchRecord> {
        if self.unrecorded.is_empty() {
            return None;
        }
        let events = std::mem::take(&mut self.unrecorded);
        Some(BatchRecord::Progress {
            batch: key.batch.clone(),
            item: key.item.clone(),
            run: self.run,
            resumed_from: self.resumed_from,
            from: self.events - events.len() as u32,
            events,
        })
    }

    /// Drops the output and returns the log record of that. The caller must record pending events before, with
    /// [`take_progress`](Self::take_progress).
    pub fn restart(&mut self, key: &ItemKey) -> BatchRecord {
        let record = BatchRecord::Restarted {
            batch: key.batch.clone(),
            item: key.item.clone(),
            run: self.run,
            events: self.events,
        };
        self.events = 0;
        self.first_version = None;
        record
    }

    /// Whether the log holds output of another node's run that this node's output does not continue.
    pub fn is_overtaken(&self, state: &ItemState) -> bool {
        let is_ours = state.run.is_some_and(|run| self.own_runs.contains(&run));
        !is_ours && state.events.len() as u32 != self.logged_events
    }

    /// The back end that runs the item; `None` if no run is in flight.
    pub fn running_on(&self) -> Option<&BackendId> {
        match &self.phase {
            Phase::Running { backend, .. } => Some(backend),
            _ => None,
        }
    }
}
