//! Errors of the folds.

use havenstage_types::ids::LogOffset;
use thiserror::Error;

/// Why a record could not be applied. The state of the fold is unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FoldError {
    /// Records are missing before the given one; the caller must read again from `expected`.
    #[error("expected the record at offset {expected}, got the one at {found}")]
    Gap {
        /// Offset of the next record to apply.
        expected: LogOffset,
        /// Offset of the record given.
        found: LogOffset,
    },
}
