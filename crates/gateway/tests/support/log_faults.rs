//! What may go wrong between a node and the log.

use std::time::Duration;

/// How the log treats one node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogFaults {
    /// Calls do not reach it.
    pub is_cut: bool,
    /// Reads of the control stream or of batches get no answer.
    pub reads_hang: bool,
    /// Appends are done, and their answers lost.
    pub loses_answers: bool,
    /// Appends are refused; nothing is done.
    pub refuses_appends: bool,
    /// Appends that tell of ends of back ends are refused; nothing is done.
    pub refuses_ends: bool,
    /// Reads are refused at once; nothing is told.
    pub refuses_reads: bool,
    /// Reads are refused at once because too many calls are made.
    pub throttles_reads: bool,
    /// Orders are written down at once, and the answer takes so long.
    pub order_answer_delay: Duration,
    /// Appends take a while.
    pub slow_appends: bool,
    /// Appends of batches take a while; others do not.
    pub slow_batch_appends: bool,
    /// How long answers to reads are on their way.
    pub read_delay: Duration,
    /// Every second page of a listing is refused because too many calls are made.
    pub throttles_listings: bool,
    /// Pages of listings are refused, all of them.
    pub refuses_listings: bool,
    /// The directory of back ends is not given, neither its listing nor its changes.
    pub refuses_backends: bool,
    /// Of ten reads of partitions and checkpoints, so many are refused because too many calls are made.
    pub throttled_reads_of_ten: u64,
    /// The first so many reads of partitions get no answer, as on connections that have gone silent.
    pub silent_reads: u64,
    /// Most bytes of records in the answer to a read; 0 stands for no limit.
    pub page_bytes: usize,
    /// Changes of directories are told to be dropped, also those behind the listing before.
    pub drops_changes: bool,
    /// Records of partitions are told to be dropped, though the first one kept is the one asked for.
    pub reports_kept_as_dropped: bool,
}
