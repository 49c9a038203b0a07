//! Reads a back end's stream of events piece by piece.

use bytes::{Bytes, BytesMut};

use crate::ids::Version;

/// One event as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its id, if it carried one that is a number.
    pub id: Option<u64>,
    /// Version that it names, if the version changes with it.
    pub version: Option<Version>,
    /// Its data; several data lines are joined by line feeds.
    pub data: Bytes,
    /// All its bytes as they came, with the empty line that ends it.
    pub raw: Bytes,
}

/// Splits bytes into events. Bytes of an event that is not whole yet stay here.
#[derive(Debug)]
pub struct EventReader {
    buffer: BytesMut,
    version_field: String,
}

impl EventReader {
    /// A reader; `version_field` is the name of the line that tells a change of version.
    pub fn new(version_field: &str) -> Self {
        Self {
            buffer: BytesMut::new(),
            version_field: version_field.to_ascii_lowercase(),
        }
    }

    /// Takes more bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes that are not part of a whole event yet.
    pub fn remaining(&self) -> &[u8] {
        &self.buffer
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        loop {
            let end = event_end(&self.buffer)?;
            let raw = self.buffer.split_to(end.start + end.length).freeze();
            if let Some(event) = self.read_event(&raw) {
                return Some(event);
            }
        }
    }

    fn read_event(&self, raw: &Bytes) -> Option<StreamEvent> {
        let mut event = StreamEvent {
            id: None,
            version: None,
            data: Bytes::new(),
            raw: raw.clone(),
        };
        let mut any = false;
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
                event.data = joined(&event.data, any, raw, value);
                any = true;
            } else if name == b"id" {
                event.id = number(value);
            } else if name.eq_ignore_ascii_case(self.version_field.as_bytes()) {
                event.version = number(value);
            }
        }
        any.then_some(event)
    }
}

/// Appends a data line; the first one is a view into the event's bytes.
fn joined(before: &Bytes, any: bool, raw: &Bytes, line: &[u8]) -> Bytes {
    if !any {
        return raw.slice_ref(line);
    }
    let mut data = BytesMut::from(&before[..]);
    data.extend_from_slice(b"\n");
    data.extend_from_slice(line);
    data.freeze()
}

fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

struct EventEnd {
    start: usize,
    length: usize,
}

fn event_end(buffer: &[u8]) -> Option<EventEnd> {
    let mut index = 0;
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
