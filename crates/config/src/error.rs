//! Errors of applying records to the configuration.

use havenstage_types::ids::LogOffset;
use thiserror::Error;

/// Why a record could not be applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FoldError {
    /// Records are missing before the given one; the caller must apply them first.
    #[error("configuration record {found} came while {expected} was expected")]
    Gap {
        /// Offset of the next record to apply.
        expected: LogOffset,
        /// Offset of the record that was given.
        found: LogOffset,
    },
}
