//! Wall-clock time without short-lived jumps, for work that is accounted in windows of it.
//!
//! The system's wall clock may jump by seconds and jump back. Between jumps, the monotonic clock measures
//! elapsed time just as well, so this module tracks the offset of the wall clock from the monotonic clock. It
//! adopts a small change of the offset at once, a large one only after it has persisted.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Instant;

/// Milliseconds since the Unix epoch (the beginning of 1970).
pub type UnixMillis = u64;

/// Largest change of the offset that is adopted at once, as a correction of the clock, in milliseconds.
/// Time services slew differences below half a second.
const MAX_CORRECTION_MS: i64 = 300;
/// A jump is adopted after it has persisted for this time: temporary jumps are undone within seconds.
const MIN_JUMP_DURATION: Duration = Duration::from_secs(30);

/// Offset of the wall clock from the monotonic clock, filtered so that temporary jumps have no effect.
#[derive(Debug)]
pub struct WallClockOffset {
    adopted_ms: i64,
    jumped_at: Option<Instant>,
}

impl WallClockOffset {
    /// Adopts the first measured offset, in milliseconds.
    pub fn new(measured_ms: i64) -> Self {
        Self {
            adopted_ms: measured_ms,
            jumped_at: None,
        }
    }

    /// Records an offset that was measured at `now`, and returns the adopted offset, both in milliseconds.
    pub fn update(&mut self, measured_ms: i64, now: Instant) -> i64 {
        let is_correction = (measured_ms - self.adopted_ms).abs() <= MAX_CORRECTION_MS;
        let jumped_at = *self.jumped_at.get_or_insert(now);
        let has_persisted = now.saturating_duration_since(jumped_at) >= MIN_JUMP_DURATION;
        if is_correction || has_persisted {
            self.adopted_ms = measured_ms;
            self.jumped_at = None;
        }
        self.adopted_ms
    }
}

/// Wall clock of this machine without temporary jumps.
#[derive(Debug)]
pub struct TimeOfDay {
    start: Instant,
    offset: Mutex<WallClockOffset>,
}

impl TimeOfDay {
    /// Creates a clock that starts at the current system time.
    pub fn start() -> Self {
        let start = Instant::now();
        Self {
            start,
            offset: Mutex::new(WallClockOffset::new(system_ms())),
        }
    }

    /// Returns the current time, in milliseconds since the Unix epoch.
    pub fn now(&self) -> UnixMillis {
        let now = Instant::now();
        let elapsed_ms = now.saturating_duration_since(self.start).as_millis() as i64;
        let mut offset = self.offset.lock().unwrap_or_else(PoisonError::into_inner);
        let adopted_ms = offset.update(system_ms() - elapsed_ms, now);
        (adopted_ms + elapsed_ms).max(0) as UnixMillis
    }
}

/// System time in milliseconds since the Unix epoch; 0 if the system clock is set before it, where no accounted
/// window lies.
fn system_ms() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as i64)
}
