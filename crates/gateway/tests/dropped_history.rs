//! Readers of a log that tells them again and again that what they ask for is dropped.

mod support;

use std::time::Duration;

use havenstage_clock::Instant;
use support::caller::call;
use support::deployment::{Deployment, TestNode};
use support::log::LogFaults;

/// How long the calls are counted.
const WATCH: Duration = Duration::from_secs(2);
/// Shortest pause after a failed call: half of the mean, 150 ms.
const SHORTEST_PAUSE: Duration = Duration::from_millis(75);
/// Directories that a node reads.
const DIRECTORIES: u64 = 2;
/// Tasks of a node without batches that read partitions: one follows the control stream, one the places
/// that are taken, and one claims the lease for orders and keeps it.
const PARTITION_READERS: u64 = 3;

/// Calls counted from `begin` on, and the most that readers make who pause after each.
async fn watch(readers: u64, count: impl Fn() -> u64) -> (u64, u64) {
    let (began, before) = (Instant::now(), count());
    tokio::time::sleep(WATCH).await;
    let calls = count() - before;
    let pauses = began.elapsed().as_millis() / SHORTEST_PAUSE.as_millis();
    (calls, readers * (pauses as u64 + 2))
}

async fn node_with(deployment: &Deployment, faults: LogFaults) -> TestNode {
    let node = deployment.node("a").await;
    node.set_faults(faults);
    node
}

/// A log that answered "dropped" also right behind a listing was asked for the listing and the changes
/// in turn, as fast as it answered: only other failures were followed by a pause.
#[tokio::test]
async fn changes_that_stay_lost_are_asked_for_with_pauses() {
    let deployment = Deployment::start(0, 1).await;
    let faults = LogFaults {
        drops_changes: true,
        ..LogFaults::default()
    };
    let node = node_with(&deployment, faults).await;
    let (calls, most) = watch(DIRECTORIES, || node.log.reads_of_changes()).await;
    assert!(calls <= most, "{calls} calls, at most {most} with pauses");
    assert!(calls >= DIRECTORIES, "the changes are asked for again");
    assert_eq!(call(node.callers, "call", "/calls/path").await.status, 200);
}

/// A log that answered "dropped" and named the record that was asked for as the first one kept was asked
/// for the same record again, as fast as it answered.
#[tokio::test]
async fn a_partition_that_is_told_to_be_dropped_is_asked_for_with_pauses() {
    let deployment = Deployment::start(0, 1).await;
    let faults = LogFaults {
        reports_kept_as_dropped: true,
        ..LogFaults::default()
    };
    let node = node_with(&deployment, faults).await;
    let (calls, most) = watch(PARTITION_READERS, || node.log.reads()).await;
    assert!(calls <= most, "{calls} calls, at most {most} with pauses");
    assert!(calls > 0, "the partition is asked for again");
}
