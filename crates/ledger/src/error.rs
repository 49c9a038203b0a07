//! Errors of the folds.

use havenstage_types::ids::{EntryIndex, LogOffset};
use thiserror::Error;

/// Why a record could not be applied. The fold's state is unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FoldError {
    /// Records between are missing; read again from `expected`.
    #[error("expected the record at offset {expected}, got the one at {found}")]
    Gap {
        /// Offset of the next record to apply.
        expected: LogOffset,
        /// Offset of the record given.
        found: LogOffset,
    },
    /// The fold took entries of a lost group ahead of the log, and the log never got them.
    #[error("holds entries of the lost group {generation} beyond {logged} that the log lacks")]
    AheadOfLog {
        /// Generation of the lost group.
        generation: LogOffset,
        /// Last entry of the group that is in the log.
        logged: EntryIndex,
    },
}
