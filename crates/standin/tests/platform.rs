//! The machine list, scorer and weight store with their clients.

use std::time::Duration;

use bytes::Bytes;
use havenstage_edge::machine_list::{
    Machine, MachineList, MachineListError, MachineRole, MachineState,
};
use havenstage_edge::scorer::{ScoreRequest, Scorer, ScorerError};
use havenstage_edge::weight_store::{WeightStore, WeightStoreError};
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_platform_http::machine_list::HttpMachineList;
use havenstage_platform_http::scorer::HttpScorer;
use havenstage_platform_http::weight_store::{HttpWeightStore, version_path};
use havenstage_standin::machine_list::{
    MachineChange, MachineListMisbehaviour, MachineListSettings, MachineListStandin,
};
use havenstage_standin::scorer::{ScorerMisbehaviour, ScorerSettings, ScorerStandin};
use havenstage_standin::weight_store::{
    TokenBucket, WeightStoreMisbehaviour, WeightStoreSettings, WeightStoreStandin,
};
use havenstage_types::ids::{JobName, ModelName, SampleId, StepNumber, VersionNumber};
use tokio::net::TcpListener;
use tokio::time::Instant;

async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

fn http_client() -> HttpClient {
    HttpClient::new(HttpClientSettings::default())
}

fn machine(port: u16) -> Machine {
    Machine {
        role: MachineRole::Engine,
        address: ([127, 0, 0, 1], port).into(),
        state: MachineState::Live,
    }
}

#[tokio::test]
async fn the_machine_list_shows_changes_unless_frozen() {
    let settings = MachineListSettings {
        lag_ms: 0,
        machines: vec![machine(1), machine(2)],
    };
    let standin = MachineListStandin::start(listener().await, settings)
        .await
        .unwrap();
    let list = HttpMachineList::new(http_client(), standin.address());
    assert_eq!(list.machines().await, Ok(vec![machine(1), machine(2)]));
    standin.misbehave(MachineListMisbehaviour::Freeze);
    let leaving = Machine {
        state: MachineState::Leaving,
        ..machine(1)
    };
    standin.state().change(MachineChange::SetState {
        address: leaving.address,
        state: MachineState::Leaving,
    });
    let address = machine(2).address;
    standin.state().change(MachineChange::Remove { address });
    assert_eq!(list.machines().await, Ok(vec![machine(1), machine(2)]));
    standin.misbehave(MachineListMisbehaviour::Behave);
    assert_eq!(list.machines().await, Ok(vec![leaving]));
    standin.misbehave(MachineListMisbehaviour::Unavailable);
    assert_eq!(list.machines().await, Err(MachineListError::Unavailable));
}

#[tokio::test]
async fn the_same_text_gets_the_same_reward() {
    let standin = ScorerStandin::start(listener().await, ScorerSettings::default())
        .await
        .unwrap();
    let scorer = HttpScorer::new(http_client(), standin.address());
    let request = ScoreRequest {
        sample: SampleId {
            job: JobName::new("tone"),
            step: StepNumber(3),
            index: 4,
        },
        prompt: "prompt".to_owned(),
        text: " please thanks".to_owned(),
    };
    let first = scorer.score(request.clone()).await.unwrap();
    assert!((0.0..=1.0).contains(&first));
    assert_eq!(scorer.score(request.clone()).await, Ok(first));
    assert_eq!(standin.record().scored["tone/3/4"], 2);
    standin.misbehave(ScorerMisbehaviour::Unavailable);
    assert_eq!(scorer.score(request).await, Err(ScorerError::Unavailable));
}

#[tokio::test]
async fn the_weight_store_limits_requests() {
    let settings = WeightStoreSettings {
        requests_per_second: 1e-6,
        request_burst: 3.0,
        ..WeightStoreSettings::default()
    };
    let standin = WeightStoreStandin::start(listener().await, settings)
        .await
        .unwrap();
    let store = HttpWeightStore::new(http_client(), standin.address());
    let model = ModelName::new("tone");
    let version = VersionNumber(7);
    assert_eq!(store.exists(&model, version).await, Ok(false));
    let path = version_path(&model, version);
    let weights = Bytes::from_static(b"weights");
    let stored = http_client()
        .put(standin.address(), &path, weights)
        .await
        .unwrap();
    assert!(stored.status.is_success());
    assert_eq!(store.exists(&model, version).await, Ok(true));
    let limited = store.exists(&model, version).await;
    assert_eq!(limited, Err(WeightStoreError::RateLimited));
    assert_eq!(standin.record().rate_limited, 1);
    standin.misbehave(WeightStoreMisbehaviour::Unavailable);
    let unavailable = store.exists(&model, version).await;
    assert_eq!(unavailable, Err(WeightStoreError::Unavailable));
}

#[test]
fn a_token_bucket_never_gives_more_than_burst_and_rate_allow() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let mut bucket = TokenBucket::new(10.0, 5.0, start);
    assert!(bucket.try_take(5.0, start));
    assert!(!bucket.try_take(1.0, start));
    assert!(bucket.try_take(5.0, start + second));
    let mut bytes = TokenBucket::new(10.0, 5.0, start);
    assert_eq!(bytes.take_later(5.0, start), start);
    assert_eq!(bytes.take_later(10.0, start), start + second);
    assert_eq!(bytes.take_later(10.0, start), start + 2 * second);
    assert_eq!(
        bytes.take_later(1.0, start + 10 * second),
        start + 10 * second
    );
}
