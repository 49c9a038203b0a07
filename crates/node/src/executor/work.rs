//! Work to be run on an engine, live or training.

use std::time::Duration;

use havenstage_types::ids::{PoolName, VersionNumber};
use havenstage_types::resource::PriorityClass;
use tokio::time::Instant;

use super::progress::Progress;

/// Bytes of text per token, for estimating a prompt's length before an engine has counted it.
const BYTES_PER_TOKEN: usize = 4;

/// One piece of work, the same over all its executions.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    /// Request id or sample id as text.
    pub(crate) subject: String,
    pub(crate) pool: PoolName,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) class: PriorityClass,
    pub(crate) deadline: Instant,
    /// Longest wait in an engine's queue.
    pub(crate) queue_patience: Duration,
    /// Oldest version it may run on.
    pub(crate) oldest_version: Option<VersionNumber>,
    /// Whether it is among the last samples of its step.
    pub(crate) straggler: bool,
}

impl Work {
    /// Time it may wait in a queue now.
    pub(crate) fn patience(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        self.queue_patience.min(left)
    }

    /// Whether it may no longer be dispatched.
    pub(crate) fn is_too_late(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Estimated tokens to be held before the first new one.
    pub(crate) fn context_tokens(&self, progress: &Progress) -> u32 {
        let prompt = self.prompt.len().div_ceil(BYTES_PER_TOKEN);
        u32::try_from(prompt + progress.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Tokens that may still be generated.
    pub(crate) fn remaining_tokens(&self, progress: &Progress) -> u32 {
        let done = u32::try_from(progress.tokens.len()).unwrap_or(u32::MAX);
        self.max_tokens.saturating_sub(done).max(1)
    }
}
