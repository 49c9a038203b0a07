//! Whole and streamed answers in the OpenAI dialect, from an answer stream made up here.

use axum::response::{IntoResponse, Sse};
use havenstage_http_api::answer_stream::{collect, events};
use havenstage_http_api::error::ApiError;
use havenstage_http_api::headers::versions_value;
use havenstage_http_api::openai::{AnswerHead, ChatMessage, Dialect, flatten_chat};
use havenstage_node::node::AnswerStream;
use havenstage_types::ids::{EngineName, RequestId, VersionNumber};
use havenstage_types::refusal::{Refusal, RefusalReason};
use havenstage_types::request::{AnswerEvent, AnswerSummary, FinishReason};
use havenstage_types::version::VersionSegments;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

type Step = Result<AnswerEvent, Refusal>;

fn text(text: &str) -> Step {
    Ok(AnswerEvent::Text {
        text: text.to_owned(),
        token_count: 1,
    })
}

fn summary() -> AnswerSummary {
    let mut segments = VersionSegments::default();
    segments.push(VersionNumber(7), 1);
    segments.push(VersionNumber(8), 1);
    AnswerSummary {
        engine: EngineName::new("engine-1"),
        segments,
        finish: FinishReason::Stop,
        prompt_tokens: 3,
    }
}

fn finished() -> Step {
    Ok(AnswerEvent::Finished(summary()))
}

fn engine_failed() -> Step {
    let reason = RefusalReason::EngineFailed(EngineName::new("engine-1"));
    Err(Refusal::unknown(reason))
}

fn stream_of(steps: Vec<Step>) -> AnswerStream {
    let (sender, receiver) = mpsc::channel(steps.len().max(1));
    for step in steps {
        sender.try_send(step).expect("the channel has room");
    }
    receiver
}

fn head(dialect: Dialect) -> AnswerHead {
    AnswerHead {
        id: RequestId::new("r-1"),
        object: dialect.object(true),
        created: 0,
        model: "pool".to_owned(),
    }
}

async fn streamed(dialect: Dialect, steps: Vec<Step>) -> String {
    let events = events(stream_of(steps), dialect, head(dialect));
    let body = Sse::new(events).into_response().into_body();
    let bytes = body.collect().await.expect("a whole body").to_bytes();
    String::from_utf8(bytes.to_vec()).expect("text")
}

#[tokio::test]
async fn a_whole_stream_ends_with_the_versions_and_done() {
    let body = streamed(Dialect::Completion, vec![text("a"), finished()]).await;
    insta::assert_snapshot!(body.trim_end(), @r#"
    data: {"id":"r-1","object":"text_completion","created":0,"model":"pool","choices":[{"index":0,"text":"a","finish_reason":null}]}

    data: {"id":"r-1","object":"text_completion","created":0,"model":"pool","choices":[{"index":0,"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5},"havenstage":{"segments":[{"version":7,"first_token":0,"token_count":1},{"version":8,"first_token":1,"token_count":1}],"engine":"engine-1","finish":"stop"}}

    data: [DONE]
    "#);
}

#[tokio::test]
async fn a_chat_chunk_carries_a_delta() {
    let body = streamed(Dialect::Chat, vec![text("a"), finished()]).await;
    let chunk = r#""choices":[{"index":0,"delta":{"role":"assistant","content":"a"}"#;
    assert!(body.contains(chunk), "{body}");
}

#[tokio::test]
async fn a_failed_stream_ends_with_an_error_event_and_without_done() {
    let body = streamed(Dialect::Chat, vec![text("a"), engine_failed(), text("b")]).await;
    insta::assert_snapshot!(body.trim_end().split_once("\n\n").expect("two events").1, @r#"
    event: error
    data: {"error":{"code":"engine_failed","message":"engine engine-1 failed","execution":"unknown","retry_after_ms":null}}
    "#);
}

#[tokio::test]
async fn a_stream_without_a_last_event_is_never_passed_off_as_whole() {
    let body = streamed(Dialect::Completion, vec![text("a")]).await;
    assert!(body.contains("answer_cut_off"));
    assert!(!body.contains("[DONE]"));
    let whole = collect(stream_of(vec![text("a")])).await;
    assert_eq!(whole, Err(ApiError::AnswerCutOff));
}

#[tokio::test]
async fn a_collected_answer_has_all_text_in_order() {
    let whole = collect(stream_of(vec![text("a"), text("b"), finished()]))
        .await
        .expect("a whole answer");
    assert_eq!(whole.text, "ab");
    assert_eq!(versions_value(&whole.summary.segments), "7=1,8=1");
}

#[test]
fn a_chat_is_flattened_to_lines() {
    let messages = r#"[
        {"role":"system","content":"be kind"},
        {"role":"user","content":[{"type":"text","text":"hel"},{"type":"text","text":"lo"}]}
    ]"#;
    let messages: Vec<ChatMessage> = serde_json::from_str(messages).expect("messages");
    let prompt = flatten_chat(&messages).expect("a prompt");
    assert_eq!(prompt, "system: be kind\nuser: hello\nassistant:");
}
