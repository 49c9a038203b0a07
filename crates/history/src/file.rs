//! Histories as files of JSON lines: one event a line, in the order recorded.

use std::io::{self, BufRead, Write};

use thiserror::Error;

use crate::event::HistoryEvent;

/// Why a history could not be read or written.
#[derive(Debug, Error)]
pub enum HistoryFileError {
    /// A line could not be read.
    #[error("line {line}: cannot be read")]
    Read {
        /// Line, from 1.
        line: usize,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// A line is not an event.
    #[error("line {line}: not a history event")]
    Malformed {
        /// Line, from 1.
        line: usize,
        /// What the parser said.
        #[source]
        source: serde_json::Error,
    },
    /// An event could not be encoded.
    #[error("line {line}: cannot be encoded")]
    Encode {
        /// Line, from 1.
        line: usize,
        /// What the encoder said.
        #[source]
        source: serde_json::Error,
    },
    /// A line could not be written.
    #[error("line {line}: cannot be written")]
    Write {
        /// Line, from 1.
        line: usize,
        /// What the system said.
        #[source]
        source: io::Error,
    },
}

/// Reads a whole history. Empty lines are passed over.
///
/// # Errors
/// At the first line that cannot be read or is not an event.
pub fn read(input: impl BufRead) -> Result<Vec<HistoryEvent>, HistoryFileError> {
    let mut events = Vec::new();
    for (index, text) in input.lines().enumerate() {
        let line = index + 1;
        let text = text.map_err(|source| HistoryFileError::Read { line, source })?;
        if text.trim().is_empty() {
            continue;
        }
        let event = serde_json::from_str(&text)
            .map_err(|source| HistoryFileError::Malformed { line, source })?;
        events.push(event);
    }
    Ok(events)
}

/// Writes events as JSON lines, one after the other as they come.
pub struct HistoryWriter<W> {
    output: W,
    lines_written: usize,
}

impl<W: Write> HistoryWriter<W> {
    /// A writer onto `output`, which should be buffered.
    pub fn new(output: W) -> Self {
        Self {
            output,
            lines_written: 0,
        }
    }

    /// Writes one event.
    ///
    /// # Errors
    /// When the event cannot be encoded or the output cannot be written.
    pub fn write(&mut self, event: &HistoryEvent) -> Result<(), HistoryFileError> {
        let line = self.lines_written + 1;
        let mut text = serde_json::to_vec(event)
            .map_err(|source| HistoryFileError::Encode { line, source })?;
        text.push(b'\n');
        self.output
            .write_all(&text)
            .map_err(|source| HistoryFileError::Write { line, source })?;
        self.lines_written = line;
        Ok(())
    }

    /// Flushes the output and hands it back.
    ///
    /// # Errors
    /// When the output cannot be flushed.
    pub fn finish(mut self) -> Result<W, HistoryFileError> {
        let line = self.lines_written;
        self.output
            .flush()
            .map_err(|source| HistoryFileError::Write { line, source })?;
        Ok(self.output)
    }
}
