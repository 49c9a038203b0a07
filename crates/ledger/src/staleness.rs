//! The limit on the age of the weight versions that produced a sample.

use havenstage_types::ids::VersionNumber;

/// Maximum number of versions by which any token of a sample may lag behind the newest version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StalenessBound(pub u64);

impl StalenessBound {
    /// The oldest version that may have produced a token while `newest` is the newest version.
    pub fn oldest_allowed(self, newest: VersionNumber) -> VersionNumber {
        VersionNumber(newest.0.saturating_sub(self.0))
    }

    /// Whether a sample whose oldest segment was produced by `oldest` exceeds the bound.
    pub fn is_too_stale(self, oldest: VersionNumber, newest: VersionNumber) -> bool {
        oldest < self.oldest_allowed(newest)
    }
}
