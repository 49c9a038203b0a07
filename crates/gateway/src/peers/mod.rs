//! Questions about batches between nodes: a caller's question that reaches a node which does not run the batch is
//! passed to the one that does, which has the batch in memory.
//!
//! The asking node falls back to the log whenever no answer comes, and takes "there is none" from nobody else. The
//! answering node confirms what it knows as for its own callers, so nothing depends on who holds a batch's lease.

mod answers;
mod client;
mod questions;
mod server;

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use tokio::sync::Semaphore;

pub(crate) use questions::{OwnerEndOutcome, end, item_body, results};
pub use server::serve;

use client::PeerLinks;

/// Questions that are answered at a time, those that wait for a result among them.
const MOST_QUESTIONS: usize = 64;
/// Questions that this node asks at a time for its callers; others go to the log. Each may bring a page of 1 MB.
const MOST_ASKED: usize = 32;
/// Kilobytes of answers that are on their way at a time, two of the longest pages: 0.4 s of a link of 45 Mbit/s.
const MOST_ANSWER_KB: usize = 2_048;

/// Other nodes that run batches, and what this one answers them.
pub struct Peers {
    own_address: OnceLock<SocketAddr>,
    links: PeerLinks,
    asked: Semaphore,
    questions: Arc<Semaphore>,
    /// Kilobytes of answers that may still be sent.
    answer_kb: Arc<Semaphore>,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            own_address: OnceLock::new(),
            links: PeerLinks::default(),
            asked: Semaphore::new(MOST_ASKED),
            questions: Arc::new(Semaphore::new(MOST_QUESTIONS)),
            answer_kb: Arc::new(Semaphore::new(MOST_ANSWER_KB)),
        }
    }
}

impl Peers {
    /// Where this node answers others; `None` if it does not.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.own_address.get().copied()
    }

    /// This node answers others at an address.
    pub fn set_own_address(&self, address: SocketAddr) {
        // Set once: a node starts once.
        let _ = self.own_address.set(address);
    }
}
