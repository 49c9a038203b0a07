//! The position up to which a fold has applied its stream.

use havenstage_types::ids::LogOffset;
use serde::{Deserialize, Serialize};

use crate::error::FoldError;

/// Offset of the next record a fold will apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct StreamPosition(LogOffset);

/// Whether a record was applied before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// The record is the next one; the position has moved past it.
    New,
    /// The record was applied before; the position has not moved.
    Duplicate,
}

impl StreamPosition {
    /// Offset of the next record to apply.
    pub(crate) fn next(self) -> LogOffset {
        self.0
    }

    /// Moves past the record at `offset`, unless it was passed before.
    ///
    /// # Errors
    ///
    /// [`FoldError::Gap`] when `offset` is beyond the next offset; the position is unchanged then.
    pub(crate) fn advance(&mut self, offset: LogOffset) -> Result<Arrival, FoldError> {
        if offset < self.0 {
            return Ok(Arrival::Duplicate);
        }
        if offset > self.0 {
            return Err(FoldError::Gap {
                expected: self.0,
                found: offset,
            });
        }
        self.0 = LogOffset(offset.0 + 1);
        Ok(Arrival::New)
    }
}
