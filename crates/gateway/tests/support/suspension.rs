//! Simulated suspensions of single nodes: each thread has its own suspended time, and each node runs on its own thread.

use std::cell::Cell;
use std::sync::Once;
use std::time::Duration;

thread_local! {
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

static PREPARED: Once = Once::new();

/// Installs a clock source that allows threads to be suspended. Must be called first in each test of a file that
/// suspends nodes, before any clock is read.
pub fn prepare() {
    PREPARED.call_once(|| {
        havenstage_clock::replace_source(|| SUSPENDED.get()).expect("no clock was read before");
    });
}

/// Simulates that the machine of this thread was just suspended for this time.
pub fn suspend_this_thread(time: Duration) {
    SUSPENDED.set(SUSPENDED.get() + time);
}
