//! The one clock by which a node measures: steady, and counting the time in which its machine was suspended.
//!
//! The system's steady clock stands still while a machine is suspended, and so does every measure taken by
//! it: a lease looks as fresh as before, though others have taken it meanwhile. [`Instant`] has the interface
//! of tokio's and adds the suspended time, which is the lead of the system's boot clock over its steady one.
//! A read takes 0.24 us instead of 0.05 us (`examples/read_cost.rs`, one thread, release build).
//!
//! Timers run by the steady clock: after a suspension one fires late by the time that was suspended. So
//! what must not outlive a suspension is judged by an [`Instant`] when it is used, not by a timer.

use std::future::Future;
use std::ops::{Add, AddAssign, Sub};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use thiserror::Error;
use tokio::time::error::Elapsed;

mod boot_lead;
pub mod time_of_day;

/// Tells how long the machine was suspended in all, counted from any fixed moment.
pub type SuspendedTime = fn() -> Duration;

/// What tells the suspended time; the system's clocks unless it was replaced.
static SOURCE: OnceLock<SuspendedTime> = OnceLock::new();

/// The source of the suspended time was already chosen or used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the source of the suspended time is already in use")]
pub struct SourceInUse;

/// Takes the suspended time from somewhere else than the system's clocks, for a process in which a test
/// decides when its machine is suspended. Must come before the first [`Instant`].
pub fn replace_source(source: SuspendedTime) -> Result<(), SourceInUse> {
    SOURCE.set(source).map_err(|_| SourceInUse)
}

/// Time for which the machine was suspended, counted from any fixed moment.
pub fn suspended() -> Duration {
    SOURCE.get_or_init(|| boot_lead::read)()
}

/// A moment on the clock that counts suspended time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(tokio::time::Instant);

impl Instant {
    /// This moment.
    pub fn now() -> Self {
        Self(tokio::time::Instant::now() + suspended())
    }

    /// Time that has passed since this moment; zero if it is yet to come.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Time from an earlier moment to this one; zero if that is the later one.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// The moment so long before; `None` if the clock cannot tell it.
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

/// A moment on the steady clock, which stands still while the machine is suspended. It measures what is owed to others
/// before something new may begin: a clock that leaps ends no such wait too soon. What must not outlive a suspension is
/// measured by [`Instant`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AwakeInstant(tokio::time::Instant);

impl AwakeInstant {
    /// This moment.
    pub fn now() -> Self {
        Self(tokio::time::Instant::now())
    }

    /// Time in which the machine ran since this moment.
    pub fn elapsed(&self) -> Duration {
        self.0.elapsed()
    }
}

/// Waits until a moment; later by the time for which the machine is suspended meanwhile.
pub async fn sleep_until(moment: Instant) {
    tokio::time::sleep(moment.saturating_duration_since(Instant::now())).await;
}

/// Waits for a future until a moment; later by the time for which the machine is suspended meanwhile.
pub async fn timeout_at<F: Future>(moment: Instant, future: F) -> Result<F::Output, Elapsed> {
    let left = moment.saturating_duration_since(Instant::now());
    tokio::time::timeout(left, future).await
}

/// The largest of the values that were seen, so that a clock made with it never goes back.
#[derive(Debug, Default)]
struct Largest(AtomicU64);

impl Largest {
    const fn new() -> Self {
        Self(AtomicU64::new(0))
    }

    fn of(&self, nanos: u64) -> u64 {
        self.0.fetch_max(nanos, Ordering::Relaxed).max(nanos)
    }
}
