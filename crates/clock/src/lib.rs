//! The monotonic clock of a node, which also counts the time in which its machine was suspended.
//!
//! The system's monotonic clock stops while the machine is suspended. A lease that is timed by it still looks
//! valid after a suspension, although another node may have acquired it meanwhile. [`Instant`] has the
//! interface of tokio's instant and adds the suspended time, which is the offset of the system's boot clock
//! from its monotonic clock. A read takes 0.24 us instead of 0.05 us (`examples/read_cost.rs`, one thread,
//! release build).
//!
//! Timers run on the monotonic clock: after a suspension, a timer fires late by the suspended time. Whatever
//! must expire during a suspension is therefore compared with an [`Instant`] when it is used, instead of
//! being ended by a timer.

use std::future::Future;
use std::ops::{Add, AddAssign, Sub};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use thiserror::Error;
use tokio::time::error::Elapsed;

mod boot_offset;
pub mod time_of_day;

/// Returns the total time for which the machine was suspended since some fixed moment.
pub type SuspendedTime = fn() -> Duration;

/// Source of the suspended time: the system's clocks, unless [`replace_source`] set another one.
static SOURCE: OnceLock<SuspendedTime> = OnceLock::new();

/// Error: the source of the suspended time was already replaced or used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the source of the suspended time is already in use")]
pub struct SourceInUse;

/// Replaces the system's clocks as the source of the suspended time, for tests that simulate suspensions.
/// Fails once the source was replaced or an [`Instant`] was read.
pub fn replace_source(source: SuspendedTime) -> Result<(), SourceInUse> {
    SOURCE.set(source).map_err(|_| SourceInUse)
}

/// Returns the total time for which the machine was suspended since some fixed moment.
pub fn suspended() -> Duration {
    SOURCE.get_or_init(|| boot_offset::read)()
}

/// A moment on the monotonic clock that counts suspended time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(tokio::time::Instant);

impl Instant {
    /// Returns the current moment.
    pub fn now() -> Self {
        Self(tokio::time::Instant::now() + suspended())
    }

    /// Time since this moment, including suspended time; zero if the moment is in the future.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Time from `earlier` to this moment; zero if `earlier` is the later of the two.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// The moment that lies `duration` before this one; `None` if the clock can't represent it.
    pub fn checked_sub(&self, duration: Duration) -> Option<Self> {
        self.0.checked_sub(duration).map(Self)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, duration: Duration) {
        self.0 += duration;
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0 - duration)
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.0 - earlier.0
    }
}

/// A moment on the system's monotonic clock, which stops while the machine is suspended. It measures waits that
/// give other nodes time to act: counting suspended time would end such a wait too early. Whatever must expire
/// during a suspension is measured by [`Instant`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AwakeInstant(tokio::time::Instant);

impl AwakeInstant {
    /// Returns the current moment.
    pub fn now() -> Self {
        Self(tokio::time::Instant::now())
    }

    /// Time since this moment, without suspended time.
    pub fn elapsed(&self) -> Duration {
        self.0.elapsed()
    }
}

/// Sleeps until `moment`. If the machine is suspended meanwhile, wakes up late by the suspended time.
pub async fn sleep_until(moment: Instant) {
    tokio::time::sleep(moment.saturating_duration_since(Instant::now())).await;
}

/// Awaits `future` until `moment`, after which it returns an error. If the machine is suspended meanwhile, the
/// timeout is late by the suspended time.
pub async fn timeout_at<F: Future>(moment: Instant, future: F) -> Result<F::Output, Elapsed> {
    let left = moment.saturating_duration_since(Instant::now());
    tokio::time::timeout(left, future).await
}

/// The maximum of all values passed to it, so that a clock derived from it never goes backwards.
#[derive(Debug, Default)]
struct MonotonicMax(AtomicU64);

impl MonotonicMax {
    const fn new() -> Self {
        Self(AtomicU64::new(0))
    }

    fn update(&self, nanos: u64) -> u64 {
        self.0.fetch_max(nanos, Ordering::Relaxed).max(nanos)
    }
}
