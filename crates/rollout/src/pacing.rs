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
/// Machines over which the usual spread of claims is enough.
const SPREAD_MACHINES: u64 = 20;

/// The pace of a node among `machines`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Wait between two reads of a stream.
    pub gap_ms: Millis,
    /// Factor by which claims of a lease are spread further.
    pub spread_factor: u64,
}

/// The pace that keeps `machines`, each reading `streams`, within their share of `reads_per_s`.
pub fn pace(machines: usize, streams: usize, reads_per_s: u32) -> Pace {
    let spread_factor = (machines as u64 / SPREAD_MACHINES).max(1);
    if machines <= UNPACED_MACHINES {
        return Pace {
            gap_ms: 0,
            spread_factor,
        };
    }
    let per_second = f64::from(reads_per_s.max(1)) * PACED_SHARE;
    let gap_ms = (machines * streams) as f64 * 1_000.0 / per_second;
    Pace {
        gap_ms: gap_ms as Millis,
        spread_factor,
    }
}
