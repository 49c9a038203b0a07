//! What the executions of one piece of work have produced so far.

use havenstage_types::engine::TokenChunk;
use havenstage_types::ids::VersionNumber;
use havenstage_types::job::Placement;
use havenstage_types::request::FinishReason;
use havenstage_types::version::VersionSegments;

/// Tokens so far, with the versions that produced them. A later execution resumes from here.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress {
    pub(crate) tokens: Vec<u32>,
    pub(crate) log_probabilities: Vec<f32>,
    pub(crate) text: String,
    pub(crate) segments: VersionSegments,
    pub(crate) prompt_tokens: u32,
    pub(crate) finish: Option<FinishReason>,
    /// Where the last execution ran.
    pub(crate) placement: Option<Placement>,
}

impl Progress {
    /// Number of tokens so far.
    pub(crate) fn token_count(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Version of the first token.
    pub(crate) fn first_version(&self) -> Option<VersionNumber> {
        self.segments.0.first().map(|segment| segment.version)
    }

    /// Adds a chunk.
    pub(crate) fn add(&mut self, chunk: &TokenChunk) {
        let token_count = u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX);
        self.segments.push(chunk.version, token_count);
        self.tokens.extend_from_slice(&chunk.tokens);
        self.log_probabilities
            .extend_from_slice(&chunk.log_probabilities);
        self.text.push_str(&chunk.text);
        self.prompt_tokens = self.prompt_tokens.max(chunk.prompt_tokens);
        self.finish = chunk.finish;
    }
}
