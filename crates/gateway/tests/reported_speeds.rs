//! A node avoids an engine that another node found slow, though it has not used the engine itself.

mod support;

use std::time::Duration;

use havenstage_rollout::ids::BackendId;
use support::caller::{submit, wait_for_results};
use support::deployment::{Deployment, TestNode, wait_until};
use support::dialect::write_batch;

/// Number of engines: enough that the normal ones have slots for both batches, also while the slots of the dead node's
/// items still count as taken.
const ENGINES: usize = 5;
const ITEMS: usize = 6;
const EVENTS: u32 = 60;
/// Pause before each event of the normal engines.
const NORMAL_PAUSE: Duration = Duration::from_millis(40);
/// Pause before each event of the slow engine.
const SLOW_PAUSE: Duration = Duration::from_millis(120);

async fn submit_batch(node: &TestNode, batch: &str) {
    let names: Vec<String> = (0..ITEMS).map(|at| format!("{batch}-{at}")).collect();
    let items: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "g")).collect();
    let body = write_batch(1, &items, false);
    assert_eq!(submit(node.callers, batch, &body).await, 202);
}

/// Whether the node knows, by reports of other nodes, the event gaps of the slow engine and of a normal one.
fn knows_reported_speeds(node: &TestNode) -> bool {
    let own = &node.context().node;
    let gaps_ms = node.context().reported_event_gaps_ms(|other| other != own);
    let gap_ms = |engine: &str| gaps_ms.get(&BackendId::from(engine)).copied();
    gap_ms("engine-0").is_some_and(|gap_ms| gap_ms > 100.0)
        && gap_ms("engine-1").is_some_and(|gap_ms| gap_ms < 70.0)
}

#[tokio::test]
async fn a_node_avoids_an_engine_that_another_found_slow() {
    let deployment = Deployment::start(ENGINES, 0).await;
    for (at, engine) in deployment.engines.iter().enumerate() {
        engine.behave(|behaviour| {
            behaviour.events = EVENTS;
            behaviour.event_pause = if at == 0 { SLOW_PAUSE } else { NORMAL_PAUSE };
        });
    }
    // This node holds the order lease, and so it reads the occupancy reports of other nodes.
    let second = deployment.node("b").await;
    wait_until("the node holds the order lease", || {
        let control = second.context().control.lock();
        control.state.lease().is_held_by(&second.context().node)
    })
    .await;
    let mut first = deployment.node("a").await;
    submit_batch(&first, "first").await;
    wait_until("the other node knows the reported speeds", || {
        knows_reported_speeds(&second)
    })
    .await;
    first.kill();
    submit_batch(&second, "second").await;
    wait_for_results(second.callers, "second", ITEMS).await;
    let runs_on_slow = deployment.engines[0].runs();
    println!("on the slow engine: {runs_on_slow:?}");
    let of_second = runs_on_slow.keys().filter(|path| path.contains("second"));
    assert_eq!(of_second.count(), 0, "{runs_on_slow:?}");
    assert!(runs_on_slow.keys().any(|path| path.contains("first")));
}
