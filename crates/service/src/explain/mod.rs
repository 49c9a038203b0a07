//! Explains what happened to a request, a sample, a batch, an engine or a model: the node's decisions with
//! their inputs, and the records in the log.

mod decisions;
mod logged;
mod writer;

use serde::{Deserialize, Serialize};

pub use decisions::{Decision, DecisionRecords, Subject};
pub(crate) use logged::read as read_log;
pub use logged::{LoggedBatch, LoggedRecord};
pub use writer::RecordingWriter;

/// Everything that the node and the log know about a subject.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The subject as the operator wrote it.
    pub subject: String,
    /// Decisions of the node about the subject, the oldest first.
    pub decisions: Vec<Decision>,
    /// Number of decisions, on any subject, that the node has dropped because its memory for them is
    /// bounded.
    pub decisions_forgotten: u64,
    /// Log records of the subject's batch; `None` if it has no batch or the log holds no record of it.
    pub logged: Option<LoggedBatch>,
}
