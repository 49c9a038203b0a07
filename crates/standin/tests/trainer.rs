//! The trainer against a small node that serves ready samples.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use havenstage_standin::Running;
use havenstage_standin::trainer::{
    AcknowledgeRequest, PublishRequest, TrainerMisbehaviour, TrainerSettings, TrainerStandin,
};
use havenstage_types::ids::{
    AttemptId, EngineName, JobName, LogOffset, NodeId, SampleId, StepNumber, VersionNumber,
};
use havenstage_types::job::{DeliveredSample, Placement, Sample, SampleBatch};
use havenstage_types::resource::PolicyName;
use havenstage_types::version::VersionSegments;
use serde::Deserialize;
use tokio::net::TcpListener;

/// Address where nothing listens.
const NO_NODE: &str = "127.0.0.1:1";
const SAMPLES_PER_STEP: u64 = 3;
const STEPS: u64 = 2;

/// What the node was told.
#[derive(Debug, Default)]
struct Told {
    acknowledged: Vec<(u64, AcknowledgeRequest)>,
    published: Vec<PublishRequest>,
    requests_to_fail: u32,
    /// Whether the samples of both steps alternate in the stream, as they do when both are open.
    alternate: bool,
}

type Node = Arc<Mutex<Told>>;

#[derive(Deserialize)]
struct PullQuery {
    cursor: u64,
    max: usize,
}

fn delivered(step: u64, index: u64, alternate: bool) -> DeliveredSample {
    let mut segments = VersionSegments::default();
    segments.push(VersionNumber(step), 2);
    let offset = if alternate {
        index * STEPS + step
    } else {
        step * SAMPLES_PER_STEP + index
    };
    let sample = Sample {
        id: SampleId {
            job: JobName::new("tone"),
            step: StepNumber(step),
            index: index as u32,
        },
        attempt: AttemptId {
            node: NodeId(1),
            sequence: offset,
        },
        prompt_index: 0,
        text: " please".to_owned(),
        tokens: vec![1, 2],
        log_probabilities: Vec::new(),
        reward: 0.5,
        segments,
        placement: Placement {
            engine: EngineName::new("engine-1"),
            policy: PolicyName::Random,
            node: NodeId(1),
        },
    };
    DeliveredSample {
        offset: LogOffset(offset),
        sample,
    }
}

async fn samples(
    State(node): State<Node>,
    Path((_job, step)): Path<(String, u64)>,
    Query(query): Query<PullQuery>,
) -> Result<Json<SampleBatch>, StatusCode> {
    let mut told = node.lock().unwrap();
    if told.requests_to_fail > 0 {
        told.requests_to_fail -= 1;
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut samples: Vec<_> = (0..SAMPLES_PER_STEP)
        .map(|index| delivered(step, index, told.alternate))
        .filter(|sample| sample.offset.0 >= query.cursor)
        .collect();
    let step_complete = samples.len() <= query.max;
    samples.truncate(query.max);
    let next = samples
        .last()
        .map_or(query.cursor, |last| last.offset.0 + 1);
    Ok(Json(SampleBatch {
        samples,
        next_cursor: LogOffset(next),
        step_complete,
    }))
}

async fn acknowledge(
    State(node): State<Node>,
    Path((_job, step)): Path<(String, u64)>,
    Json(request): Json<AcknowledgeRequest>,
) {
    node.lock().unwrap().acknowledged.push((step, request));
}

async fn publish(State(node): State<Node>, Json(request): Json<PublishRequest>) -> StatusCode {
    node.lock().unwrap().published.push(request);
    StatusCode::CONFLICT
}

async fn start_node() -> (TcpListener, Router, Node) {
    let node = Node::default();
    let router = Router::new()
        .route("/v1/jobs/{job}/steps/{step}/samples", get(samples))
        .route("/v1/jobs/{job}/steps/{step}/ack", post(acknowledge))
        .route("/v1/models/{model}/versions", post(publish))
        .with_state(node.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    (listener, router, node)
}

/// Runs a trainer for two steps; the first node in its list does not exist.
async fn run(
    misbehaviour: TrainerMisbehaviour,
    prepare: impl FnOnce(&mut Told),
) -> (Running<TrainerStandin>, Node) {
    let (node_listener, router, node) = start_node().await;
    prepare(&mut node.lock().unwrap());
    let settings = TrainerSettings {
        job: JobName::new("tone"),
        nodes: vec![
            NO_NODE.parse().unwrap(),
            node_listener.local_addr().unwrap(),
        ],
        steps: Some(STEPS),
        training_ms: 1,
        retry_ms: 1,
        max_samples_per_pull: 2,
        ..TrainerSettings::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let trainer = TrainerStandin::start(listener, settings).await.unwrap();
    trainer.misbehave(misbehaviour);
    tokio::spawn(async move { axum::serve(node_listener, router).await });
    while !trainer.record().finished {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (trainer, node)
}

#[tokio::test]
async fn every_step_is_pulled_published_and_acknowledged_in_order() {
    let (trainer, node) = run(TrainerMisbehaviour::Behave, |node| {
        node.requests_to_fail = 3
    })
    .await;
    let record = trainer.record();
    let offsets: Vec<u64> = record
        .deliveries
        .iter()
        .map(|delivery| delivery.offset.0)
        .collect();
    assert_eq!(offsets, [0, 1, 2, 3, 4, 5]);
    let staleness: Vec<u64> = record
        .deliveries
        .iter()
        .map(|delivery| delivery.staleness)
        .collect();
    assert_eq!(staleness, [1; 6]);
    let told = node.lock().unwrap();
    let published: Vec<u64> = told
        .published
        .iter()
        .map(|request| request.number.0)
        .collect();
    assert_eq!(published, [2, 3]);
    let acknowledged: Vec<(u64, u64)> = told
        .acknowledged
        .iter()
        .map(|(step, request)| (*step, request.version_in_use.0))
        .collect();
    assert_eq!(acknowledged, [(0, 2), (1, 3)]);
    assert!((0.0..=1.0).contains(&record.idle_share()));
}

#[tokio::test]
async fn samples_pulled_twice_are_no_conflict() {
    let (trainer, _node) = run(TrainerMisbehaviour::PullTwice, |_| {}).await;
    let record = trainer.record();
    assert_eq!(record.deliveries.len(), 12);
    assert!(record.conflicting_deliveries().is_empty());
    let mut conflicting = record.clone();
    conflicting.deliveries[3].attempt.sequence += 100;
    assert_eq!(conflicting.conflicting_deliveries().len(), 1);
}

#[tokio::test]
async fn samples_of_steps_that_are_open_together_are_all_pulled() {
    let (trainer, _node) = run(TrainerMisbehaviour::Behave, |node| node.alternate = true).await;
    let record = trainer.record();
    let offsets: Vec<u64> = record
        .deliveries
        .iter()
        .map(|delivery| delivery.offset.0)
        .collect();
    assert_eq!(offsets, [0, 2, 4, 1, 3, 5]);
}
