//! How old the weights behind a sample may be.

use havenstage_types::ids::VersionNumber;

/// How many versions older than the newest one any token of a sample may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StalenessBound(pub u64);

impl StalenessBound {
    /// The oldest version a token may come from while `newest` is the newest version.
    pub fn oldest_allowed(self, newest: VersionNumber) -> VersionNumber {
        VersionNumber(newest.0.saturating_sub(self.0))
    }

    /// Whether a sample whose oldest segment is `oldest` is past the bound.
    pub fn is_too_stale(self, oldest: VersionNumber, newest: VersionNumber) -> bool {
        oldest < self.oldest_allowed(newest)
    }
}
