//! One node's slow engine is avoided by another that has not seen it.

mod support;

use std::time::Duration;

use havenstage_rollout::ids::BackendId;
use support::caller::{submit, wait_for_results};
use support::deployment::{Deployment, TestNode, wait_until};
use support::dialect::write_batch;

/// So many that the usual ones have places for both batches, also while those of a dead node count as taken.
const ENGINES: usize = 5;
const ITEMS: usize = 6;
const EVENTS: u32 = 60;
/// Pause before each event of the usual engines, and of the slow one.
const USUAL_PAUSE: Duration = Duration::from_millis(40);
const SLOW_PAUSE: Duration = Duration::from_millis(120);

async fn hand_in(node: &TestNode, batch: &str) {
    let names: Vec<String> = (0..ITEMS).map(|at| format!("{batch}-{at}")).collect();
    let items: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "g")).collect();
    let body = write_batch(1, &items, false);
    assert_eq!(submit(node.callers, batch, &body).await, 202);
}

/// Whether a node knows from others how slow the slow engine is, and how quick another.
fn is_told(node: &TestNode) -> bool {
    let own = &node.context().node;
    let told = node.context().reported_event_gaps_ms(|other| other != own);
    let gap_ms = |engine: &str| told.get(&BackendId::from(engine)).copied();
    gap_ms("engine-0").is_some_and(|gap_ms| gap_ms > 100.0)
        && gap_ms("engine-1").is_some_and(|gap_ms| gap_ms < 70.0)
}

#[tokio::test]
async fn a_node_avoids_an_engine_that_another_found_slow() {
    let deployment = Deployment::start(ENGINES, 0).await;
    for (at, engine) in deployment.engines.iter().enumerate() {
        engine.behave(|told| {
            told.events = EVENTS;
            told.event_pause = if at == 0 { SLOW_PAUSE } else { USUAL_PAUSE };
        });
    }
    // Gives the orders, and so follows what others tell.
    let second = deployment.node("b").await;
    wait_until("it holds the lease for orders", || {
        let control = second.context().control.lock();
        control.state.lease().is_held_by(&second.context().node)
    })
    .await;
    let mut first = deployment.node("a").await;
    hand_in(&first, "first").await;
    wait_until("the other node is told", || is_told(&second)).await;
    first.kill();
    hand_in(&second, "second").await;
    wait_for_results(second.callers, "second", ITEMS).await;
    let on_slow = deployment.engines[0].runs();
    println!("on the slow engine: {on_slow:?}");
    let of_second = on_slow.keys().filter(|path| path.contains("second"));
    assert_eq!(of_second.count(), 0, "{on_slow:?}");
    assert!(on_slow.keys().any(|path| path.contains("first")));
}
