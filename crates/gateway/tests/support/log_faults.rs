//! The faults that a test can set between a node and the log.

use std::time::Duration;

/// The faults of one node's access to the log; none by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogFaults {
    /// No call reaches the log.
    pub is_cut: bool,
    /// Reads of partitions and checkpoints get no answer.
    pub reads_hang: bool,
    /// Appends are done, but their answers are lost.
    pub loses_answers: bool,
    /// Appends are refused and not done.
    pub refuses_appends: bool,
    /// Appends that report the end of a back end are refused and not done.
    pub refuses_ends: bool,
    /// Reads are refused at once, with status 503.
    pub refuses_reads: bool,
    /// Reads are refused at once as too many, with status 429.
    pub throttles_reads: bool,
    /// Delay of the answers to appends of orders; the append itself is done at once.
    pub order_answer_delay: Duration,
    /// All appends are slow.
    pub slow_appends: bool,
    /// Only appends to batch partitions are slow.
    pub slow_batch_appends: bool,
    /// Delay of the answers to reads.
    pub read_delay: Duration,
    /// Every second page of a listing is refused with status 429.
    pub throttles_listings: bool,
    /// All pages of listings are refused.
    pub refuses_listings: bool,
    /// Both the listing and the changes of the back-end directory are refused.
    pub refuses_backends: bool,
    /// Number of reads of partitions and checkpoints, of every ten, that are refused with status 429.
    pub throttled_reads_of_ten: u64,
    /// Number of reads of partitions and checkpoints, from the first, that get no answer, as on silent connections.
    pub silent_reads: u64,
    /// Maximum bytes of records in the answer to a read; 0 means no limit.
    pub page_bytes: usize,
    /// Changes of directories are reported as dropped, even those right after a listing.
    pub drops_changes: bool,
    /// Reads of partitions are answered as if records were dropped, with the requested record as the first one kept.
    pub reports_kept_as_dropped: bool,
}
