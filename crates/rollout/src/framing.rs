//! Splits a value over several log records, since the log limits the size of a record. The caller appends all
//! records of a value in one call, which is atomic, so they are contiguous in the log. The first byte of each
//! record says which part of the value it holds.

use bytes::{BufMut, Bytes, BytesMut};

const WHOLE: u8 = 0;
const FIRST: u8 = 1;
const MIDDLE: u8 = 2;
const LAST: u8 = 3;

/// Splits `value` into records of at most `record_bytes` bytes each, but at least 2: one for the kind of the
/// record and one of the value.
pub fn split(value: &[u8], record_bytes: usize) -> Vec<Bytes> {
    let fragment_bytes = record_bytes.saturating_sub(1).max(1);
    if value.len() <= fragment_bytes {
        return vec![build_record(WHOLE, value)];
    }
    let last = value.len().div_ceil(fragment_bytes) - 1;
    let fragments = value.chunks(fragment_bytes).enumerate();
    fragments
        .map(|(index, bytes)| match index {
            0 => build_record(FIRST, bytes),
            _ if index == last => build_record(LAST, bytes),
            _ => build_record(MIDDLE, bytes),
        })
        .collect()
}

fn build_record(kind: u8, bytes: &[u8]) -> Bytes {
    let mut record = BytesMut::with_capacity(bytes.len() + 1);
    record.put_u8(kind);
    record.put_slice(bytes);
    record.freeze()
}

/// Joins records back into values, in the order of the log.
#[derive(Debug, Default)]
pub struct Joiner {
    /// The value whose first record was read and whose last was not.
    partial: Option<BytesMut>,
}

impl Joiner {
    /// Whether no value is incomplete, so that the next record begins a value.
    pub fn is_between_values(&self) -> bool {
        self.partial.is_none()
    }

    /// Takes the next record. Returns a value if this record completes it. Records of a value whose first record
    /// was not read are dropped: the reader started in the middle of the value.
    pub fn push(&mut self, record: Bytes) -> Option<Bytes> {
        let (kind, bytes) = (*record.first()?, record.slice(1..));
        match kind {
            WHOLE => {
                self.partial = None;
                Some(bytes)
            }
            FIRST => {
                self.partial = Some(BytesMut::from(&bytes[..]));
                None
            }
            MIDDLE => {
                self.partial.as_mut()?.put_slice(&bytes);
                None
            }
            LAST => {
                let mut value = self.partial.take()?;
                value.put_slice(&bytes);
                Some(value.freeze())
            }
            _ => None,
        }
    }
}
