//! Leases of batches: owners keep them under load, and other nodes claim them without overloading a log that rejects
//! reads.

mod support;

use std::time::Duration;

use havenstage_rollout::lease::Term;
use support::caller::{results, submit, wait_for_results};
use support::deployment::{Deployment, TestNode, wait_until};
use support::dialect::write_batch;
use support::log::LogFaults;

const ITEMS: [(&str, &str); 4] = [("i1", "g1"), ("i2", "g1"), ("i3", "g2"), ("i4", "g2")];

/// Number of items that keeps two engines with eight slots each busy for longer than an owner may be silent.
const MANY_ITEMS: usize = 64;

/// Maximum number of reads that a node may make in half a second while the log rejects them: each task that reads the
/// log retries every 150 ms.
const MAX_READS_WHILE_REJECTED: u64 = 60;

async fn submit_slow_batch(deployment: &Deployment, node: &TestNode, event_pause: Duration) {
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.event_pause = event_pause);
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

/// An owner that always has output to write still sends heartbeats in time.
#[tokio::test]
async fn an_owner_that_always_writes_keeps_its_lease() {
    let deployment = Deployment::start(2, 1).await;
    let (first, second) = (deployment.node("a").await, deployment.node("b").await);
    first.set_faults(LogFaults {
        slow_appends: true,
        ..LogFaults::default()
    });
    // The engines produce events at different intervals, so that there is always some output to write.
    for (engine, pause_ms) in deployment.engines.iter().zip([70, 110]) {
        engine.behave(|behaviour| behaviour.event_pause = Duration::from_millis(pause_ms));
    }
    let names: Vec<String> = (0..MANY_ITEMS).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "g")).collect();
    let status = submit(first.callers, "batch", &write_batch(1, &items, false)).await;
    assert_eq!(status, 202);
    wait_for_results(second.callers, "batch", MANY_ITEMS).await;
    assert_eq!(term(&second), Some(0), "another node claimed the batch");
}

/// While the log rejects reads, the silence of an owner shows nothing, so no node may claim its batch. Reads are
/// retried with pauses, not at once.
#[tokio::test]
async fn a_claim_waits_until_the_log_can_be_read() {
    let deployment = Deployment::start(2, 1).await;
    let (mut first, second) = (deployment.node("a").await, deployment.node("b").await);
    submit_slow_batch(&deployment, &first, Duration::from_millis(300)).await;
    // A node that is asked for the results of a batch reads the batch's partition from then on.
    results(second.callers, "batch", 0).await;
    wait_until("the other node knows the batch", || term(&second).is_some()).await;
    first.kill();
    second.set_faults(LogFaults {
        refuses_reads: true,
        ..LogFaults::default()
    });
    // Longer than the silence of an owner after which its lease may be claimed.
    tokio::time::sleep(Duration::from_millis(900)).await;
    let before = second.log.reads();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let reads = second.log.reads() - before;
    assert!(reads <= MAX_READS_WHILE_REJECTED, "{reads} reads");
    second.set_faults(LogFaults::default());
    wait_for_results(second.callers, "batch", ITEMS.len()).await;
}
