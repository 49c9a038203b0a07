//! Back ends whose process restarts under the same name, and directory entries that cannot be read.

mod support;

use std::sync::Arc;

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::backend::BackendChange;
use havenstage_rollout::ids::{BackendId, BackendName, ModelName};
use support::backend::StandInBackend;
use support::caller::{call, submit, wait_for_results};
use support::deployment::{APPLICATIONS, Deployment, ENGINES, TestNode, listed, wait_until};
use support::dialect::write_batch;
use support::ends::{MAX_ENDS, count_ended, count_known_ends, end_on_harmful_requests};

/// The directory entry of an incarnation that started at `started_at`, in milliseconds since the Unix epoch.
fn incarnation_entry(backend: &StandInBackend, pool: &str, started_at: u64) -> DirectoryEntry {
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

async fn wait_until_listed(node: &TestNode, id: &str) {
    wait_until("the incarnation is listed", || {
        let backends = node.context().backends.lock();
        backends.list.get(&BackendId::from(id)).is_some()
    })
    .await;
}

#[tokio::test]
async fn calls_name_the_back_end_without_its_incarnation() {
    let deployment = Deployment::start(0, 0).await;
    let backend = StandInBackend::start("application").await;
    let log = &deployment.log;
    log.write_backends(incarnation_entry(&backend, APPLICATIONS, 100));
    let node = deployment.node_with_known_backends("a", 1).await;
    assert_eq!(call(node.callers, "one", "/calls/a").await.status, 200);
    assert_eq!(backend.seen()[0].header("x-expected"), Some("application"));
    let next = StandInBackend::start("application").await;
    backend.end();
    log.write_backends(incarnation_entry(&next, APPLICATIONS, 200));
    wait_until_listed(&node, "application@200").await;
    assert_eq!(call(node.callers, "two", "/calls/a").await.status, 200);
    assert_eq!(next.seen().len(), 1);
}

/// The versions of an earlier incarnation don't count for the next one, which starts with an old version again although
/// the earlier one had loaded a newer version.
#[tokio::test]
async fn the_next_incarnation_is_ordered_to_load_the_version_again() {
    let deployment = Deployment::start(0, 0).await;
    let engine = StandInBackend::start("engine").await;
    let log = &deployment.log;
    log.write_backends(incarnation_entry(&engine, ENGINES, 100));
    let node = deployment.node_with_known_backends("a", 1).await;
    let model = ModelName::from("model");
    log.write_operators(DirectoryEntry::NamedVersion { model, version: 2 });
    wait_until("the version is loaded", || engine.orders().len() == 1).await;
    let next: Arc<StandInBackend> = StandInBackend::start("engine").await;
    engine.end();
    log.write_backends(incarnation_entry(&next, ENGINES, 200));
    wait_until("the next incarnation loads it too", || {
        next.orders().len() == 1
    })
    .await;
    let body = write_batch(2, &[("i1", "g")], false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    wait_for_results(node.callers, "batch", 1).await;
    assert_eq!(next.runs().len(), 1);
}

/// No back end is listed under the name of an unreadable entry, and the other back ends stay listed.
#[tokio::test]
async fn an_unreadable_entry_affects_no_other_back_end() {
    let deployment = Deployment::start(1, 2).await;
    let node = deployment.node("a").await;
    let log = &deployment.log;
    log.write_backends(DirectoryEntry::UnreadableBackend(BackendName::from(
        "ghost",
    )));
    let unreadable = BackendName::from(deployment.applications[0].id.as_str());
    log.write_backends(DirectoryEntry::UnreadableBackend(unreadable));
    node.wait_until_known(2).await;
    for id in ["one", "two", "three"] {
        assert_eq!(call(node.callers, id, "/calls/a").await.status, 200);
    }
    assert_eq!(deployment.applications[1].seen().len(), 3);
    let fresh = deployment.node_with_known_backends("b", 2).await;
    assert_eq!(call(fresh.callers, "four", "/calls/a").await.status, 200);
    assert_eq!(deployment.applications[1].seen().len(), 4);
}

/// The next incarnation of a back end that a request ended answers under the same name before its entry is read. If
/// such an answer retracted the end, a harmful request would be sent on: in one case four times, 19 s after the third
/// end under it.
#[tokio::test]
async fn an_answer_of_the_next_incarnation_does_not_retract_an_end() {
    let deployment = Deployment::start(0, 0).await;
    let backend = StandInBackend::start("application").await;
    deployment
        .log
        .write_backends(incarnation_entry(&backend, APPLICATIONS, 100));
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

/// A back end restarts under its name and address before its next entry is read, and a harmful request ends it again.
/// If that end were recorded under the former incarnation, where the request has one already, it would not count: the
/// request would be sent on without limit, and harmless requests that end there later would have no known cause.
#[tokio::test]
async fn an_end_of_an_incarnation_that_is_not_listed_yet_counts() {
    let deployment = Deployment::start(0, 0).await;
    let mut incarnations = vec![StandInBackend::start("application").await];
    let address = incarnations[0].address;
    let entry = incarnation_entry(&incarnations[0], APPLICATIONS, 100);
    deployment.log.write_backends(entry);
    let node = deployment.node_with_known_backends("a", 1).await;
    for number in 0..=MAX_ENDS {
        end_on_harmful_requests(&incarnations);
        call(node.callers, &format!("try-{number}"), "/calls/harmful").await;
        if incarnations.last().is_some_and(|last| last.has_ended()) {
            wait_until("an end is known", || count_known_ends(&node) > 0).await;
            incarnations.push(StandInBackend::start_at("application", address).await);
        }
    }
    let ended = count_ended(&incarnations);
    assert!(ended <= MAX_ENDS, "{ended} incarnations ended");
    assert_eq!(count_known_ends(&node), ended, "each end is known");
}
