//! How often a node reads the streams, so that all nodes together keep within the log's limit.
//!
//! Every append wakes every reader. With few machines all read at once; with many, a node waits
//! between two reads of a stream that nobody asks it about.

use crate::Millis;

/// Machines up to which all may read at once.
const UNPACED_MACHINES: usize = 40;
/// Share of the log's reading calls that paced reads may use; the rest is for directories, for nodes
/// that run batches, and for readers that ask.
const PACED_SHARE: f64 = 0.5;

/// The pace of a node among `machines`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Wait between two reads of a stream.
    pub gap_ms: Millis,
}

/// The pace that keeps `machines`, each reading `streams`, within their share of `reads_per_s`.
pub fn pace(machines: usize, streams: usize, reads_per_s: u32) -> Pace {
    if machines <= UNPACED_MACHINES {
        return Pace { gap_ms: 0 };
    }
    let per_second = f64::from(reads_per_s.max(1)) * PACED_SHARE;
    let gap_ms = (machines * streams) as f64 * 1_000.0 / per_second;
    Pace {
        gap_ms: gap_ms as Millis,
    }
}
