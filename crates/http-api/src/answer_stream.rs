//! Turns a node's answer stream into a whole answer or into server-sent events.

use std::convert::Infallible;

use axum::response::sse::Event;
use futures::{Stream, StreamExt, stream};
use havenstage_node::node::AnswerStream;
use havenstage_types::refusal::Refusal;
use havenstage_types::request::{AnswerEvent, WholeAnswer};
use serde::Serialize;

use crate::error::ApiError;
use crate::openai::{AnswerBody, AnswerHead, Dialect};

/// Marks the end of a whole stream. A stream without it is not whole.
const DONE: &str = "[DONE]";
/// Name of the event that ends a failed stream.
const ERROR_EVENT: &str = "error";

/// Reads the answer to its end.
pub async fn collect(mut answer: AnswerStream) -> Result<WholeAnswer, ApiError> {
    let mut text = String::new();
    loop {
        match answer.recv().await {
            Some(Ok(AnswerEvent::Text { text: more, .. })) => text.push_str(&more),
            Some(Ok(AnswerEvent::Finished(summary))) => return Ok(WholeAnswer { text, summary }),
            Some(Err(refusal)) => return Err(refusal.into()),
            None => return Err(ApiError::AnswerCutOff),
        }
    }
}

/// Server-sent events of an answer: chunks, then either the last chunk and `[DONE]`, or an error
/// event and nothing more.
pub fn events(
    answer: AnswerStream,
    dialect: Dialect,
    head: AnswerHead,
) -> impl Stream<Item = Result<Event, Infallible>> {
    let batches = stream::unfold(Some(answer), move |answer| {
        let head = head.clone();
        async move {
            let mut answer = answer?;
            let (events, is_last) = next_events(answer.recv().await, dialect, &head);
            let rest = (!is_last).then_some(answer);
            Some((stream::iter(events), rest))
        }
    });
    batches.flatten().map(Ok)
}

/// Events for one step of the answer, and whether it was the last step.
fn next_events(
    step: Option<Result<AnswerEvent, Refusal>>,
    dialect: Dialect,
    head: &AnswerHead,
) -> (Vec<Event>, bool) {
    match step {
        Some(Ok(AnswerEvent::Text { text, .. })) => {
            (vec![data_event(&dialect.chunk(head, text))], false)
        }
        Some(Ok(AnswerEvent::Finished(summary))) => {
            let last_chunk = data_event(&dialect.last_chunk(head, &summary));
            (vec![last_chunk, Event::default().data(DONE)], true)
        }
        Some(Err(refusal)) => (vec![error_event(&refusal.into())], true),
        None => (vec![error_event(&ApiError::AnswerCutOff)], true),
    }
}

fn error_event(error: &ApiError) -> Event {
    json_event(Event::default().event(ERROR_EVENT), &error.body())
}

fn data_event(body: &AnswerBody) -> Event {
    json_event(Event::default(), body)
}

fn json_event<T: Serialize>(event: Event, body: &T) -> Event {
    event
        .json_data(body)
        .unwrap_or_else(|error| Event::default().event(ERROR_EVENT).data(error.to_string()))
}
