//! Troubles that concern all nodes at once, or the meaning of what they know: stops in turn, reused
//! addresses, dropped history.

mod support;

use std::time::Duration;

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::backend::BackendChange;
use support::caller::{call, results, submit, wait_for_results};
use support::deployment::{APPLICATIONS, Deployment, ENGINES, listed, wait_until};
use support::dialect::write_batch;
use support::log::LogFaults;

const ITEMS: [(&str, &str); 4] = [("i1", "g1"), ("i2", "g1"), ("i3", "g2"), ("i4", "g2")];

/// Every node is stopped once while a batch runs; each is replaced before the next one stops.
#[tokio::test]
async fn stops_of_all_nodes_in_turn_lose_nothing() {
    let deployment = Deployment::start(2, 1).await;
    for engine in &deployment.engines {
        engine.behave(|told| told.event_pause = Duration::from_millis(400));
    }
    let mut nodes = vec![deployment.node("a").await, deployment.node("b").await];
    let body = write_batch(1, &ITEMS, false);
    assert_eq!(submit(nodes[0].callers, "batch", &body).await, 202);
    for name in ["c", "d"] {
        let next = deployment.node(name).await;
        let leaving = nodes.remove(0);
        let address = leaving.callers;
        let answer = tokio::spawn(async move { call(address, "amid-stop", "/calls/c").await });
        wait_until("the call has come", || {
            let seen = deployment.applications[0].seen();
            seen.iter()
                .any(|seen| seen.header("x-id") == Some("amid-stop"))
        })
        .await;
        leaving.stop().await;
        assert_eq!(answer.await.unwrap().status, 200);
        nodes.push(next);
    }
    let lines = wait_for_results(nodes[0].callers, "batch", ITEMS.len()).await;
    assert!(
        lines.iter().all(|line| line.contains("|completed|")),
        "{lines:?}"
    );
}

/// A back end is gone and its address serves another pool. Nodes that have not heard of it yet send
/// their items there, but name the one they mean, so that they don't run.
#[tokio::test]
async fn a_reused_address_runs_nothing_meant_for_its_former_holder() {
    let deployment = Deployment::start(2, 1).await;
    let node = deployment.node("a").await;
    let application = deployment.applications[0].clone();
    // The engine is said to be where the application is.
    let DirectoryEntry::Backend(BackendChange { record, .. }) =
        listed(&application, ENGINES, false)
    else {
        unreachable!("a back end's entry")
    };
    let id = deployment.engines[0].id.as_str().into();
    let moved = DirectoryEntry::Backend(BackendChange { id, record });
    deployment.log.write_backends(moved);
    wait_until("the node knows the new address", || {
        let backends = node.context().backends.lock();
        let record = backends.list.get(&deployment.engines[0].id.as_str().into());
        record.is_some_and(|record| record.address == application.address)
    })
    .await;
    let body = write_batch(1, &ITEMS, false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    wait_for_results(node.callers, "batch", ITEMS.len()).await;
    assert!(application.runs().is_empty(), "{:?}", application.runs());
    assert_eq!(deployment.engines[1].runs().len(), ITEMS.len());
    let answer = call(node.callers, "call", "/calls/c").await;
    assert_eq!(answer.status, 200, "{APPLICATIONS} still serve");
}

/// A node was away while records that it has not read were dropped. It goes on with the first record
/// that is kept, and serves what was handed in since.
#[tokio::test]
async fn a_reader_that_fell_behind_dropped_history_goes_on() {
    let deployment = Deployment::start(2, 1).await;
    let (first, second) = (deployment.node("a").await, deployment.node("b").await);
    let body = write_batch(1, &ITEMS, false);
    second.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    assert_eq!(submit(first.callers, "old", &body).await, 202);
    wait_for_results(first.callers, "old", ITEMS.len()).await;
    for view in &first.context().partitions {
        deployment.log.drop_history(view.id);
    }
    let body = write_batch(1, &[("n1", "g1"), ("n2", "g1")], false);
    assert_eq!(submit(first.callers, "new", &body).await, 202);
    second.set_faults(LogFaults::default());
    let lines = wait_for_results(second.callers, "new", 2).await;
    assert_eq!(lines, results(first.callers, "new", 0).await.1);
    assert_eq!(results(first.callers, "old", 0).await.1.len(), ITEMS.len());
}
