//! What a sender says about a request besides the request itself.

use std::time::Duration;

use havenstage_clock::Instant;

use crate::silence::LEAST_PATIENCE;

/// How a request is to be sent.
#[derive(Debug, Clone, Copy)]
pub struct SendOptions {
    pub(crate) timeout: Duration,
    pub(crate) write_by: Option<Instant>,
    pub(crate) answer_after: Duration,
    pub(crate) heard_since: Option<Instant>,
    pub(crate) ends_when_silent: bool,
    pub(crate) least_patience: Duration,
}

impl SendOptions {
    /// The head of the answer must come within a time.
    pub fn within(timeout: Duration) -> Self {
        Self {
            timeout,
            write_by: None,
            answer_after: Duration::ZERO,
            heard_since: None,
            ends_when_silent: false,
            least_patience: LEAST_PATIENCE,
        }
    }

    /// Nothing of the request may be written after a moment.
    pub fn write_deadline(mut self, moment: Instant) -> Self {
        self.write_by = Some(moment);
        self
    }

    /// The server is asked to wait so long before it answers; its silence until then says nothing.
    pub fn expect_answer_after(mut self, wait: Duration) -> Self {
        self.answer_after = wait;
        self
    }

    /// A kept connection is used only if it was heard from since a moment: something that was sent then
    /// has no answer, and a connection that rested since may have fallen silent with it.
    pub fn over_connection_active_since(mut self, moment: Instant) -> Self {
        self.heard_since = Some(moment);
        self
    }

    /// The exchange ends with [`LinkError::Silent`](crate::LinkError::Silent) as soon as its connection
    /// is seen to be silent. Without this its answer is awaited to the end of its time: right for a request
    /// that may run once only.
    pub fn abort_when_silent(mut self) -> Self {
        self.ends_when_silent = true;
        self
    }

    /// A kept connection counts as silent only after so long, where sending again is dear.
    pub fn min_silence_timeout(mut self, least: Duration) -> Self {
        self.least_patience = least;
        self
    }
}
