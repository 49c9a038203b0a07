//! Bounds the memory held by answers of back ends that are being received.
//!
//! An answer is forwarded only once it is whole. A back end in trouble may send bodies without end over all its connections;
//! each alone is cut at the maximum length, but many together would exceed the memory of the node. So all answers in
//! progress together hold at most a share of it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use havenstage_http_link::{Answer, LinkError, WholeAnswer};
use log::warn;

/// Share of a node's memory that answers in progress may hold.
const MEMORY_SHARE: f64 = 0.25;
/// Answers up to this size are received in any case: the buffers of a connection are of that order.
const MAX_UNCOUNTED_BYTES: usize = 64 * 1024;
/// Maximum size of an answer's body.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// The memory held by answers that are being received.
#[derive(Debug)]
pub struct ReceivedAnswers {
    max_bytes: usize,
    held_bytes: AtomicUsize,
}

impl ReceivedAnswers {
    /// Creates the count for a node with `memory_bytes` of memory.
    pub fn new(memory_bytes: u64) -> Arc<Self> {
        Arc::new(Self {
            max_bytes: (memory_bytes as f64 * MEMORY_SHARE) as usize,
            held_bytes: AtomicUsize::new(0),
        })
    }

    /// Receives an answer whole.
    ///
    /// # Errors
    ///
    /// [`LinkError::TooLong`] if the body is longer than allowed, or if all answers in progress hold too much memory;
    /// otherwise as [`Answer::whole_if`].
    pub(crate) async fn receive(&self, answer: Answer) -> Result<WholeAnswer, LinkError> {
        let mut share = MemoryShare::new(self);
        let received = answer.whole_if(|length| share.grow_to(length)).await;
        if received
            .as_ref()
            .is_err_and(|error| *error == LinkError::TooLong)
        {
            warn!(event = "answer_too_long", read_bytes = share.length,
                held_bytes = self.held_bytes.load(Ordering::Relaxed); "");
        }
        received
    }
}

/// The memory that one answer holds, until it is dropped.
struct MemoryShare<'a> {
    answers: &'a ReceivedAnswers,
    length: usize,
}

impl<'a> MemoryShare<'a> {
    fn new(answers: &'a ReceivedAnswers) -> Self {
        Self { answers, length: 0 }
    }

    /// Counts the answer with this length; false if that is too much.
    fn grow_to(&mut self, length: usize) -> bool {
        if length > MAX_ANSWER_BYTES {
            return false;
        }
        let more = length.saturating_sub(self.length);
        let held = self.answers.held_bytes.fetch_add(more, Ordering::Relaxed) + more;
        self.length += more;
        length <= MAX_UNCOUNTED_BYTES || held <= self.answers.max_bytes
    }
}

impl Drop for MemoryShare<'_> {
    fn drop(&mut self) {
        let held = &self.answers.held_bytes;
        held.fetch_sub(self.length, Ordering::Relaxed);
    }
}
