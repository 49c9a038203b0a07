//! A log that repeatedly reports the requested records as dropped is read with pauses.

mod support;

use std::time::Duration;

use havenstage_clock::Instant;
use support::caller::call;
use support::deployment::{Deployment, TestNode};
use support::log::LogFaults;

/// How long calls are counted.
const COUNTING_TIME: Duration = Duration::from_secs(2);
/// Minimum pause after a failed call: half of the mean, which is 150 ms.
const MIN_PAUSE: Duration = Duration::from_millis(75);
/// Directories that a node reads.
const DIRECTORIES: u64 = 2;
/// Tasks of a node without batches that read partitions: one follows the control stream, one follows the slots in use,
/// and one claims and renews the order lease.
const PARTITION_READERS: u64 = 3;

/// The calls made from now on, and the maximum for `readers` tasks that pause after each call.
async fn count_calls(readers: u64, count: impl Fn() -> u64) -> (u64, u64) {
    let (began, before) = (Instant::now(), count());
    tokio::time::sleep(COUNTING_TIME).await;
    let calls = count() - before;
    let pauses = began.elapsed().as_millis() / MIN_PAUSE.as_millis();
    (calls, readers * (pauses as u64 + 2))
}

async fn node_with(deployment: &Deployment, faults: LogFaults) -> TestNode {
    let node = deployment.node("a").await;
    node.set_faults(faults);
    node
}

/// If the log answers "dropped" even right after a listing, and a pause follows only other failures, a node reads the
/// listing and the changes alternately as fast as the log answers.
#[tokio::test]
async fn changes_that_stay_dropped_are_read_with_pauses() {
    let deployment = Deployment::start(0, 1).await;
    let faults = LogFaults {
        drops_changes: true,
        ..LogFaults::default()
    };
    let node = node_with(&deployment, faults).await;
    let (calls, max_calls) = count_calls(DIRECTORIES, || node.log.reads_of_changes()).await;
    assert!(
        calls <= max_calls,
        "{calls} calls, at most {max_calls} with pauses"
    );
    assert!(calls >= DIRECTORIES, "the changes are read again");
    assert_eq!(call(node.callers, "call", "/calls/path").await.status, 200);
}

/// If the log answers "dropped" and names the requested record as the first one kept, a node without pauses reads the
/// same record again as fast as the log answers.
#[tokio::test]
async fn a_partition_that_is_reported_as_dropped_is_read_with_pauses() {
    let deployment = Deployment::start(0, 1).await;
    let faults = LogFaults {
        reports_kept_as_dropped: true,
        ..LogFaults::default()
    };
    let node = node_with(&deployment, faults).await;
    let (calls, max_calls) = count_calls(PARTITION_READERS, || node.log.reads()).await;
    assert!(
        calls <= max_calls,
        "{calls} calls, at most {max_calls} with pauses"
    );
    assert!(calls > 0, "the partition is read again");
}
