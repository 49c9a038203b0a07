//! Pacing of stream reads, so that all nodes together stay within the log's limit on read calls.
//!
//! Every append wakes every reader. With few machines, all of them read at once. With many, a node waits
//! between two reads of a stream that no client asks it about.

use crate::Millis;

/// Maximum number of machines that read without waiting.
const MAX_UNPACED_MACHINES: usize = 40;
/// Share of the log's read calls that paced reads may use. The rest is for directories, for nodes that run
/// batches, and for reads on behalf of clients.
const PACED_SHARE: f64 = 0.5;

/// How fast a node reads the streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Wait between two reads of a stream, in milliseconds; 0 means no wait.
    pub read_interval_ms: Millis,
}

/// The pace at which `machines` machines that each read `streams` streams stay within the share of `reads_per_s`, the
/// log's limit on read calls per second, that is left to paced reads.
pub fn pace(machines: usize, streams: usize, reads_per_s: u32) -> Pace {
    if machines <= MAX_UNPACED_MACHINES {
        return Pace {
            read_interval_ms: 0,
        };
    }
    let per_second = f64::from(reads_per_s.max(1)) * PACED_SHARE;
    let interval_ms = (machines * streams) as f64 * 1_000.0 / per_second;
    Pace {
        read_interval_ms: interval_ms as Millis,
    }
}
