//! Suspensions of single nodes: the clock that counts them moves on for one node's thread alone.

use std::cell::Cell;
use std::sync::Once;
use std::time::Duration;

thread_local! {
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

static PREPARED: Once = Once::new();

/// Lets threads be suspended. Comes first in each test of a file that suspends nodes.
pub fn prepare() {
    PREPARED.call_once(|| {
        havenstage_clock::replace_source(|| SUSPENDED.get()).expect("no clock was read before");
    });
}

/// This thread's machine was suspended for so long, just now.
pub fn suspend_this_thread(time: Duration) {
    SUSPENDED.set(SUSPENDED.get() + time);
}
