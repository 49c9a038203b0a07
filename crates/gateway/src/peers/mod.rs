//! Questions about batches between nodes. A node that receives a caller's question about a batch that it does not run
//! passes the question to the batch owner, which has the batch in memory.
//!
//! The asking node falls back to the log whenever no answer comes, and only the log can tell it that something does not
//! exist. The answering node confirms its knowledge with the log as it does for its own callers, so the correctness of
//! an answer does not depend on who holds the lease of the batch.

mod answers;
mod client;
mod questions;
mod server;

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use havenstage_http_server::BodyMemory;
use tokio::sync::Semaphore;

pub(crate) use questions::{OwnerEndOutcome, end, item_body, results};
pub use server::serve;

use client::PeerLinks;

/// Questions that this node answers at a time, including those that wait for a result.
const MAX_INCOMING_QUESTIONS: usize = 64;
/// Questions that this node asks at a time for its callers; further ones are answered from the log. Each answer may
/// be a page of 1 MB.
const MAX_OUTGOING_QUESTIONS: usize = 32;
/// Bytes of questions that this node receives at a time: one of the longest from each of the most connections.
const MAX_QUESTION_MEMORY: usize = 4 * 1024 * 1024;
/// Kilobytes of answers in flight at a time: two of the longest pages, which take 0.4 s on a link of 45 Mbit/s.
const MAX_ANSWER_KB: usize = 2_048;

/// Connections to other nodes that run batches, and the limits on questions asked and answered.
pub struct Peers {
    /// Where this node answers others; unset if it does not.
    own_address: OnceLock<SocketAddr>,
    links: PeerLinks,
    /// Permits for questions to other nodes.
    outgoing: Semaphore,
    /// Memory of questions from other nodes.
    questions: Arc<BodyMemory>,
    /// Permits for questions from other nodes.
    incoming: Arc<Semaphore>,
    /// Permits for answers to other nodes, one for each kilobyte.
    answer_kb_permits: Arc<Semaphore>,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            own_address: OnceLock::new(),
            links: PeerLinks::default(),
            outgoing: Semaphore::new(MAX_OUTGOING_QUESTIONS),
            questions: BodyMemory::new(MAX_QUESTION_MEMORY),
            incoming: Arc::new(Semaphore::new(MAX_INCOMING_QUESTIONS)),
            answer_kb_permits: Arc::new(Semaphore::new(MAX_ANSWER_KB)),
        }
    }
}

impl Peers {
    /// The address at which this node answers other nodes; `None` if it does not.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.own_address.get().copied()
    }

    /// Sets the address at which this node answers other nodes, as they can reach it.
    pub fn set_own_address(&self, address: SocketAddr) {
        // A node starts once, so the address is never set before.
        let _ = self.own_address.set(address);
    }
}
