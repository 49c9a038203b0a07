//! Engines with little memory for tokens, which the batches of several nodes share.

mod support;

use std::sync::Arc;
use std::time::Duration;

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::ids::NodeId;
use support::backend::StandInBackend;
use support::caller::{submit, submit_to, wait_for_results};
use support::deployment::{Deployment, TestNode, routing, wait_until};

/// The body of a batch whose items state an estimate of their length in tokens.
fn batch_body(items: &[(&str, u32)]) -> String {
    let lines = items
        .iter()
        .map(|(item, estimate)| format!("{item} {item} {estimate} -\n"));
    format!("1\n{}", lines.collect::<String>())
}

async fn start_with_memory(engines: usize, tokens: u32) -> Deployment {
    let deployment = Deployment::start(engines, 0).await;
    let mut config = routing(2);
    for pool in &mut config.pools {
        pool.memory_tokens = Some(tokens);
    }
    deployment
        .log
        .write_operators(DirectoryEntry::Routing(config));
    for engine in &deployment.engines {
        engine.behave(|behaviour| {
            behaviour.event_pause = Duration::from_millis(250);
            behaviour.events = 40;
        });
    }
    deployment
}

async fn submit_batch(node: &TestNode, id: &str, items: &[(&str, u32)]) {
    assert_eq!(submit(node.callers, id, &batch_body(items)).await, 202);
}

/// Submits a batch on another route than the other batches, since new batches of a route are submitted to the node that
/// serves the route already.
async fn submit_long_item(node: &TestNode) {
    let body = batch_body(&[("long", 60)]);
    let status = submit_to(node.callers, "/batches/single/b", "first", &body).await;
    assert_eq!(status, 202);
}

async fn wait_until_running(engines: &[Arc<StandInBackend>], count: usize) {
    wait_until("items run", || {
        engines
            .iter()
            .map(|engine| engine.seen().len())
            .sum::<usize>()
            >= count
    })
    .await;
}

fn paths(engine: &StandInBackend) -> Vec<String> {
    engine.seen().into_iter().map(|seen| seen.path).collect()
}

/// Starts a node that runs a batch of its own. Nodes without a batch don't read the occupancy reports of other nodes.
async fn start_busy_node(deployment: &Deployment, name: &str) -> TestNode {
    let node = deployment.node(name).await;
    submit_batch(&node, "own", &[("own", 5)]).await;
    wait_until("it runs", || node.context().holds(&"own".into())).await;
    node
}

async fn wait_for_report_of_long_item(node: &TestNode) {
    wait_until("the node knows of the other's tokens", || {
        let tokens = node.context().expected_tokens(is_first_node);
        tokens.values().any(|tokens| *tokens >= 60)
    })
    .await;
}

fn is_first_node(node: &NodeId) -> bool {
    node.machine.as_str() == "first"
}

/// By free slots alone, one of the short items would run on the engine of the long item.
#[tokio::test]
async fn a_node_keeps_its_items_away_from_the_long_one_of_another_node() {
    let deployment = start_with_memory(2, 100).await;
    let second = start_busy_node(&deployment, "second").await;
    let first = deployment.node("first").await;
    submit_long_item(&first).await;
    wait_for_report_of_long_item(&second).await;
    submit_batch(&second, "more", &[("s1", 9), ("s2", 9), ("s3", 9)]).await;
    wait_until_running(&deployment.engines, 5).await;
    for engine in &deployment.engines {
        let paths = paths(engine);
        let has = |item: &str| paths.iter().any(|path| path.ends_with(item));
        let short = ["s1", "s2", "s3"].iter().filter(|item| has(item)).count();
        assert_eq!(short, if has("long") { 0 } else { 3 }, "{paths:?}");
    }
}

#[tokio::test]
async fn items_that_exceed_all_memory_run_nevertheless() {
    let deployment = start_with_memory(1, 30).await;
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_millis(10));
    let node = deployment.node("a").await;
    submit_batch(&node, "batch", &[("i1", 20), ("i2", 20), ("i3", 50)]).await;
    wait_for_results(node.callers, "batch", 3).await;
}

#[tokio::test]
async fn memory_held_by_a_dead_node_is_free_again() {
    let deployment = start_with_memory(2, 100).await;
    let second = start_busy_node(&deployment, "second").await;
    let mut first = deployment.node("first").await;
    submit_long_item(&first).await;
    wait_for_report_of_long_item(&second).await;
    first.kill();
    wait_until("its tokens no longer count", || {
        second.context().expected_tokens(is_first_node).is_empty()
    })
    .await;
}
