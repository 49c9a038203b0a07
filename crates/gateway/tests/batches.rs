//! Batches are accepted once, run completely, read with the same results at every node, and survive faults.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use http::Method;
use support::backend::CallBehaviour;
use support::caller::{results, send, submit, submit_to, text, wait_for_results};
use support::deployment::{Deployment, TestNode, wait_until};
use support::dialect::write_batch;
use support::log::LogFaults;

const ITEMS: [(&str, &str); 4] = [("i1", "g1"), ("i2", "g1"), ("i3", "g2"), ("i4", "g2")];

fn complete_text(item: &str) -> String {
    (1..=4)
        .map(|event| format!("{item}.{event}"))
        .collect::<Vec<_>>()
        .join("/")
}

fn assert_all_complete(lines: &[String]) {
    let items: BTreeSet<&str> = lines
        .iter()
        .map(|line| line.split('|').next().unwrap())
        .collect();
    assert_eq!(items.len(), ITEMS.len(), "{lines:?}");
    for line in lines {
        let fields: Vec<&str> = line.split('|').collect();
        assert_eq!(fields[1], "completed", "{line}");
        assert_eq!(fields[2], complete_text(fields[0]), "{line}");
    }
}

#[tokio::test]
async fn a_batch_has_the_same_results_at_every_node() {
    let deployment = Deployment::start(2, 1).await;
    let (first, second) = (deployment.node("a").await, deployment.node("b").await);
    assert_eq!(
        submit(first.callers, "batch", &write_batch(1, &ITEMS, true)).await,
        202
    );
    let lines = wait_for_results(second.callers, "batch", ITEMS.len()).await;
    assert_all_complete(&lines);
    assert!(
        lines
            .iter()
            .all(|line| line.ends_with("|signed by application-0")),
        "{lines:?}"
    );
    assert_eq!(
        wait_for_results(first.callers, "batch", ITEMS.len()).await,
        lines
    );
    assert_eq!(results(second.callers, "batch", 2).await.1, lines[2..]);
    let rewards = deployment.applications[0].seen();
    assert_eq!(rewards.len(), ITEMS.len(), "one reward call for each item");
}

#[tokio::test]
async fn a_batch_submitted_again_at_another_node_runs_once() {
    let deployment = Deployment::start(1, 1).await;
    let (first, second) = (deployment.node("a").await, deployment.node("b").await);
    let body = write_batch(1, &ITEMS, false);
    assert_eq!(submit(first.callers, "batch", &body).await, 202);
    assert_eq!(submit(second.callers, "batch", &body).await, 202);
    let lines = wait_for_results(second.callers, "batch", ITEMS.len()).await;
    assert_all_complete(&lines);
    assert!(deployment.engines[0].runs().values().all(|runs| *runs == 1));
}

#[tokio::test]
async fn invalid_batches_are_rejected_at_once_and_store_nothing() {
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    let twice = write_batch(1, &[("i1", "g"), ("i1", "g")], false);
    for body in [
        "no number",
        "1\n",
        "1\nan item with too few words",
        twice.as_str(),
    ] {
        assert_eq!(submit(node.callers, "bad", body).await, 400, "{body:?}");
    }
    assert_eq!(results(node.callers, "bad", 0).await.0, 404);
    let too_large = write_batch(1, &[("i1", &"g".repeat(70_000))], false);
    assert_eq!(submit(node.callers, "bad", &too_large).await, 413);
}

#[tokio::test]
async fn a_refused_batch_is_not_run() {
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    node.set_faults(LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    });
    assert_eq!(
        submit(node.callers, "batch", &write_batch(1, &ITEMS, false)).await,
        503
    );
    node.set_faults(LogFaults::default());
    assert_eq!(results(node.callers, "batch", 0).await.0, 404);
    assert!(deployment.engines[0].seen().is_empty());
}

/// An append without an answer may have been done, so the gateway must not answer that the batch was not run.
#[tokio::test]
async fn a_lost_answer_of_the_log_is_reported_as_unknown() {
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    node.set_faults(LogFaults {
        loses_answers: true,
        ..LogFaults::default()
    });
    assert_eq!(
        submit(node.callers, "batch", &write_batch(1, &ITEMS, false)).await,
        504
    );
    node.set_faults(LogFaults::default());
    let lines = wait_for_results(node.callers, "batch", ITEMS.len()).await;
    assert_all_complete(&lines);
}

#[tokio::test]
async fn a_node_that_cannot_read_the_log_does_not_answer_not_found() {
    let deployment = Deployment::start(1, 1).await;
    let (first, cut) = (deployment.node("a").await, deployment.node("b").await);
    cut.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(
        submit(first.callers, "batch", &write_batch(1, &ITEMS, false)).await,
        202
    );
    assert_eq!(results(cut.callers, "batch", 0).await.0, 503);
    assert_eq!(results(cut.callers, "unknown", 0).await.0, 503);
    cut.set_faults(LogFaults::default());
    assert_eq!(results(cut.callers, "unknown", 0).await.0, 404);
}

#[tokio::test]
async fn item_bodies_can_be_read_until_the_batch_ends() {
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_secs(30));
    assert_eq!(
        submit(node.callers, "batch", &write_batch(1, &ITEMS, false)).await,
        202
    );
    let body = send(node.callers, Method::GET, "/results/batch?item=i2", &[], "")
        .await
        .unwrap();
    assert_eq!(
        (body.status.as_u16(), text(&body).as_str()),
        (200, "body of i2")
    );
    for _ in 0..2 {
        let ended = send(node.callers, Method::DELETE, "/results/batch", &[], "")
            .await
            .unwrap();
        assert_eq!(ended.status, 200);
    }
    let view = node.context().partition_of(&"batch".into());
    wait_until("the end is known", || {
        view.lock()
            .state
            .batch(&"batch".into())
            .is_some_and(|batch| batch.ended)
    })
    .await;
    let body = send(node.callers, Method::GET, "/results/batch?item=i2", &[], "")
        .await
        .unwrap();
    assert_eq!(body.status, 404);
}

#[tokio::test]
async fn a_broken_stream_is_resumed_without_gap_or_repetition() {
    let deployment = Deployment::start(2, 1).await;
    let node = deployment.node("a").await;
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.breaks_after = Some(1));
    }
    assert_eq!(
        submit(node.callers, "batch", &write_batch(1, &ITEMS, false)).await,
        202
    );
    assert_all_complete(&wait_for_results(node.callers, "batch", ITEMS.len()).await);
}

/// A run that is resumed after the last event of its stream has no output left: the back end's answer names no weight
/// version, and must not be taken for an answer from outdated weights.
#[tokio::test]
async fn an_answer_to_a_complete_run_without_a_version_changes_no_known_version() {
    let deployment = Deployment::start(2, 1).await;
    let node = deployment.node("a").await;
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.breaks_after = Some(support::backend::EVENTS));
    }
    assert_eq!(
        submit(node.callers, "batch", &write_batch(1, &ITEMS, false)).await,
        202
    );
    assert_all_complete(&wait_for_results(node.callers, "batch", ITEMS.len()).await);
    for id in ["engine-0", "engine-1"] {
        let version = node
            .context()
            .backends
            .lock()
            .version(&id.into(), &"model".into());
        assert_eq!(version, 1, "{id} is still known to have version 1");
    }
}

#[tokio::test]
async fn an_engine_with_outdated_weights_runs_no_items() {
    let deployment = Deployment::start(2, 1).await;
    let node = deployment.node("a").await;
    deployment.engines[1].behave(|behaviour| behaviour.version = 2);
    assert_eq!(
        submit(node.callers, "batch", &write_batch(2, &ITEMS, false)).await,
        202
    );
    // The directory states version 1 for both engines, so nothing runs until version 2 is observed.
    for id in ["engine-0", "engine-1"] {
        node.context()
            .backends
            .lock()
            .record_version(&id.into(), &"model".into(), 2);
    }
    let lines = wait_for_results(node.callers, "batch", ITEMS.len()).await;
    assert_all_complete(&lines);
    assert!(lines.iter().all(|line| line.contains("|{2}|")), "{lines:?}");
}

async fn start_batch_with_output(deployment: &Deployment, node: &TestNode) {
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.event_pause = Duration::from_millis(150));
    }
    assert_eq!(
        submit(node.callers, "batch", &write_batch(1, &ITEMS, false)).await,
        202
    );
    let view = node.context().partition_of(&"batch".into());
    wait_until("output of each item is in the log", || {
        let inner = view.lock();
        let batch = inner.state.batch(&"batch".into());
        batch.is_some_and(|batch| batch.items.iter().all(|item| !item.events.is_empty()))
    })
    .await;
}

async fn change_version_during_output(path: &str) -> Vec<String> {
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_millis(80));
    assert_eq!(
        submit_to(node.callers, path, "batch", &write_batch(1, &ITEMS, false)).await,
        202
    );
    let view = node.context().partition_of(&"batch".into());
    wait_until("output of each item is in the log", || {
        let inner = view.lock();
        let batch = inner.state.batch(&"batch".into());
        batch.is_some_and(|batch| batch.items.iter().all(|item| !item.events.is_empty()))
    })
    .await;
    deployment.engines[0].behave(|behaviour| behaviour.version = 2);
    let lines = wait_for_results(node.callers, "batch", ITEMS.len()).await;
    assert_all_complete(&lines);
    lines
}

#[tokio::test]
async fn a_result_names_all_versions_that_produced_it() {
    let lines = change_version_during_output("/batches/b").await;
    assert!(
        lines.iter().all(|line| line.contains("|{1, 2}|")),
        "{lines:?}"
    );
}

/// A run that can't be continued under the version that began it is restarted, so that one version produces its output.
#[tokio::test]
async fn a_result_of_a_single_version_route_comes_from_one_version() {
    let lines = change_version_during_output("/batches/single/b").await;
    assert!(lines.iter().all(|line| line.contains("|{2}|")), "{lines:?}");
}

/// Another node claims the batch and resumes its items from the output in the log.
#[tokio::test]
async fn a_batch_survives_the_death_of_its_owner() {
    let deployment = Deployment::start(2, 1).await;
    let (mut first, second) = (deployment.node("a").await, deployment.node("b").await);
    start_batch_with_output(&deployment, &first).await;
    first.kill();
    assert_all_complete(&wait_for_results(second.callers, "batch", ITEMS.len()).await);
    let resumed = |seen: &support::backend::ReceivedRequest| seen.header("last-event-id").is_some();
    let was_resumed = deployment
        .engines
        .iter()
        .any(|engine| engine.seen().iter().any(resumed));
    assert!(was_resumed, "no run was resumed from the output in the log");
}

#[tokio::test]
async fn an_accepted_batch_survives_the_death_of_all_nodes() {
    let deployment = Deployment::start(2, 1).await;
    let (mut first, mut second) = (deployment.node("a").await, deployment.node("b").await);
    assert_eq!(
        submit(first.callers, "batch", &write_batch(1, &ITEMS, false)).await,
        202
    );
    first.kill();
    second.kill();
    let restarted = deployment.node("c").await;
    assert_all_complete(&wait_for_results(restarted.callers, "batch", ITEMS.len()).await);
}

/// An owner that is disconnected from the log keeps running the batch, loses its lease and is connected again. Each
/// result then comes from one owner only, and results that were read don't change.
#[tokio::test]
async fn an_owner_that_lost_its_lease_changes_nothing() {
    let deployment = Deployment::start(2, 1).await;
    let (first, second) = (deployment.node("a").await, deployment.node("b").await);
    start_batch_with_output(&deployment, &first).await;
    first.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    let lines = wait_for_results(second.callers, "batch", ITEMS.len()).await;
    assert_all_complete(&lines);
    first.set_faults(LogFaults::default());
    assert_eq!(
        wait_for_results(first.callers, "batch", ITEMS.len()).await,
        lines
    );
    assert_eq!(
        wait_for_results(second.callers, "batch", ITEMS.len()).await,
        lines
    );
}

#[tokio::test]
async fn a_node_that_stops_hands_over_its_batches() {
    let deployment = Deployment::start(2, 1).await;
    let (first, second) = (deployment.node("a").await, deployment.node("b").await);
    start_batch_with_output(&deployment, &first).await;
    first.stop().await;
    assert_all_complete(&wait_for_results(second.callers, "batch", ITEMS.len()).await);
}

/// A reward call that runs out of time is no failed attempt: only failures count towards the number of attempts after
/// which an item is given up.
#[tokio::test]
async fn reward_calls_that_run_out_of_time_do_not_give_up_the_item() {
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    let application = &deployment.applications[0];
    application.behave(|behaviour| behaviour.call = CallBehaviour::OutOfTime);
    let batch = write_batch(1, &[("item", "g")], true);
    assert_eq!(submit(node.callers, "batch", &batch).await, 202);
    wait_until(
        "more calls ran out of time than attempts are allowed",
        || application.seen().len() > 6,
    )
    .await;
    application.behave(|behaviour| behaviour.call = CallBehaviour::Answer);
    let results = wait_for_results(node.callers, "batch", 1).await;
    assert!(!results[0].contains("given up"), "{results:?}");
}
