//! What the engine client makes of broken, late and malformed answers. The server here writes
//! bytes by script, so that each connection breaks at an exact place.

use std::time::Duration;

use futures::StreamExt;
use havenstage_edge::engine::{EngineClient, EngineError};
use havenstage_platform_http::engine::{CompletionChunk, CompletionRequest, OpenAiEngineClient};
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_types::engine::{EngineEndpoint, GenerateRequest, TokenChunk};
use havenstage_types::ids::{AttemptId, EngineName, NodeId, VersionNumber};
use havenstage_types::request::FinishReason;
use havenstage_types::resource::PriorityClass;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

const NOT_RUN: &str = "HTTP/1.1 503 Busy\r\nx-engine-not-run: true\r\ncontent-length: 0\r\n\r\n";
const UNAVAILABLE: &str = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
const SHORT_TIMEOUT_MS: u64 = 50;

fn request() -> GenerateRequest {
    GenerateRequest {
        attempt: AttemptId {
            node: NodeId(u64::MAX),
            sequence: 1,
        },
        subject: "tone/0/1".to_owned(),
        prompt: "when is it due".to_owned(),
        resume_tokens: vec![5],
        max_tokens: 9,
        class: PriorityClass::Training,
    }
}

fn chunk(finish: Option<FinishReason>) -> TokenChunk {
    TokenChunk {
        version: VersionNumber(3),
        tokens: vec![7, 8],
        log_probabilities: vec![-0.5, -0.25],
        text: " due today".to_owned(),
        finish,
        prompt_tokens: if finish.is_some() { 4 } else { 0 },
        cached_tokens: if finish.is_some() { 2 } else { 0 },
    }
}

fn event(finish: Option<FinishReason>) -> String {
    let json = serde_json::to_string(&CompletionChunk::from(chunk(finish))).unwrap();
    format!("data: {json}\n\n")
}

/// Reads one request whole; every request here has a JSON body that ends with `}`.
async fn read_request(connection: &mut TcpStream) {
    let mut seen = Vec::new();
    while !seen.ends_with(b"}") {
        assert_ne!(connection.read_buf(&mut seen).await.unwrap(), 0);
    }
}

/// Serves one connection: for each answer it reads a request and writes the answer. Then it
/// closes, after reading one more request if told so. It returns whether a request came on another
/// connection after that.
async fn serve(listener: TcpListener, answers: Vec<String>, read_one_more: bool) -> bool {
    let (mut connection, _) = listener.accept().await.unwrap();
    for answer in answers {
        read_request(&mut connection).await;
        connection.write_all(answer.as_bytes()).await.unwrap();
    }
    if read_one_more {
        read_request(&mut connection).await;
    }
    drop(connection);
    let sent_again = async {
        let (mut connection, _) = listener.accept().await.unwrap();
        connection.read_u8().await.is_ok()
    };
    tokio::time::timeout(Duration::from_millis(SHORT_TIMEOUT_MS), sent_again)
        .await
        .unwrap_or(false)
}

/// Lets the client put its connection back into the pool.
async fn let_connection_become_idle() {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}

struct Scripted {
    client: OpenAiEngineClient,
    engine: EngineEndpoint,
    server: JoinHandle<bool>,
}

async fn scripted(answers: Vec<String>, read_one_more: bool) -> Scripted {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let engine = EngineEndpoint {
        name: EngineName::new("engine-1"),
        address: listener.local_addr().unwrap(),
    };
    let client = OpenAiEngineClient::new(HttpClient::new(HttpClientSettings::default()));
    let server = tokio::spawn(serve(listener, answers, read_one_more));
    Scripted {
        client,
        engine,
        server,
    }
}

/// All items of the stream that the scripted body gives.
async fn stream_of(body: &str) -> Vec<Result<TokenChunk, EngineError>> {
    let scripted = scripted(vec![format!("{STREAM_HEAD}{body}")], false).await;
    let chunks = scripted.client.generate(&scripted.engine, request()).await;
    chunks.unwrap().collect().await
}

#[tokio::test]
async fn a_pooled_connection_that_breaks_is_broken_and_the_request_is_not_sent_again() {
    let scripted = scripted(vec![NOT_RUN.to_owned()], true).await;
    let refused = scripted.client.generate(&scripted.engine, request()).await;
    assert_eq!(refused.err(), Some(EngineError::Rejected));
    let_connection_become_idle().await;
    let broken = scripted.client.generate(&scripted.engine, request()).await;
    assert_eq!(broken.err(), Some(EngineError::Broken));
    assert!(!scripted.server.await.unwrap());
}

#[tokio::test]
async fn a_refusal_without_the_not_run_header_proves_nothing() {
    let scripted = scripted(vec![UNAVAILABLE.to_owned()], false).await;
    let refused = scripted.client.generate(&scripted.engine, request()).await;
    assert_eq!(refused.err(), Some(EngineError::Broken));
}

#[tokio::test]
async fn a_stream_ends_with_its_finishing_chunk() {
    let finish = Some(FinishReason::Stop);
    let body = format!(
        "{}: comment\n\n{}data: [DONE]\n\n",
        event(None),
        event(finish)
    );
    assert_eq!(stream_of(&body).await, [Ok(chunk(None)), Ok(chunk(finish))]);
}

#[tokio::test]
async fn a_stream_that_ends_early_is_broken() {
    let cut = stream_of(&event(None)).await;
    assert_eq!(cut, [Ok(chunk(None)), Err(EngineError::Broken)]);
    let ended = stream_of(&format!("{}data: [DONE]\n\n", event(None))).await;
    assert_eq!(ended, [Ok(chunk(None)), Err(EngineError::Broken)]);
    let half_event = stream_of(&event(None)[..40]).await;
    assert_eq!(half_event, [Err(EngineError::Broken)]);
}

#[tokio::test]
async fn a_malformed_event_is_reported() {
    let malformed = stream_of("data: {\"choices\":[]}\n\n").await;
    assert_eq!(malformed, [Err(EngineError::Malformed)]);
}

#[tokio::test]
async fn a_silent_stream_is_broken_after_the_idle_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let engine = EngineEndpoint {
        name: EngineName::new("engine-1"),
        address: listener.local_addr().unwrap(),
    };
    let server = tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        read_request(&mut connection).await;
        connection.write_all(STREAM_HEAD.as_bytes()).await.unwrap();
        connection
    });
    let settings = HttpClientSettings {
        stream_idle_timeout_ms: SHORT_TIMEOUT_MS,
        ..HttpClientSettings::default()
    };
    let client = OpenAiEngineClient::new(HttpClient::new(settings));
    let chunks = client.generate(&engine, request()).await.unwrap();
    let connection = server.await.unwrap();
    let items: Vec<_> = chunks.collect().await;
    assert_eq!(items, [Err(EngineError::Broken)]);
    drop(connection);
}

#[test]
fn a_request_is_written_in_the_dialect() {
    let body = serde_json::to_string(&CompletionRequest::from(request())).unwrap();
    insta::assert_snapshot!(body, @r#"{"prompt":"when is it due","max_tokens":9,"stream":true,"attempt":{"node":18446744073709551615,"sequence":1},"subject":"tone/0/1","resume_tokens":[5],"priority":"training"}"#);
    let back: CompletionRequest = serde_json::from_str(&body).unwrap();
    assert_eq!(GenerateRequest::from(back), request());
}

#[test]
fn a_chunk_is_written_in_the_dialect() {
    let last = CompletionChunk::from(chunk(Some(FinishReason::Length)));
    insta::assert_snapshot!(serde_json::to_string(&last).unwrap(), @r#"{"object":"text_completion","choices":[{"index":0,"text":" due today","finish_reason":"length"}],"weight_version":3,"token_ids":[7,8],"log_probabilities":[-0.5,-0.25],"usage":{"prompt_tokens":4,"cached_tokens":2}}"#);
    assert_eq!(
        last.into_token_chunk(),
        Some(chunk(Some(FinishReason::Length)))
    );
}
