//! Writes an engine's output as a stream of server-sent events, or as one whole answer.

use std::io;

use bytes::Bytes;
use futures::{Stream, stream};
use havenstage_types::engine::TokenChunk;
use havenstage_types::request::FinishReason;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::dialect::{CompletionChunk, STREAM_END, headers};

/// The engine ended the output before its last chunk.
#[derive(Debug, Error)]
#[error("the engine broke the output off")]
pub(super) struct BrokenOff;

/// State with which the event stream of an execution starts.
#[derive(Debug, Clone, Copy)]
pub(super) struct EventStart {
    /// Number of events that the reader already has.
    pub(super) resumed_from: u32,
    /// Weight version in the headers of the response. An event carries a version only when it changes.
    pub(super) version: u64,
    /// Whether an end event follows the last token.
    pub(super) has_end_mark: bool,
}

struct EventWriter {
    output: Option<UnboundedReceiver<TokenChunk>>,
    last_id: u32,
    version: u64,
    has_end_mark: bool,
}

/// Turns the output into events, one for each token. If the output ends before its last chunk, the stream
/// fails and the connection is closed.
pub(super) fn events(
    output: UnboundedReceiver<TokenChunk>,
    start: EventStart,
) -> impl Stream<Item = Result<Bytes, io::Error>> {
    let writer = EventWriter {
        output: Some(output),
        last_id: start.resumed_from,
        version: start.version,
        has_end_mark: start.has_end_mark,
    };
    stream::unfold(writer, |mut writer| async move {
        let event = writer.next().await?;
        Some((event, writer))
    })
}

impl EventWriter {
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        let output = self.output.as_mut()?;
        let Some(chunk) = output.recv().await else {
            self.output = None;
            return Some(Err(io::Error::other(BrokenOff)));
        };
        let is_last = chunk.finish.is_some();
        let mut text = match self.event(&chunk) {
            Ok(text) => text,
            Err(error) => return Some(Err(error)),
        };
        if is_last {
            self.output = None;
            if self.has_end_mark {
                text.push_str(&end_mark(self.last_id + 1));
            }
        }
        Some(Ok(Bytes::from(text)))
    }

    fn event(&mut self, chunk: &TokenChunk) -> Result<String, io::Error> {
        self.last_id += 1;
        let id = self.last_id;
        let finish = chunk.finish.map(finish_reason);
        let completion = CompletionChunk::with_text(chunk.text.clone(), finish);
        let data = serde_json::to_string(&completion)?;
        let version = chunk.version.0;
        let mut text = String::new();
        if version != self.version {
            self.version = version;
            text = format!("{}: {version}\n", headers().weight_version);
        }
        Ok(text + &format!("id: {id}\ndata: {data}\n\n"))
    }
}

/// Returns the event that ends a stream.
pub(super) fn end_mark(id: u32) -> String {
    format!("id: {id}\ndata: {STREAM_END}\n\n")
}

/// Collects the output into one answer, with the weight versions that generated it.
pub(super) async fn collect_answer(
    mut output: UnboundedReceiver<TokenChunk>,
) -> Result<CompletionChunk, BrokenOff> {
    let (mut text, mut versions) = (String::new(), Vec::new());
    while let Some(chunk) = output.recv().await {
        text.push_str(&chunk.text);
        if versions.last() != Some(&chunk.version.0) {
            versions.push(chunk.version.0);
        }
        if let Some(finish) = chunk.finish {
            let mut answer = CompletionChunk::with_text(text, Some(finish_reason(finish)));
            answer.weight_versions = versions;
            return Ok(answer);
        }
    }
    Err(BrokenOff)
}

fn finish_reason(finish: FinishReason) -> String {
    match finish {
        FinishReason::Stop => "stop".to_owned(),
        FinishReason::Length => "length".to_owned(),
    }
}
