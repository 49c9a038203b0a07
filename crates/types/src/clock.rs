//! Time as the state machines see it: milliseconds passed in by the caller, never read here.

use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A moment on one process's monotonic clock, in milliseconds since that process started.
/// Moments of different processes must never be compared.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Moment(pub u64);

impl Moment {
    /// The time from `earlier` to `self`, or zero when `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: Duration) -> Moment {
        let milliseconds = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Moment(self.0.saturating_add(milliseconds))
    }
}
