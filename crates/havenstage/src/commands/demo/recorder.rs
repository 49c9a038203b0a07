//! What callers, operators and the demonstration itself see, on one clock.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use havenstage_history::event::{EventBody, EventSource, HistoryEvent};
use tokio::time::Instant;

/// Collects events as they happen.
#[derive(Debug)]
pub struct Recorder {
    started: Instant,
    events: Mutex<Vec<HistoryEvent>>,
}

impl Recorder {
    /// An empty history whose clock starts now.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            events: Mutex::default(),
        })
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        milliseconds(self.elapsed())
    }

    /// Records an event that happens now.
    pub fn record(&self, source: EventSource, body: EventBody) {
        let at_ms = self.now_ms();
        self.lock().push(HistoryEvent {
            at_ms,
            source,
            body,
        });
    }

    /// All events so far.
    pub fn events(&self) -> Vec<HistoryEvent> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<HistoryEvent>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whole milliseconds of a duration.
pub fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
