//! An item that this node works on.

use std::sync::Arc;

use havenstage_rollout::Millis;
use havenstage_rollout::batch::Item;
use havenstage_rollout::batch_state::ItemState;
use havenstage_rollout::ids::{BackendId, RunId, Version};
use havenstage_rollout::record::{BatchRecord, OutputEvent};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::run::ItemKey;

/// A task that ends when it is dropped.
#[derive(Debug)]
pub struct AbortOnDrop(pub AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What is being done about an item.
#[derive(Debug)]
pub enum Phase {
    /// It waits for a place.
    Waiting,
    /// It runs on a back end.
    Running {
        /// Where.
        backend: BackendId,
        /// Since when.
        since: Millis,
        /// When its last event came, or the head of its answer, if one has.
        last_event: Option<Millis>,
        /// Has the run end as one that is stalled, unless it was told to already.
        stall_signal: Option<Arc<Notify>>,
        /// The run.
        _task: AbortOnDrop,
    },
    /// Its output is whole and its reward call is under way.
    Scoring {
        /// The call.
        _task: AbortOnDrop,
    },
    /// Its end waits to be written down.
    Finishing {
        /// Since when.
        since: Millis,
    },
}

/// An item that this node works on.
#[derive(Debug)]
pub struct ActiveItem {
    /// What it asks for.
    pub spec: Arc<Item>,
    /// Index of its batch's partition.
    pub partition: usize,
    /// What is being done.
    pub phase: Phase,
    /// The current or last run.
    pub run: RunId,
    /// Events that run was given to go on from.
    pub resumed_from: u32,
    /// Events there, written down or not.
    pub events: u32,
    /// Version that made the first event.
    pub first_version: Option<Version>,
    /// How often it was moved to another back end.
    pub moves: u32,
    /// Answers of back ends that they failed at it.
    pub failures: u32,
    /// Since when this node works on it.
    pub since: Millis,
    logged_events: u32,
    own_runs: Vec<RunId>,
    unrecorded: Vec<OutputEvent>,
}

impl ActiveItem {
    /// An item as the log tells of it; nothing is done yet.
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
            since: now,
            logged_events: events,
            own_runs: Vec::new(),
            unrecorded: Vec::new(),
        }
    }

    /// Begins a run that goes on from the events there.
    pub fn begin_run(&mut self) -> RunId {
        let run = RunId(rand::random());
        self.run = run;
        self.own_runs.push(run);
        self.resumed_from = self.events;
        run
    }

    /// Adds an event of the current run.
    pub fn add_event(&mut self, event: OutputEvent) {
        self.events += 1;
        self.first_version.get_or_insert(event.version);
        self.unrecorded.push(event);
    }

    /// The record of the events that are not written down yet, if there are any.
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

    /// Drops the output, which must be written down as far as it goes.
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

    /// Whether the log holds output of somebody else that this node's work does not continue.
    pub fn is_overtaken(&self, state: &ItemState) -> bool {
        let is_ours = state.run.is_some_and(|run| self.own_runs.contains(&run));
        !is_ours && state.events.len() as u32 != self.logged_events
    }

    /// Where it runs, if it runs.
    pub fn running_on(&self) -> Option<&BackendId> {
        match &self.phase {
            Phase::Running { backend, .. } => Some(backend),
            _ => None,
        }
    }
}
