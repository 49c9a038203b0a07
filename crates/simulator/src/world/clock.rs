//! The one clock of a world.

use havenstage_emulator::EngineTime;
use tokio::time::Instant;

/// Time since the world began.
#[derive(Debug, Clone, Copy)]
pub struct WorldClock {
    start: Instant,
}

impl WorldClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Milliseconds from the start to a moment.
    pub fn ms_at(&self, moment: Instant) -> u64 {
        let since = moment.saturating_duration_since(self.start);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    /// The same time as the engines' model counts it.
    pub fn engine_time(&self) -> EngineTime {
        EngineTime(0) + self.start.elapsed()
    }

    /// The moment at which the engines' model reaches a time.
    pub fn instant_of(&self, time: EngineTime) -> Instant {
        self.start + time.since(EngineTime(0))
    }
}
