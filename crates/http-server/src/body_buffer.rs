//! Contiguous memory that grows with a body.

use std::io;

use memmap2::{Advice, MmapMut};

/// Bodies up to this size lie on the heap.
const MAX_HEAP_BYTES: usize = 64 * 1024;
/// Size of the first mapping of a body whose length is not known.
const FIRST_MAPPING_BYTES: usize = 256 * 1024;
/// Factor by which the mapping of a body whose length is not known grows.
const GROWTH: usize = 4;

/// The bytes of a body so far.
///
/// A large body lies in a mapping of its own. Its pages take memory only once they are written, and return to the operating
/// system as soon as the body is dropped; on the heap, freed bodies would stay with the process.
#[derive(Debug)]
pub(crate) enum BodyBuffer {
    Heap(Vec<u8>),
    Mapped { mapping: MmapMut, length: usize },
}

impl BodyBuffer {
    pub(crate) fn new() -> Self {
        Self::Heap(Vec::new())
    }

    pub(crate) fn len(&self) -> usize {
        match self {
            Self::Heap(bytes) => bytes.len(),
            Self::Mapped { length, .. } => *length,
        }
    }

    /// Appends bytes. `expected` is the length of the whole body if it is known, and `max` the length that it may have.
    ///
    /// # Errors
    ///
    /// If the operating system gives no more memory.
    pub(crate) fn append(
        &mut self,
        bytes: &[u8],
        expected: Option<usize>,
        max: usize,
    ) -> io::Result<()> {
        let needed = self.len() + bytes.len();
        self.reserve(needed, expected, max)?;
        match self {
            Self::Heap(heap) => heap.extend_from_slice(bytes),
            Self::Mapped { mapping, length } => {
                mapping[*length..needed].copy_from_slice(bytes);
                *length = needed;
            }
        }
        Ok(())
    }

    fn reserve(&mut self, needed: usize, expected: Option<usize>, max: usize) -> io::Result<()> {
        let capacity = match self {
            Self::Heap(_) => MAX_HEAP_BYTES,
            Self::Mapped { mapping, .. } => mapping.len(),
        };
        if needed <= capacity {
            return Ok(());
        }
        let grown = (capacity * GROWTH).max(FIRST_MAPPING_BYTES).min(max);
        let mut mapping = MmapMut::map_anon(expected.unwrap_or(grown).max(needed))?;
        // Best effort: with huge pages, a mapping takes more memory than was written to it.
        let _ = mapping.advise(Advice::NoHugePage);
        let length = self.len();
        mapping[..length].copy_from_slice(self.as_ref());
        *self = Self::Mapped { mapping, length };
        Ok(())
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Mapped { mapping, length } => &mapping[..*length],
        }
    }
}
