//! Why something happened to a request, a sample, a batch or an engine: what the node decided, with the
//! inputs of each decision, and what the log keeps.

mod decisions;
mod logged;
mod writer;

use serde::{Deserialize, Serialize};

pub use decisions::{Decision, DecisionRecords, Subject};
pub(crate) use logged::read as read_log;
pub use logged::{LoggedBatch, LoggedRecord};
pub use writer::RecordingWriter;

/// All that is known of a subject.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The subject.
    pub subject: String,
    /// What the node decided, the oldest first.
    pub decisions: Vec<Decision>,
    /// Decisions on any subject that are not kept any more.
    pub decisions_forgotten: u64,
    /// What the log keeps of the subject's batch, if it has one and the log still keeps it.
    pub logged: Option<LoggedBatch>,
}
