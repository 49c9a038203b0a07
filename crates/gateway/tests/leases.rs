//! Leases of batches: kept under load, and claimed without flooding a log that refuses.

mod support;

use std::time::Duration;

use havenstage_rollout::lease::Term;
use support::caller::{results, submit, wait_for_results};
use support::deployment::{Deployment, TestNode, wait_until};
use support::dialect::write_batch;
use support::log::LogFaults;

const ITEMS: [(&str, &str); 4] = [("i1", "g1"), ("i2", "g1"), ("i3", "g2"), ("i4", "g2")];

/// Items that keep two engines of eight places busy for longer than an owner may be silent.
const MANY_ITEMS: usize = 64;

/// Reads that a node may make in half a second of refusals: its followers try again every 150 ms.
const MOST_READS_WHILE_REFUSED: u64 = 60;

async fn submit_slow_batch(deployment: &Deployment, node: &TestNode, event_pause: Duration) {
    for engine in &deployment.engines {
        engine.behave(|told| told.event_pause = event_pause);
    }
    let status = submit(node.callers, "batch", &write_batch(1, &ITEMS, false)).await;
    assert_eq!(status, 202);
}

fn term(node: &TestNode) -> Option<Term> {
    let view = node.context().partition_of(&"batch".into());
    let inner = view.lock();
    let batch = inner.state.batch(&"batch".into());
    batch.map(|batch| batch.lease.term())
}

/// An owner that always has output to write down still gives signs of life.
#[tokio::test]
async fn an_owner_that_always_writes_keeps_its_lease() {
    let deployment = Deployment::start(2, 1).await;
    let (first, second) = (deployment.node("a").await, deployment.node("b").await);
    first.set_faults(LogFaults {
        slow_appends: true,
        ..LogFaults::default()
    });
    // Engines out of step, so that some output is always new.
    for (engine, pause_ms) in deployment.engines.iter().zip([70, 110]) {
        engine.behave(|told| told.event_pause = Duration::from_millis(pause_ms));
    }
    let names: Vec<String> = (0..MANY_ITEMS).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "g")).collect();
    let status = submit(first.callers, "batch", &write_batch(1, &items, false)).await;
    assert_eq!(status, 202);
    wait_for_results(second.callers, "batch", MANY_ITEMS).await;
    assert_eq!(term(&second), Some(0), "another node claimed the batch");
}

/// While the log refuses, silence of an owner says nothing, and asking again at once helps nobody.
#[tokio::test]
async fn a_claim_waits_until_the_log_can_be_read() {
    let deployment = Deployment::start(2, 1).await;
    let (mut first, second) = (deployment.node("a").await, deployment.node("b").await);
    submit_slow_batch(&deployment, &first, Duration::from_millis(300)).await;
    // Whoever is asked about a batch follows it.
    results(second.callers, "batch", 0).await;
    wait_until("the other node knows the batch", || term(&second).is_some()).await;
    first.kill();
    second.set_faults(LogFaults {
        refuses_reads: true,
        ..LogFaults::default()
    });
    // Longer than the silence after which the lease could be claimed.
    tokio::time::sleep(Duration::from_millis(900)).await;
    let before = second.log.reads();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let reads = second.log.reads() - before;
    assert!(reads <= MOST_READS_WHILE_REFUSED, "{reads} reads");
    second.set_faults(LogFaults::default());
    wait_for_results(second.callers, "batch", ITEMS.len()).await;
}
