//! How far the system's boot clock, which counts suspended time, is ahead of its steady clock.

use std::time::Duration;

use nix::sys::time::TimeSpec;
use nix::time::{ClockId, clock_gettime};

use crate::Largest;

/// Steps in which the lead is told: what two reads of clocks differ by must not show as suspended time.
const STEP: Duration = Duration::from_millis(5);
/// Longest time between two reads of the steady clock for the read of the boot clock between them to be
/// compared with them. A process that stands still meanwhile reads again.
const MOST_BETWEEN: Duration = Duration::from_millis(1);
/// Reads until the last one is taken as it is; it tells too little rather than too much.
const MOST_READS: usize = 4;

static LEAD: Largest = Largest::new();

/// The largest lead seen so far, to the step.
pub(crate) fn read() -> Duration {
    let steps = measure().as_nanos() / STEP.as_nanos();
    let nanos = steps * STEP.as_nanos();
    Duration::from_nanos(LEAD.of(nanos as u64))
}

/// The lead, or a little less: the steady clock is read after the boot clock. Zero where the system has no
/// boot clock, as nothing is known of suspensions there.
fn measure() -> Duration {
    let mut lead = Duration::ZERO;
    for _ in 0..MOST_READS {
        let clocks = (
            clock_gettime(ClockId::CLOCK_MONOTONIC),
            clock_gettime(ClockId::CLOCK_BOOTTIME),
            clock_gettime(ClockId::CLOCK_MONOTONIC),
        );
        let (Ok(before), Ok(boot), Ok(after)) = clocks else {
            return Duration::ZERO;
        };
        lead = difference(boot, after);
        if difference(after, before) <= MOST_BETWEEN {
            break;
        }
    }
    lead
}

fn difference(later: TimeSpec, earlier: TimeSpec) -> Duration {
    Duration::from(later).saturating_sub(Duration::from(earlier))
}
