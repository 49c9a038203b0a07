//! Incremental parser for the server-sent events (`text/event-stream`) of a back end.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use crate::ids::Version;

/// Maximum size of an event. A back end in trouble may send bytes without end that contain no event.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event is longer than [`MAX_EVENT_BYTES`], or what arrived is no stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no end of an event in {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Value of its `id` line; `None` if it has none or the value is not a number.
    pub id: Option<u64>,
    /// Model version from which the stream continues; `None` if the event doesn't change it.
    pub version: Option<Version>,
    /// Value of its `data` lines, joined by line feeds.
    pub data: Bytes,
    /// The bytes of the event as received, including the empty line that ends it.
    pub raw: Bytes,
}

/// Splits a stream of bytes into events, and buffers the bytes of an incomplete event.
#[derive(Debug)]
pub struct EventReader {
    buffer: BytesMut,
    /// Number of buffered bytes in which no event ends.
    searched: usize,
    version_field: String,
}

impl EventReader {
    /// Creates a reader; `version_field` names the line of an event that carries a new model version.
    pub fn new(version_field: &str) -> Self {
        Self {
            buffer: BytesMut::new(),
            searched: 0,
            version_field: version_field.to_ascii_lowercase(),
        }
    }

    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Buffered bytes that [`Self::next_event`] has not returned, of an incomplete event.
    pub fn remaining(&self) -> &[u8] {
        &self.buffer
    }

    /// Removes and returns the next complete event; `None` if more bytes are needed. Events without data, for instance
    /// comments, are skipped.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if the incomplete event is longer than allowed.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLong> {
        while let Some(end) = find_event_end(&self.buffer, self.searched) {
            let raw = self.buffer.split_to(end.start + end.length).freeze();
            self.searched = 0;
            if let Some(event) = self.parse_event(&raw) {
                return Ok(Some(event));
            }
        }
        // The line ends of an event may have arrived in part.
        self.searched = self.buffer.len().saturating_sub(MAX_EVENT_END_BYTES - 1);
        match self.buffer.len() > MAX_EVENT_BYTES {
            true => Err(EventTooLong),
            false => Ok(None),
        }
    }

    fn parse_event(&self, raw: &Bytes) -> Option<StreamEvent> {
        let mut event = StreamEvent {
            id: None,
            version: None,
            data: Bytes::new(),
            raw: raw.clone(),
        };
        let mut has_data = false;
        for line in raw.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let Some(colon) = line.iter().position(|byte| *byte == b':') else {
                continue;
            };
            let name = &line[..colon];
            let value = line[colon + 1..]
                .strip_prefix(b" ")
                .unwrap_or(&line[colon + 1..]);
            if name == b"data" {
                event.data = append_line(&event.data, has_data, raw, value);
                has_data = true;
            } else if name == b"id" {
                event.id = parse_number(value);
            } else if name.eq_ignore_ascii_case(self.version_field.as_bytes()) {
                event.version = parse_number(value);
            }
        }
        has_data.then_some(event)
    }
}

/// Appends a data line to the data so far. The first line is returned as a view into `raw`, without copying.
fn append_line(before: &Bytes, has_data: bool, raw: &Bytes, line: &[u8]) -> Bytes {
    if !has_data {
        return raw.slice_ref(line);
    }
    let mut data = BytesMut::from(&before[..]);
    data.extend_from_slice(b"\n");
    data.extend_from_slice(line);
    data.freeze()
}

fn parse_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Maximum length of the two line ends that terminate an event.
const MAX_EVENT_END_BYTES: usize = 3;

/// The two line ends that terminate an event.
struct EventEnd {
    start: usize,
    length: usize,
}

/// Finds the end of the first event, which does not begin before `from`.
fn find_event_end(buffer: &[u8], from: usize) -> Option<EventEnd> {
    let mut index = from;
    while let Some(at) = buffer[index..].iter().position(|byte| *byte == b'\n') {
        let newline = index + at;
        match &buffer[newline + 1..] {
            [b'\n', ..] => {
                return Some(EventEnd {
                    start: newline,
                    length: 2,
                });
            }
            [b'\r', b'\n', ..] => {
                return Some(EventEnd {
                    start: newline,
                    length: 3,
                });
            }
            _ => index = newline + 1,
        }
    }
    None
}
