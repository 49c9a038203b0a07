//! Collects the history of a run.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use havenstage_history::event::{EventBody, EventSource, HistoryEvent};

use crate::world::clock::WorldClock;

/// Collects events in the order in which they happen.
#[derive(Debug)]
pub struct Recorder {
    clock: WorldClock,
    events: Mutex<Vec<HistoryEvent>>,
}

impl Recorder {
    /// An empty history on this clock.
    pub fn new(clock: WorldClock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            events: Mutex::default(),
        })
    }

    /// The clock that dates the events.
    pub fn clock(&self) -> WorldClock {
        self.clock
    }

    /// Records an event that happens now.
    pub fn record(&self, source: EventSource, body: EventBody) {
        let event = HistoryEvent {
            at_ms: self.clock.now_ms(),
            source,
            body,
        };
        self.lock().push(event);
    }

    /// All events so far.
    pub fn events(&self) -> Vec<HistoryEvent> {
        self.lock().clone()
    }

    /// Number of events so far.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether nothing was recorded yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, Vec<HistoryEvent>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
