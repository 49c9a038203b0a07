//! Errors of the fold.

use havenstage_types::ids::LogOffset;
use thiserror::Error;

/// Why a record could not be applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FoldError {
    /// Records are missing before this one; the caller must read them first.
    #[error("configuration record {found} came while {expected} was expected")]
    Gap {
        /// Offset the fold needs next.
        expected: LogOffset,
        /// Offset of the record that came.
        found: LogOffset,
    },
}
