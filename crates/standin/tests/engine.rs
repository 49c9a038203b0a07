//! The engine client against the engine stand-in.

mod support;

use havenstage_emulator::EngineSettings;
use havenstage_platform::engine::{EngineClient, EngineError};
use havenstage_standin::engine::EngineMisbehaviour;
use havenstage_types::ids::{FencingToken, VersionNumber};

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
