//! Reports of changes in the prefix cache. They come late, and some never.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::clock::EngineTime;
use crate::settings::KvSettings;

/// A late report of a change in the prefix cache. A gap in the sequence numbers is a lost report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event since the engine's boot, from 1.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

/// A change in the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block that ends the prefix with this hash is cached.
    Stored(u64),
    /// It was evicted.
    Evicted(u64),
}

/// Holds events back until they are due.
#[derive(Debug)]
pub(crate) struct CacheEventQueue {
    lag: Duration,
    loss_probability: f64,
    sequence: u64,
    queue: VecDeque<(EngineTime, CacheEvent)>,
}

impl CacheEventQueue {
    pub(crate) fn new(settings: &KvSettings) -> Self {
        Self {
            lag: Duration::from_micros(settings.event_lag_us),
            loss_probability: settings.event_loss_probability,
            sequence: 0,
            queue: VecDeque::new(),
        }
    }

    /// Takes a change that happened at `now`; it may be lost.
    pub(crate) fn push(&mut self, now: EngineTime, change: CacheChange, random: &mut ChaCha8Rng) {
        self.sequence += 1;
        if random.random_bool(self.loss_probability) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            change,
        };
        self.queue.push_back((now + self.lag, event));
    }

    pub(crate) fn next_event_at(&self) -> Option<EngineTime> {
        self.queue.front().map(|(due, _)| *due)
    }

    /// The next event that is due at `now`.
    pub(crate) fn pop_due(&mut self, now: EngineTime) -> Option<CacheEvent> {
        if self.next_event_at()? > now {
            return None;
        }
        self.queue.pop_front().map(|(_, event)| event)
    }
}
