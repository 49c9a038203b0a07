//! A back end's process starts again under the name that it had, and entries that nobody known wrote.

mod support;

use std::sync::Arc;

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::backend::BackendChange;
use havenstage_rollout::ids::{BackendId, BackendName, ModelName};
use support::backend::StandInBackend;
use support::caller::{call, submit, wait_for_results};
use support::deployment::{APPLICATIONS, Deployment, ENGINES, TestNode, listed, wait_until};
use support::dialect::write_batch;
use support::ends::{count_known_ends, end_on_harmful_requests};

/// The entry of a life that started at a moment.
fn life(backend: &StandInBackend, pool: &str, started_at: u64) -> DirectoryEntry {
    let DirectoryEntry::Backend(BackendChange { name, record }) = listed(backend, pool, false)
    else {
        unreachable!("a back end's entry")
    };
    let record = record.map(|mut record| {
        record.started_at = Some(started_at);
        record
    });
    DirectoryEntry::Backend(BackendChange { name, record })
}

async fn knows_life(node: &TestNode, id: &str) {
    wait_until("the life is listed", || {
        let backends = node.context().backends.lock();
        backends.list.get(&BackendId::from(id)).is_some()
    })
    .await;
}

#[tokio::test]
async fn calls_name_the_back_end_without_its_life() {
    let deployment = Deployment::start(0, 0).await;
    let backend = StandInBackend::start("application").await;
    let log = &deployment.log;
    log.write_backends(life(&backend, APPLICATIONS, 100));
    let node = deployment.node_with_known_backends("a", 1).await;
    assert_eq!(call(node.callers, "one", "/calls/a").await.status, 200);
    assert_eq!(backend.seen()[0].header("x-expected"), Some("application"));
    let next = StandInBackend::start("application").await;
    backend.end();
    log.write_backends(life(&next, APPLICATIONS, 200));
    knows_life(&node, "application@200").await;
    assert_eq!(call(node.callers, "two", "/calls/a").await.status, 200);
    assert_eq!(next.seen().len(), 1);
}

/// What was known of the life before says nothing of the next one: it has an old version again, though the former
/// life was seen with a newer one.
#[tokio::test]
async fn the_next_life_is_ordered_to_load_the_version_again() {
    let deployment = Deployment::start(0, 0).await;
    let engine = StandInBackend::start("engine").await;
    let log = &deployment.log;
    log.write_backends(life(&engine, ENGINES, 100));
    let node = deployment.node_with_known_backends("a", 1).await;
    let model = ModelName::from("model");
    log.write_operators(DirectoryEntry::NamedVersion { model, version: 2 });
    wait_until("the version is loaded", || engine.orders().len() == 1).await;
    let next: Arc<StandInBackend> = StandInBackend::start("engine").await;
    engine.end();
    log.write_backends(life(&next, ENGINES, 200));
    wait_until("its next life loads it too", || next.orders().len() == 1).await;
    let body = write_batch(2, &[("i1", "g")], false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    wait_for_results(node.callers, "batch", 1).await;
    assert_eq!(next.runs().len(), 1);
}

#[tokio::test]
async fn an_entry_that_cannot_be_read_names_nobody_and_hides_nobody() {
    let deployment = Deployment::start(1, 2).await;
    let node = deployment.node("a").await;
    let log = &deployment.log;
    log.write_backends(DirectoryEntry::UnreadableBackend(BackendName::from(
        "ghost",
    )));
    let spoilt = BackendName::from(deployment.applications[0].id.as_str());
    log.write_backends(DirectoryEntry::UnreadableBackend(spoilt));
    node.wait_until_known(2).await;
    for id in ["one", "two", "three"] {
        assert_eq!(call(node.callers, id, "/calls/a").await.status, 200);
    }
    assert_eq!(deployment.applications[1].seen().len(), 3);
    let fresh = deployment.node_with_known_backends("b", 2).await;
    assert_eq!(call(fresh.callers, "four", "/calls/a").await.status, 200);
    assert_eq!(deployment.applications[1].seen().len(), 4);
}

/// The next life of a back end answers under the name of the one that a request ended, before its entry is read. Its
/// answers took the end back: a harmful request was sent on 19 s after the third end under it, four times.
#[tokio::test]
async fn an_answer_of_the_next_life_does_not_take_an_end_back() {
    let deployment = Deployment::start(0, 0).await;
    let backend = StandInBackend::start("application").await;
    deployment
        .log
        .write_backends(life(&backend, APPLICATIONS, 100));
    let node = deployment.node_with_known_backends("a", 1).await;
    end_on_harmful_requests(std::slice::from_ref(&backend));
    call(node.callers, "harmful", "/calls/harmful").await;
    wait_until("the end is known", || count_known_ends(&node) == 1).await;
    let next = StandInBackend::start_at("application", backend.address).await;
    for id in ["one", "two", "three"] {
        assert_eq!(call(node.callers, id, "/calls/a").await.status, 200);
    }
    assert_eq!(next.seen().len(), 3);
    assert_eq!(count_known_ends(&node), 1);
}
