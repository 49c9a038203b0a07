//! Limits the processor share of work that is repeated at every change: after each run it rests for a multiple of the
//! time that the run took. However much data the work goes through, it never saturates a small machine.

use std::time::Duration;

use havenstage_clock::Instant;

/// Upper bound of the rest. Without it, a process that was stopped or suspended during its work would rest for a
/// multiple of that time after it resumes.
const MAX_REST: Duration = Duration::from_secs(1);

/// Schedules one kind of repeated work.
#[derive(Debug)]
pub struct WorkPace {
    /// Rest after the work, as a multiple of the time that it took.
    rest_factor: u32,
    due: Instant,
}

impl WorkPace {
    /// Creates a pace whose work is due at once; each later run is due after a rest of `rest_factor` times the duration
    /// of the last one.
    pub fn new(rest_factor: u32) -> Self {
        Self {
            rest_factor,
            due: Instant::now(),
        }
    }

    /// Time until the work is due; zero if it is due now.
    pub fn wait(&self) -> Duration {
        self.due.saturating_duration_since(Instant::now())
    }

    /// Whether the work is due.
    pub fn is_due(&self) -> bool {
        self.wait().is_zero()
    }

    /// Records that the work that began at `began` ends now, and schedules the next run.
    pub fn done(&mut self, began: Instant) {
        let now = Instant::now();
        let rest = (now - began).saturating_mul(self.rest_factor);
        self.due = now + rest.min(MAX_REST);
    }
}
