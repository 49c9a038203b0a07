//! Offset of the system's boot clock, which counts suspended time, from its monotonic clock, which does not.

use std::time::Duration;

use nix::sys::time::TimeSpec;
use nix::time::{ClockId, clock_gettime};

use crate::MonotonicMax;

/// The offset is rounded down to a multiple of this step, so that the time between the reads of the two
/// clocks does not count as suspended time.
const OFFSET_STEP: Duration = Duration::from_millis(5);
/// Maximum time between the two reads of the monotonic clock around a read of the boot clock. If the process
/// is paused for longer in between, the clocks are read again.
const MAX_READ_GAP: Duration = Duration::from_millis(1);
/// Number of attempts, the last of which is used however long it takes. A slow read can only make the
/// offset too small, never too large.
const MAX_READS: usize = 4;

static MAX_OFFSET: MonotonicMax = MonotonicMax::new();

/// Returns the largest offset read so far, rounded down to [`OFFSET_STEP`].
pub(crate) fn read() -> Duration {
    let steps = measure().as_nanos() / OFFSET_STEP.as_nanos();
    let nanos = steps * OFFSET_STEP.as_nanos();
    Duration::from_nanos(MAX_OFFSET.update(nanos as u64))
}

/// Returns the offset or slightly less, because the monotonic clock is read after the boot clock. Returns zero
/// if the system has no boot clock; suspensions can't be detected there.
fn measure() -> Duration {
    let mut offset = Duration::ZERO;
    for _ in 0..MAX_READS {
        let clocks = (
            clock_gettime(ClockId::CLOCK_MONOTONIC),
            clock_gettime(ClockId::CLOCK_BOOTTIME),
            clock_gettime(ClockId::CLOCK_MONOTONIC),
        );
        let (Ok(before), Ok(boot), Ok(after)) = clocks else {
            return Duration::ZERO;
        };
        offset = difference(boot, after);
        if difference(after, before) <= MAX_READ_GAP {
            break;
        }
    }
    offset
}

fn difference(later: TimeSpec, earlier: TimeSpec) -> Duration {
    Duration::from(later).saturating_sub(Duration::from(earlier))
}
