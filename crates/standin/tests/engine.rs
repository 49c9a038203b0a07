//! The engine client against the engine stand-in.

mod support;

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use havenstage_edge::engine::{EngineClient, EngineError};
use havenstage_emulator::settings::LengthDistribution;
use havenstage_emulator::{EngineSettings, ExecutionOutcome};
use havenstage_platform_http::engine::OpenAiEngineClient;
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_standin::engine::{EngineMisbehaviour, EngineStandinSettings};
use havenstage_standin::server::MISBEHAVE_PATH;
use havenstage_standin::weight_store::{WeightStoreSettings, WeightStoreStandin};
use havenstage_types::engine::GenerateRequest;
use havenstage_types::ids::{FencingToken, ModelName, VersionNumber};
use tokio::net::TcpListener;

use support::engines::{TestEngine, load_version, request};

fn instant(initial_version: Option<u64>) -> EngineSettings {
    EngineSettings {
        instant: true,
        initial_version,
        ..EngineSettings::default()
    }
}

#[tokio::test]
async fn an_engine_without_a_version_says_that_nothing_was_run() {
    let engine = TestEngine::start(instant(None)).await;
    assert_eq!(
        engine.generate(request(1)).await.err(),
        Some(EngineError::Rejected)
    );
}

#[tokio::test]
async fn an_instant_answer_streams_whole() {
    let engine = TestEngine::start(instant(Some(3))).await;
    let answer = engine.generate(request(1)).await.unwrap();
    assert!(answer.finish.is_some());
    assert_eq!(answer.versions(), [VersionNumber(3)]);
    assert!(!answer.tokens.is_empty());
}

#[tokio::test]
async fn an_order_with_a_lower_token_is_refused() {
    let engine = TestEngine::start(instant(Some(1))).await;
    let client = &engine.client;
    client
        .order(&engine.endpoint, load_version(20, 5))
        .await
        .unwrap();
    let refused = client.order(&engine.endpoint, load_version(19, 4)).await;
    let highest = FencingToken(20);
    assert_eq!(refused, Err(EngineError::Fenced { highest }));
    let repeated = client.order(&engine.endpoint, load_version(20, 5)).await;
    assert_eq!(repeated, Ok(()));
    let answer = engine.generate(request(1)).await.unwrap();
    assert_eq!(answer.versions(), [VersionNumber(5)]);
}

#[tokio::test]
async fn a_leaving_engine_refuses_new_requests_as_not_run() {
    let engine = TestEngine::start(instant(Some(1))).await;
    engine.running.misbehave(EngineMisbehaviour::Leave);
    assert_eq!(
        engine.generate(request(1)).await.err(),
        Some(EngineError::Rejected)
    );
    assert!(engine.running.record().executions.is_empty());
}

const POLL_PAUSE: Duration = Duration::from_millis(5);

/// Answers that last much longer than any test, so that no test depends on its own speed.
fn endless() -> EngineSettings {
    EngineSettings {
        initial_version: Some(1),
        output_length: LengthDistribution::Fixed { tokens: 200_000 },
        tokens_per_chunk: 1,
        load_report_lag_us: 0,
        ..EngineSettings::default()
    }
}

fn endless_request(sequence: u64) -> GenerateRequest {
    GenerateRequest {
        max_tokens: 200_000,
        ..request(sequence)
    }
}

async fn wait_for_outcome(engine: &TestEngine, outcome: ExecutionOutcome) {
    while engine.running.record().executions[0].outcome != outcome {
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

#[tokio::test]
async fn versions_change_in_the_middle_of_a_stream_after_a_fetch_from_the_store() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store = WeightStoreStandin::start(listener, WeightStoreSettings::default())
        .await
        .unwrap();
    let weights = Bytes::from(vec![1; 100_000]);
    store
        .state()
        .put(ModelName::new("tone"), VersionNumber(2), weights);
    let engine = TestEngine::start_with(EngineStandinSettings {
        engine: endless(),
        weight_store: Some(store.address()),
        ..EngineStandinSettings::default()
    })
    .await;
    let client = &engine.client;
    let mut chunks = client
        .generate(&engine.endpoint, endless_request(1))
        .await
        .unwrap();
    assert_eq!(
        chunks.next().await.unwrap().unwrap().version,
        VersionNumber(1)
    );
    client
        .order(&engine.endpoint, load_version(1, 2))
        .await
        .unwrap();
    while chunks.next().await.unwrap().unwrap().version != VersionNumber(2) {}
    assert_eq!(store.record().sent_bytes, 100_000);
    assert_eq!(engine.running.record().versions_loaded, [VersionNumber(2)]);
    client
        .order(&engine.endpoint, load_version(2, 3))
        .await
        .unwrap();
    while engine.running.record().failed_swaps != [VersionNumber(3)] {
        assert_eq!(
            chunks.next().await.unwrap().unwrap().version,
            VersionNumber(2)
        );
    }
}

#[tokio::test]
async fn a_cancelled_stream_ends_and_the_engine_stops() {
    let engine = TestEngine::start(endless()).await;
    let client = &engine.client;
    let mut chunks = client
        .generate(&engine.endpoint, endless_request(1))
        .await
        .unwrap();
    chunks.next().await.unwrap().unwrap();
    let attempt = endless_request(1).attempt;
    client.cancel(&engine.endpoint, attempt).await.unwrap();
    assert_eq!(client.cancel(&engine.endpoint, attempt).await, Ok(()));
    let record = &engine.running.record().executions[0];
    assert_eq!(record.outcome, ExecutionOutcome::Cancelled);
    let rest: Vec<_> = chunks.collect().await;
    assert_eq!(rest.last(), Some(&Err(EngineError::Broken)));
}

#[tokio::test]
async fn an_engine_stops_when_its_caller_is_gone() {
    let engine = TestEngine::start(endless()).await;
    let mut chunks = engine
        .client
        .generate(&engine.endpoint, endless_request(1))
        .await
        .unwrap();
    chunks.next().await.unwrap().unwrap();
    drop(chunks);
    wait_for_outcome(&engine, ExecutionOutcome::Cancelled).await;
}

#[tokio::test]
async fn a_crash_breaks_the_stream_and_the_engine_comes_back_empty() {
    let engine = TestEngine::start_with(EngineStandinSettings {
        engine: endless(),
        restart_ms: 20,
        ..EngineStandinSettings::default()
    })
    .await;
    let client = &engine.client;
    let first_boot = client.load(&engine.endpoint).await.unwrap().boot;
    let mut chunks = client
        .generate(&engine.endpoint, endless_request(1))
        .await
        .unwrap();
    chunks.next().await.unwrap().unwrap();
    engine.running.misbehave(EngineMisbehaviour::Crash);
    let rest: Vec<_> = chunks.collect().await;
    assert_eq!(rest.last(), Some(&Err(EngineError::Broken)));
    let mut report = client.load(&engine.endpoint).await;
    while report
        .as_ref()
        .map_or(true, |report| report.boot == first_boot)
    {
        tokio::time::sleep(POLL_PAUSE).await;
        report = client.load(&engine.endpoint).await;
    }
    assert_eq!(report.unwrap().version, Some(VersionNumber(1)));
    let record = engine.running.record();
    assert_eq!(record.boots.len(), 2);
    assert_eq!(record.executions[0].outcome, ExecutionOutcome::Crashed);
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    let engine = TestEngine::start(endless()).await;
    engine.running.gate().closed().await;
    let fresh_client = OpenAiEngineClient::new(HttpClient::new(HttpClientSettings::default()));
    let refused = fresh_client
        .generate(&engine.endpoint, endless_request(1))
        .await;
    assert_eq!(refused.err(), Some(EngineError::NotSent));
}

#[tokio::test]
async fn commands_are_taken_over_http() {
    let engine = TestEngine::start(endless()).await;
    let http_client = HttpClient::new(HttpClientSettings::default());
    for command in [
        EngineMisbehaviour::Slow { factor: 2.0 },
        EngineMisbehaviour::FailNextSwap,
        EngineMisbehaviour::Leave,
    ] {
        let address = engine.running.address();
        let answer = http_client
            .post(address, MISBEHAVE_PATH, &command)
            .await
            .unwrap();
        assert!(answer.status.is_success());
    }
    let report = engine.client.load(&engine.endpoint).await.unwrap();
    assert!(report.leaving);
}
