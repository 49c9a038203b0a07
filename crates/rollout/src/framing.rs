//! Splits a value over several records of a log that bounds their size. The pieces are appended in
//! one call, all or nothing, so they are contiguous.

use bytes::{BufMut, Bytes, BytesMut};

const WHOLE: u8 = 0;
const FIRST: u8 = 1;
const MIDDLE: u8 = 2;
const LAST: u8 = 3;

/// The records that hold `value`, each of `record_bytes` at most.
pub fn split(value: &[u8], record_bytes: usize) -> Vec<Bytes> {
    let piece_bytes = record_bytes.saturating_sub(1).max(1);
    if value.len() <= piece_bytes {
        return vec![piece(WHOLE, value)];
    }
    let last = value.len().div_ceil(piece_bytes) - 1;
    let pieces = value.chunks(piece_bytes).enumerate();
    pieces
        .map(|(index, bytes)| match index {
            0 => piece(FIRST, bytes),
            _ if index == last => piece(LAST, bytes),
            _ => piece(MIDDLE, bytes),
        })
        .collect()
}

fn piece(mark: u8, bytes: &[u8]) -> Bytes {
    let mut record = BytesMut::with_capacity(bytes.len() + 1);
    record.put_u8(mark);
    record.put_slice(bytes);
    record.freeze()
}

/// Joins records back to values, in the order of the log.
#[derive(Debug, Default)]
pub struct Joiner {
    open: Option<BytesMut>,
}

impl Joiner {
    /// Whether no value is open: the next record begins one.
    pub fn is_between_values(&self) -> bool {
        self.open.is_none()
    }

    /// Takes the next record; answers a value when one is whole. Pieces without their beginning,
    /// which a reader sees that starts behind it, are dropped.
    pub fn push(&mut self, record: Bytes) -> Option<Bytes> {
        let (mark, bytes) = (*record.first()?, record.slice(1..));
        match mark {
            WHOLE => {
                self.open = None;
                Some(bytes)
            }
            FIRST => {
                self.open = Some(BytesMut::from(&bytes[..]));
                None
            }
            MIDDLE => {
                self.open.as_mut()?.put_slice(&bytes);
                None
            }
            LAST => {
                let mut value = self.open.take()?;
                value.put_slice(&bytes);
                Some(value.freeze())
            }
            _ => None,
        }
    }
}
