//! Time inside the model, finer than the milliseconds of the rest of the system.

use std::ops::Add;
use std::time::Duration;

use havenstage_types::clock::Moment;
use serde::{Deserialize, Serialize};

const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;

/// A moment in microseconds on the clock of whoever drives the model.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct EngineTime(pub u64);

impl EngineTime {
    /// The time from `earlier` to `self`, or zero when `earlier` is later.
    pub fn since(self, earlier: EngineTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl From<Moment> for EngineTime {
    fn from(moment: Moment) -> Self {
        Self(moment.0.saturating_mul(MICROSECONDS_PER_MILLISECOND))
    }
}

impl Add<Duration> for EngineTime {
    type Output = EngineTime;

    fn add(self, duration: Duration) -> EngineTime {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        EngineTime(self.0.saturating_add(microseconds))
    }
}
