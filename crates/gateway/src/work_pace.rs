//! Spaces work that is repeated at every change by the time that it takes, so that it never uses up the
//! processor of a small machine, however much there is to look through.

use std::time::Duration;

use havenstage_clock::Instant;

/// Longest rest: a process that stood still, or was suspended, in the midst of its work must not rest for
/// twice as long when it is back.
const LONGEST_REST: Duration = Duration::from_secs(1);

/// When a piece of repeated work is due again.
#[derive(Debug)]
pub struct WorkPace {
    /// Rest after the work, as a multiple of the time it took.
    rest_factor: u32,
    due: Instant,
}

impl WorkPace {
    /// Work that is due at once; after it, a rest of `rest_factor` times what it took.
    pub fn new(rest_factor: u32) -> Self {
        Self {
            rest_factor,
            due: Instant::now(),
        }
    }

    /// Time until the work is due.
    pub fn wait(&self) -> Duration {
        self.due.saturating_duration_since(Instant::now())
    }

    /// Whether the work is due.
    pub fn is_due(&self) -> bool {
        self.wait().is_zero()
    }

    /// The work that began at `began` is done now.
    pub fn done(&mut self, began: Instant) {
        let now = Instant::now();
        let rest = (now - began).saturating_mul(self.rest_factor);
        self.due = now + rest.min(LONGEST_REST);
    }
}
