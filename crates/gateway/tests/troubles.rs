//! Failures that affect all nodes or invalidate what they know: rolling restarts, reused addresses, records that the
//! log has dropped, and appends or reads that fail for a while.

mod support;

use std::sync::Arc;
use std::time::Duration;

use havenstage_gateway::edge::{Dialect, DirectoryEntry, SharedLog};
use havenstage_rollout::backend::BackendChange;
use havenstage_rollout::framing;
use havenstage_rollout::ids::RunId;
use havenstage_rollout::record::{BatchRecord, GiveUpReason, Outcome};
use havenstage_rollout::stored::Stored;
use http::Method;
use support::caller::{call, results, send, submit, wait_for_results};
use support::deployment::{APPLICATIONS, Deployment, ENGINES, listed, wait_until};
use support::dialect::{HOST, TestDialect, write_batch};
use support::log::{LogFaults, NodeLog};

const ITEMS: [(&str, &str); 4] = [("i1", "g1"), ("i2", "g1"), ("i3", "g2"), ("i4", "g2")];

/// Every node is stopped once while a batch runs, and is replaced before the next one stops.
#[tokio::test]
async fn a_rolling_restart_of_all_nodes_loses_no_results() {
    let deployment = Deployment::start(2, 1).await;
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.event_pause = Duration::from_millis(400));
    }
    let mut nodes = vec![deployment.node("a").await, deployment.node("b").await];
    let body = write_batch(1, &ITEMS, false);
    assert_eq!(submit(nodes[0].callers, "batch", &body).await, 202);
    for name in ["c", "d"] {
        let next = deployment.node(name).await;
        let leaving = nodes.remove(0);
        let address = leaving.callers;
        let answer = tokio::spawn(async move { call(address, "amid-stop", "/calls/c").await });
        wait_until("the call has arrived", || {
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

/// A back end is gone and another pool now uses its address. Nodes that do not know this yet send their items there,
/// but each request names the intended back end, so that the items do not run.
#[tokio::test]
async fn a_reused_address_runs_no_items_meant_for_its_previous_back_end() {
    let deployment = Deployment::start(2, 1).await;
    let node = deployment.node("a").await;
    let application = deployment.applications[0].clone();
    // Lists the engine at the address of the application.
    let DirectoryEntry::Backend(BackendChange { record, .. }) =
        listed(&application, ENGINES, false)
    else {
        unreachable!("a back end's entry")
    };
    let name = deployment.engines[0].id.as_str().into();
    let moved = DirectoryEntry::Backend(BackendChange { name, record });
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

/// While a node cannot reach the log, the log drops records that the node has not read. The node continues with the
/// first record that is kept, and serves the batches that were submitted since.
#[tokio::test]
async fn a_node_whose_unread_records_were_dropped_continues() {
    let deployment = Deployment::start(2, 1).await;
    let (first, second) = (deployment.node("a").await, deployment.node("b").await);
    let body = write_batch(1, &ITEMS, false);
    second.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    assert_eq!(submit(first.callers, "old", &body).await, 202);
    wait_for_results(first.callers, "old", ITEMS.len()).await;
    for view in first.context().partitions.iter() {
        deployment.log.drop_history(view.id);
    }
    let body = write_batch(1, &[("n1", "g1"), ("n2", "g1")], false);
    assert_eq!(submit(first.callers, "new", &body).await, 202);
    second.set_faults(LogFaults::default());
    let lines = wait_for_results(second.callers, "new", 2).await;
    assert_eq!(lines, results(first.callers, "new", 0).await.1);
    assert_eq!(results(first.callers, "old", 0).await.1.len(), ITEMS.len());
}

/// A node has read the beginning of a batch when the record of its first result is dropped. The node cannot know the
/// position of the results that it reads then, so it lists none of them: another node has listed the first result at
/// position 0, and positions never change. It does not answer that the batch is unknown either, as it cannot tell:
/// it refuses the call, so that the reader asks another node.
#[tokio::test]
async fn a_node_that_missed_a_result_lists_no_later_ones() {
    let deployment = Deployment::start(0, 0).await;
    let node = deployment.node("a").await;
    let partition = node.context().partition_of(&"batch".into()).id;
    let log = NodeLog::new(&deployment.log);
    let write = async |record: BatchRecord| {
        let records = framing::split(&record.encode(), 512);
        log.append(partition, records).await.unwrap();
    };
    let body = write_batch(1, &ITEMS, false);
    let submission =
        TestDialect::new().read_submission("batch".into(), HOST, "/batches/b", body.as_bytes());
    write(BatchRecord::Submitted {
        submission: Arc::new(submission.unwrap()),
        owner: None,
    })
    .await;
    assert_eq!(results(node.callers, "batch", 0).await, (200, Vec::new()));
    // Longer than a node follows a partition after a question about one of its batches.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    write(given_up("i1")).await;
    deployment.log.drop_history(partition);
    write(given_up("i2")).await;
    let (status, lines) = results(node.callers, "batch", 0).await;
    assert!(lines.is_empty(), "{status} {lines:?}");
    assert_eq!(status, 503);
}

fn given_up(item: &str) -> BatchRecord {
    BatchRecord::Finished {
        batch: "batch".into(),
        item: item.into(),
        run: RunId(1),
        resumed_from: 0,
        events: 0,
        outcome: Outcome::GivenUp(GiveUpReason::TooLate),
    }
}

/// Items end while the log refuses appends. Once it accepts them again, the results are appended and listed, and no
/// item runs a second time.
#[tokio::test]
async fn items_that_end_while_the_log_refuses_appends_run_once() {
    let deployment = Deployment::start(2, 1).await;
    let node = deployment.node("a").await;
    let body = write_batch(1, &ITEMS, false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    node.set_faults(LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    });
    wait_until("all items ran", || runs(&deployment) >= ITEMS.len()).await;
    // Longer than a node may take to see an appended end.
    tokio::time::sleep(Duration::from_millis(5_000)).await;
    node.set_faults(LogFaults {
        read_delay: Duration::from_millis(150),
        ..LogFaults::default()
    });
    let lines = wait_for_results(node.callers, "batch", ITEMS.len()).await;
    assert!(
        lines.iter().all(|line| line.contains("|completed|")),
        "{lines:?}"
    );
    assert_eq!(runs(&deployment), ITEMS.len());
}

/// An owner learns of the end of its batch late, as the log answers slowly. It must not send items once the end is in
/// force.
#[tokio::test]
async fn an_owner_with_outdated_knowledge_sends_no_items() {
    const MANY_ITEMS: usize = 60;
    let deployment = Deployment::start(1, 1).await;
    let (owner, other) = (deployment.node("a").await, deployment.node("b").await);
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_millis(400));
    let names: Vec<String> = (0..MANY_ITEMS).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "g")).collect();
    let body = write_batch(1, &items, false);
    assert_eq!(submit(owner.callers, "batch", &body).await, 202);
    wait_until("items run", || runs(&deployment) > 0).await;
    owner.set_faults(LogFaults {
        read_delay: Duration::from_secs(20),
        ..LogFaults::default()
    });
    let ended = send(other.callers, Method::DELETE, "/results/batch", &[], "")
        .await
        .unwrap();
    assert_eq!(ended.status, 200);
    let in_force = owner.context().settings.bounds.end_in_force_ms;
    tokio::time::sleep(Duration::from_millis(in_force)).await;
    let before = runs(&deployment);
    assert!(
        before < MANY_ITEMS,
        "all items ran before the end was in force"
    );
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(runs(&deployment), before);
}

/// Runs of items on engines, including repeated ones.
fn runs(deployment: &Deployment) -> usize {
    let engines = deployment.engines.iter();
    engines.flat_map(|engine| engine.runs().into_values()).sum()
}
