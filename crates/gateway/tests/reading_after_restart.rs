//! Batches can be read until the end of their retention, also when all nodes have just restarted and the log refuses
//! reads, does not answer them, or is slow.
//!
//! Guards against ended batches that can't be read although the log still holds every record: with a retention of 120 s,
//! reads 55 and 72 s after the end failed because all nodes had just lost power. A node that has just started knows no
//! batch and must read the batch's partition to its end, with several calls in a row, before it answers; if one refused
//! call fails the whole answer, readers that have ten seconds and start over after each failure never finish.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_gateway::edge::StreamPartition;
use http::Method;
use support::backend::StandInBackend;
use support::caller::{results, send, submit, text, wait_for_results};
use support::deployment::{Deployment, TestNode, settings, wait_until};
use support::dialect::write_batch;
use support::log::{LogFaults, NodeLog};

/// Time that readers have after traffic has ended.
const TIME_TO_READ: Duration = Duration::from_secs(10);
/// Time beyond the allowed wait after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two reads of a caller.
const POLL_PAUSE: Duration = Duration::from_millis(500);

/// Few enough that a reader that allows a wait gets back to its first node within its time.
const NODES: usize = 3;
const BATCHES: usize = 4;
const ITEMS: usize = 24;
/// Results after which a caller ends its batch.
const READ_BEFORE_END: usize = 8;
/// Number of reads that it takes to load a batch from the log.
const PAGES_OF_A_BATCH: u64 = 8;

/// A batch that ran and was ended, and the results that were read before the restart.
struct ExpectedBatch {
    id: String,
    lines: Vec<String>,
}

fn body(batch: &str) -> String {
    let items: Vec<(String, String)> = (0..ITEMS)
        .map(|at| (format!("item-{at}-of-{batch}"), format!("g{}", at / 4)))
        .collect();
    let named: Vec<(&str, &str)> = items
        .iter()
        .map(|(item, group)| (item.as_str(), group.as_str()))
        .collect();
    write_batch(1, &named, false)
}

async fn end(address: SocketAddr, batch: &str) -> u16 {
    let path = format!("/results/{batch}");
    let answer = send(address, Method::DELETE, &path, &[], "").await;
    answer.unwrap().status.as_u16()
}

async fn start_nodes(deployment: &Deployment, faults: LogFaults, prefix: &str) -> Vec<TestNode> {
    let mut nodes = Vec::new();
    for at in 0..NODES {
        let log = NodeLog::with_faults(&deployment.log, faults);
        nodes.push(TestNode::start_with_log(log, &format!("{prefix}-{at}")).await);
    }
    nodes
}

/// Runs batches and ends each of them before all of its items are listed.
async fn run_and_end(nodes: &[TestNode]) -> Vec<ExpectedBatch> {
    let mut known = Vec::new();
    for at in 0..BATCHES {
        let id = format!("batch-{at}");
        let address = nodes[at % nodes.len()].callers;
        assert_eq!(submit(address, &id, &body(&id)).await, 202);
        wait_for_results(address, &id, READ_BEFORE_END).await;
        assert_eq!(end(address, &id).await, 200);
        known.push(ExpectedBatch {
            id,
            lines: Vec::new(),
        });
    }
    // Results of items that finished in the meantime may be listed after the end.
    tokio::time::sleep(Duration::from_millis(600)).await;
    for batch in &mut known {
        let (status, lines) = results(nodes[0].callers, &batch.id, 0).await;
        assert_eq!(status, 200);
        assert!(lines.len() >= READ_BEFORE_END, "{lines:?}");
        batch.lines = lines;
    }
    known
}

/// Reads a page as a caller that disconnects after its timeout; `None` for any failure.
async fn page(
    address: SocketAddr,
    batch: &str,
    from: usize,
    wait_ms: Option<u64>,
) -> Option<Vec<String>> {
    let path = format!("/results/{batch}?from={from}");
    let wait = wait_ms.unwrap_or(0).to_string();
    let headers = [("x-wait", wait.as_str())];
    let headers = if wait_ms.is_some() { &headers[..] } else { &[] };
    let caller_timeout = CALLER_TIMEOUT + Duration::from_millis(wait_ms.unwrap_or(0));
    let answer = send(address, Method::GET, &path, headers, "");
    let answer = tokio::time::timeout(caller_timeout, answer)
        .await
        .ok()?
        .ok()?;
    let is_read = answer.status == 200;
    is_read.then(|| text(&answer).lines().skip(1).map(str::to_owned).collect())
}

/// Reads a batch from its start, and after every failure again from its start at the next node.
async fn read_all(
    nodes: Vec<SocketAddr>,
    first: usize,
    batch: &str,
    results: usize,
    wait_ms: Option<u64>,
) -> Vec<String> {
    let until = Instant::now() + TIME_TO_READ;
    let mut node = first;
    let mut lines: Vec<String> = Vec::new();
    while Instant::now() < until {
        let address = nodes[node % nodes.len()];
        match page(address, batch, lines.len(), wait_ms).await {
            Some(more) => lines.extend(more),
            None => {
                lines.clear();
                node += 1;
            }
        }
        if lines.len() >= results {
            return lines;
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    lines
}

/// Page size in bytes at which loading a batch takes [`PAGES_OF_A_BATCH`] reads.
fn page_bytes(deployment: &Deployment, partitions: &[StreamPartition]) -> usize {
    let bytes = partitions.iter().map(|id| deployment.log.bytes_of(*id));
    (bytes.min().unwrap_or(0) / PAGES_OF_A_BATCH) as usize
}

/// All nodes are killed after batches have run and ended, and restart with these faults of the log. Then all batches are
/// read, in one deployment by callers that allow a wait and in another one by callers that don't.
async fn batches_are_read_after_a_restart(faults: LogFaults) {
    tokio::join!(
        read_batches_after_restart(faults, None),
        read_batches_after_restart(faults, Some(1_000))
    );
}

async fn read_batches_after_restart(faults: LogFaults, wait_ms: Option<u64>) {
    let deployment = Deployment::start(2, 1).await;
    slow_down(&deployment.engines);
    let mut nodes = start_nodes(&deployment, LogFaults::default(), "first").await;
    for node in &nodes {
        node.wait_until_known(3).await;
    }
    let known = run_and_end(&nodes).await;
    let partitions: Vec<StreamPartition> = known
        .iter()
        .map(|batch| {
            nodes[0]
                .context()
                .partition_of(&batch.id.as_str().into())
                .id
        })
        .collect();
    for node in &mut nodes {
        node.kill();
    }
    let faults = LogFaults {
        page_bytes: page_bytes(&deployment, &partitions),
        ..faults
    };
    let nodes = start_nodes(&deployment, faults, "second").await;
    let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.callers).collect();
    let readers = known.iter().enumerate().map(|(at, batch)| {
        let (id, count) = (&batch.id, batch.lines.len());
        read_all(addresses.clone(), at, id, count, wait_ms)
    });
    let read = futures::future::join_all(readers).await;
    for (batch, lines) in known.iter().zip(read) {
        assert_eq!(
            lines, batch.lines,
            "{} with an allowed wait of {wait_ms:?} ms was not read as before",
            batch.id
        );
    }
}

fn slow_down(engines: &[Arc<StandInBackend>]) {
    for engine in engines {
        engine.behave(|behaviour| behaviour.event_pause = Duration::from_millis(30));
    }
}

#[tokio::test]
async fn batches_are_read_after_a_restart_while_the_log_answers() {
    batches_are_read_after_a_restart(LogFaults::default()).await;
}

/// Half of the reads are throttled, since all nodes have just started and together make too many calls.
#[tokio::test]
async fn batches_are_read_after_a_restart_while_the_log_refuses_half_of_the_reads() {
    batches_are_read_after_a_restart(LogFaults {
        throttled_reads_of_ten: 5,
        ..LogFaults::default()
    })
    .await;
}

/// Each read takes so long that a caller has disconnected before its batch is loaded.
#[tokio::test]
async fn batches_are_read_after_a_restart_while_the_log_is_slow() {
    batches_are_read_after_a_restart(LogFaults {
        read_delay: Duration::from_millis(500),
        ..LogFaults::default()
    })
    .await;
}

/// The first reads of each node use connections that have gone silent.
#[tokio::test]
async fn batches_are_read_after_a_restart_while_first_reads_get_no_answer() {
    batches_are_read_after_a_restart(LogFaults {
        silent_reads: 6,
        ..LogFaults::default()
    })
    .await;
}

/// The directories can't be listed, so no configuration is known; reading a batch needs none.
#[tokio::test]
async fn batches_are_read_before_a_configuration_is_known() {
    batches_are_read_after_a_restart(LogFaults {
        refuses_listings: true,
        ..LogFaults::default()
    })
    .await;
}

/// An ended batch without results is answered as such at once, not as one that does not exist.
#[tokio::test]
async fn an_ended_batch_without_results_is_read_after_a_restart() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_secs(30));
    let mut node = deployment.node("first").await;
    assert_eq!(submit(node.callers, "batch", &body("batch")).await, 202);
    assert_eq!(end(node.callers, "batch").await, 200);
    node.kill();
    let node = deployment.node("second").await;
    for wait_ms in [None, Some(1_000)] {
        let began = Instant::now();
        let lines = page(node.callers, "batch", 0, wait_ms).await;
        assert_eq!(lines, Some(Vec::new()));
        assert!(
            began.elapsed() < Duration::from_millis(900),
            "the answer was held back"
        );
    }
}

/// The body of an item without a result is read after the restart, with a retry after every failure.
#[tokio::test]
async fn bodies_are_read_after_a_restart_while_the_log_refuses_half_of_the_reads() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_secs(30));
    let mut node = deployment.node("first").await;
    assert_eq!(submit(node.callers, "batch", &body("batch")).await, 202);
    let partition = node.context().partition_of(&"batch".into()).id;
    node.kill();
    let faults = LogFaults {
        throttled_reads_of_ten: 5,
        page_bytes: page_bytes(&deployment, &[partition]),
        ..LogFaults::default()
    };
    let nodes = start_nodes(&deployment, faults, "second").await;
    let until = Instant::now() + TIME_TO_READ;
    let mut attempts = 0;
    let found = loop {
        assert!(
            Instant::now() < until,
            "no body was received in {attempts} calls"
        );
        let address = nodes[attempts % NODES].callers;
        attempts += 1;
        let path = "/results/batch?item=item-3-of-batch";
        let answer = send(address, Method::GET, path, &[], "");
        let answer = tokio::time::timeout(CALLER_TIMEOUT, answer).await;
        match answer {
            Ok(Ok(answer)) if answer.status == 200 => break answer,
            Ok(Ok(answer)) => assert_eq!(answer.status, 503, "the body exists"),
            _ => {}
        }
        tokio::time::sleep(POLL_PAUSE).await;
    };
    assert_eq!(text(&found), "body of item-3-of-batch");
}

/// A node that is disconnected from the log, but has read a batch completely, answers all reads of it: results never
/// change, and none can follow the last one.
#[tokio::test]
async fn a_disconnected_node_answers_reads_of_a_batch_that_it_has_read_completely() {
    let deployment = Deployment::start(2, 1).await;
    let node = deployment.node("node").await;
    assert_eq!(submit(node.callers, "batch", &body("batch")).await, 202);
    let lines = wait_for_results(node.callers, "batch", ITEMS).await;
    node.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    tokio::time::sleep(Duration::from_millis(600)).await;
    let read = page(node.callers, "batch", 0, None).await;
    assert_eq!(read, Some(lines));
    let after_last = page(node.callers, "batch", ITEMS, None).await;
    assert_eq!(
        after_last,
        Some(Vec::new()),
        "no result can follow the last one"
    );
}

/// A node that has had no answer of the log for long refuses at once, so that callers can ask another node within their
/// time.
#[tokio::test]
async fn a_node_that_lost_the_log_refuses_reads_at_once() {
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("node").await;
    node.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    wait_until("the node has lost the log", || {
        node.context().contact_age() > 2_600
    })
    .await;
    let began = Instant::now();
    assert_eq!(results(node.callers, "batch", 0).await.0, 503);
    assert!(began.elapsed() < Duration::from_millis(500));
}

/// Longer than a node of these tests keeps state past its retention, including the pause between two cleanups.
const PAST_RETENTION: Duration = Duration::from_secs(17);

/// A node with a retention of zero.
async fn node_without_retention(deployment: &Deployment, name: &str) -> TestNode {
    let mut settings = settings(name);
    settings.bounds.retention_s = 0.0;
    let node = TestNode::start_with_settings(NodeLog::new(&deployment.log), settings).await;
    node.wait_until_known(2).await;
    node
}

/// A batch that waits for a weight version is still open past its retention, and positions in its results stay valid while
/// it is open. Its owner keeps running it, and a node that has forgotten it reads it again from the log.
#[tokio::test]
async fn an_open_batch_can_be_read_past_its_retention() {
    let deployment = Deployment::start(1, 1).await;
    let owner = node_without_retention(&deployment, "owner").await;
    let other = node_without_retention(&deployment, "other").await;
    let body = write_batch(2, &[("item", "group")], false);
    assert_eq!(submit(owner.callers, "batch", &body).await, 202);
    let nothing = Some(Vec::new());
    assert_eq!(page(other.callers, "batch", 0, None).await, nothing);
    tokio::time::sleep(PAST_RETENTION).await;
    assert_eq!(page(other.callers, "batch", 0, None).await, nothing);
    assert_eq!(page(owner.callers, "batch", 0, None).await, nothing);
    deployment.engines[0].behave(|behaviour| behaviour.version = 2);
    owner
        .context()
        .backends
        .lock()
        .record_version(&"engine-0".into(), &"model".into(), 2);
    let lines = wait_for_results(owner.callers, "batch", 1).await;
    assert_eq!(wait_for_results(other.callers, "batch", 1).await, lines);
    let runs = deployment.engines[0].runs();
    assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
}
