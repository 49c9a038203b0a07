//! One execution on an engine, as the engine itself records it.

use havenstage_emulator::content;
use havenstage_history::event::EventBody;
use havenstage_history::event::engine::{
    AttemptLabel, ExecutionEnded, ExecutionId, ExecutionOutcome, ExecutionStarted, Subject,
};
use havenstage_history::fingerprint::Fingerprint;
use havenstage_types::engine::{GenerateRequest, TokenChunk};
use havenstage_types::version::VersionSegments;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::engines::SentChunk;

/// An execution that has not ended.
#[derive(Debug)]
pub(super) struct RunningExecution {
    id: ExecutionId,
    resumed_tokens: usize,
    tokens: Vec<u32>,
    text: String,
    segments: VersionSegments,
    stream: mpsc::UnboundedSender<SentChunk>,
}

impl RunningExecution {
    pub(super) fn new(
        id: ExecutionId,
        request: &GenerateRequest,
        stream: mpsc::UnboundedSender<SentChunk>,
    ) -> Self {
        Self {
            id,
            resumed_tokens: request.resume_tokens.len(),
            tokens: request.resume_tokens.clone(),
            text: content::text_of(&request.resume_tokens),
            segments: VersionSegments::default(),
            stream,
        }
    }

    /// The event of its beginning.
    pub(super) fn started(&self, request: &GenerateRequest) -> EventBody {
        let resumed = &request.resume_tokens;
        EventBody::ExecutionStarted(ExecutionStarted {
            execution: self.id.clone(),
            attempt: AttemptLabel(request.attempt.to_string()),
            subject: Subject::from_text(&request.subject),
            prompt: Fingerprint::of_text(&request.prompt),
            resumed_tokens: u32::try_from(resumed.len()).unwrap_or(u32::MAX),
            resumed: (!resumed.is_empty()).then(|| Fingerprint::of_tokens(resumed)),
        })
    }

    /// Notes a chunk and sends it to the client; `false` when the client has gone.
    pub(super) fn put_out(&mut self, chunk: TokenChunk) -> bool {
        let token_count = u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX);
        self.segments.push(chunk.version, token_count);
        self.tokens.extend_from_slice(&chunk.tokens);
        self.text.push_str(&chunk.text);
        self.stream.send((Instant::now(), chunk)).is_ok()
    }

    /// The event of its end.
    pub(super) fn ended(self, outcome: ExecutionOutcome, with_tokens: bool) -> EventBody {
        let produced = with_tokens.then(|| self.tokens[self.resumed_tokens..].to_vec());
        EventBody::ExecutionEnded(ExecutionEnded {
            execution: self.id,
            outcome,
            segments: self.segments,
            text: Fingerprint::of_text(&self.text),
            tokens: Fingerprint::of_tokens(&self.tokens),
            produced,
        })
    }
}
