//! Timeouts and conditions under which a request is sent.

use std::time::Duration;

use havenstage_clock::Instant;

use crate::silence::MIN_SILENCE_TIMEOUT;

/// Timeouts and conditions under which a request is sent.
#[derive(Debug, Clone, Copy)]
pub struct SendOptions {
    pub(crate) timeout: Duration,
    pub(crate) write_by: Option<Instant>,
    pub(crate) answer_delay: Duration,
    pub(crate) active_since: Option<Instant>,
    pub(crate) aborts_when_silent: bool,
    pub(crate) min_silence_timeout: Duration,
}

impl SendOptions {
    /// Options with a timeout for the head of the answer, and no other conditions.
    pub fn within(timeout: Duration) -> Self {
        Self {
            timeout,
            write_by: None,
            answer_delay: Duration::ZERO,
            active_since: None,
            aborts_when_silent: false,
            min_silence_timeout: MIN_SILENCE_TIMEOUT,
        }
    }

    /// Sets the moment after which the request is no longer written, but fails with
    /// [`LinkError::TooLate`](crate::LinkError::TooLate).
    pub fn write_deadline(mut self, moment: Instant) -> Self {
        self.write_by = Some(moment);
        self
    }

    /// Says that the request asks the server to wait for `wait` before it answers. Until then, a missing answer does
    /// not count as silence.
    pub fn expect_answer_after(mut self, wait: Duration) -> Self {
        self.answer_delay = wait;
        self
    }

    /// Uses an idle connection only if it received something at or after `moment`. For callers that have an unanswered
    /// request since then: a connection that has been idle since may have fallen silent for the same reason.
    pub fn over_connection_active_since(mut self, moment: Instant) -> Self {
        self.active_since = Some(moment);
        self
    }

    /// Ends the exchange with [`LinkError::Silent`](crate::LinkError::Silent) as soon as its connection is found
    /// silent. Without this option the exchange waits for its full timeout, as a request must that may run only once.
    pub fn abort_when_silent(mut self) -> Self {
        self.aborts_when_silent = true;
        self
    }

    /// Sets the minimum time without data after which a reused connection counts as silent, for requests that are
    /// expensive to repeat.
    pub fn min_silence_timeout(mut self, timeout: Duration) -> Self {
        self.min_silence_timeout = timeout;
        self
    }
}
