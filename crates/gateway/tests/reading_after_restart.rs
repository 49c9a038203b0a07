//! Batches are read to the end of their retention, also when all nodes have just been started anew and
//! the log answers with refusals, silence or delay.
//!
//! What happened: two batches that had been accepted and ended could not be read at the end of a long
//! day, 55 and 72 s after their end, though they are promised for 120 s from their start. All nodes had
//! lost power shortly before; readers had ten seconds, and began anew after each failure. The log still
//! held every record. A node that has just started knows no batch: it must read the batch's partition to
//! the end before it answers, several calls in a row, and one refused call failed the whole answer.

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
/// Time that a caller waits longer than it allows the node to wait.
const CALLERS_PATIENCE: Duration = Duration::from_millis(1_500);
/// Time between two reads of a caller.
const POLL_PAUSE: Duration = Duration::from_millis(500);

/// Few enough for a reader that allows a wait to come to its first node again in the time that it has.
const NODES: usize = 3;
const BATCHES: usize = 4;
const ITEMS: usize = 24;
/// Results after which a caller ends its batch.
const READ_BEFORE_END: usize = 8;
/// Reads that it takes to load a batch from the log.
const PAGES_OF_A_BATCH: u64 = 8;

/// A batch that ran and was ended, and what its readers saw of it.
struct Known {
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

async fn start_nodes(deployment: &Deployment, faults: LogFaults, life: &str) -> Vec<TestNode> {
    let mut nodes = Vec::new();
    for at in 0..NODES {
        let log = NodeLog::with_faults(&deployment.log, faults);
        nodes.push(TestNode::start_with_log(log, &format!("{life}-{at}")).await);
    }
    nodes
}

/// Runs batches and ends each of them before all of its items are listed.
async fn run_and_end(nodes: &[TestNode]) -> Vec<Known> {
    let mut known = Vec::new();
    for at in 0..BATCHES {
        let id = format!("batch-{at}");
        let address = nodes[at % nodes.len()].callers;
        assert_eq!(submit(address, &id, &body(&id)).await, 202);
        wait_for_results(address, &id, READ_BEFORE_END).await;
        assert_eq!(end(address, &id).await, 200);
        known.push(Known {
            id,
            lines: Vec::new(),
        });
    }
    // Results of items that ended meanwhile may be listed behind the end.
    tokio::time::sleep(Duration::from_millis(600)).await;
    for batch in &mut known {
        let (status, lines) = results(nodes[0].callers, &batch.id, 0).await;
        assert_eq!(status, 200);
        assert!(lines.len() >= READ_BEFORE_END, "{lines:?}");
        batch.lines = lines;
    }
    known
}

/// A page for a caller that leaves when it has waited for as long as it wants.
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
    let patience = CALLERS_PATIENCE + Duration::from_millis(wait_ms.unwrap_or(0));
    let answer = send(address, Method::GET, &path, headers, "");
    let answer = tokio::time::timeout(patience, answer).await.ok()?.ok()?;
    let is_read = answer.status == 200;
    is_read.then(|| text(&answer).lines().skip(1).map(str::to_owned).collect())
}

/// Reads a batch from its start, and anew from its start at the next node after every failure.
async fn read_whole(
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

/// Bytes of a page with which a batch takes so many reads.
fn page_bytes(deployment: &Deployment, partitions: &[StreamPartition]) -> usize {
    let bytes = partitions.iter().map(|id| deployment.log.bytes_of(*id));
    (bytes.min().unwrap_or(0) / PAGES_OF_A_BATCH) as usize
}

/// All nodes lose power after batches have run and ended, are started anew before a log with these faults,
/// and all batches are read, in one deployment with leave to wait and in another one without.
async fn batches_are_read_after_a_restart(faults: LogFaults) {
    tokio::join!(
        batches_are_read_so(faults, None),
        batches_are_read_so(faults, Some(1_000))
    );
}

async fn batches_are_read_so(faults: LogFaults, wait_ms: Option<u64>) {
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
        read_whole(addresses.clone(), at, id, count, wait_ms)
    });
    let read = futures::future::join_all(readers).await;
    for (batch, lines) in known.iter().zip(read) {
        assert_eq!(
            lines, batch.lines,
            "{} with leave to wait {wait_ms:?} ms was not read as before",
            batch.id
        );
    }
}

fn slow_down(engines: &[Arc<StandInBackend>]) {
    for engine in engines {
        engine.behave(|told| told.event_pause = Duration::from_millis(30));
    }
}

#[tokio::test]
async fn batches_are_read_after_a_restart_while_the_log_answers() {
    batches_are_read_after_a_restart(LogFaults::default()).await;
}

/// Half of the reads are refused because all nodes have just started and ask too much together.
#[tokio::test]
async fn batches_are_read_after_a_restart_while_the_log_refuses_half_of_the_reads() {
    batches_are_read_after_a_restart(LogFaults {
        throttled_reads_of_ten: 5,
        ..LogFaults::default()
    })
    .await;
}

/// Each read takes so long that a caller has left before its batch is loaded.
#[tokio::test]
async fn batches_are_read_after_a_restart_while_the_log_is_slow() {
    batches_are_read_after_a_restart(LogFaults {
        read_delay: Duration::from_millis(500),
        ..LogFaults::default()
    })
    .await;
}

/// The first reads of each node meet connections that have gone silent.
#[tokio::test]
async fn batches_are_read_after_a_restart_while_first_reads_get_no_answer() {
    batches_are_read_after_a_restart(LogFaults {
        silent_reads: 6,
        ..LogFaults::default()
    })
    .await;
}

/// The directories can't be listed, so that no configuration is known; reads of batches need none.
#[tokio::test]
async fn batches_are_read_before_a_configuration_is_known() {
    batches_are_read_after_a_restart(LogFaults {
        refuses_listings: true,
        ..LogFaults::default()
    })
    .await;
}

/// A batch with nothing listed is read as one that has ended with no results, not as one that is not there.
#[tokio::test]
async fn an_ended_batch_without_results_is_read_after_a_restart() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].behave(|told| told.event_pause = Duration::from_secs(30));
    let mut node = deployment.node("first").await;
    assert_eq!(submit(node.callers, "batch", &body("batch")).await, 202);
    assert_eq!(end(node.callers, "batch").await, 200);
    node.kill();
    let node = deployment.node("second").await;
    for wait_ms in [None, Some(1_000)] {
        let began = Instant::now();
        let lines = page(node.callers, "batch", 0, wait_ms).await;
        assert_eq!(lines, Some(Vec::new()));
        assert!(began.elapsed() < Duration::from_millis(900), "it was held");
    }
}

/// Bodies of items that are not listed yet are asked for after the restart, again after every failure.
#[tokio::test]
async fn bodies_are_read_after_a_restart_while_the_log_refuses_half_of_the_reads() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].behave(|told| told.event_pause = Duration::from_secs(30));
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
    let mut asked = 0;
    let found = loop {
        assert!(Instant::now() < until, "no body came in {asked} calls");
        let address = nodes[asked % NODES].callers;
        asked += 1;
        let path = "/results/batch?item=item-3-of-batch";
        let answer = send(address, Method::GET, path, &[], "");
        let answer = tokio::time::timeout(CALLERS_PATIENCE, answer).await;
        match answer {
            Ok(Ok(answer)) if answer.status == 200 => break answer,
            Ok(Ok(answer)) => assert_eq!(answer.status, 503, "the body is there"),
            _ => {}
        }
        tokio::time::sleep(POLL_PAUSE).await;
    };
    assert_eq!(text(&found), "body of item-3-of-batch");
}

/// A node that is cut off from the log knows a batch whole. Its results never change and nothing can come
/// behind the last one, so it answers all reads of it.
#[tokio::test]
async fn a_node_that_is_cut_off_answers_reads_of_a_batch_that_it_knows_whole() {
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
    let behind = page(node.callers, "batch", ITEMS, None).await;
    assert_eq!(
        behind,
        Some(Vec::new()),
        "nothing can come behind the last result"
    );
}

/// A node that has not been in touch with the log for long refuses at once, so that callers ask another one
/// in the time that they have.
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

/// Longer than a node of these tests keeps what is past its retention, with its pause between two looks.
const PAST_RETENTION: Duration = Duration::from_secs(17);

/// A node that keeps batches no longer than it must.
async fn forgetful_node(deployment: &Deployment, name: &str) -> TestNode {
    let mut settings = settings(name);
    settings.bounds.retention_s = 0.0;
    let node = TestNode::start_with_settings(NodeLog::new(&deployment.log), settings).await;
    node.wait_until_known(2).await;
    node
}

/// A batch that waits for a version of the weights is past the retention while it is open; positions are promised as long as a
/// batch is open. Its owner goes on with it, and a node that was asked about it once finds it again: what a
/// node has forgotten the log still holds.
#[tokio::test]
async fn a_batch_that_is_open_is_read_past_its_retention() {
    let deployment = Deployment::start(1, 1).await;
    let owner = forgetful_node(&deployment, "owner").await;
    let other = forgetful_node(&deployment, "other").await;
    let body = write_batch(2, &[("item", "group")], false);
    assert_eq!(submit(owner.callers, "batch", &body).await, 202);
    let nothing = Some(Vec::new());
    assert_eq!(page(other.callers, "batch", 0, None).await, nothing);
    tokio::time::sleep(PAST_RETENTION).await;
    assert_eq!(page(other.callers, "batch", 0, None).await, nothing);
    assert_eq!(page(owner.callers, "batch", 0, None).await, nothing);
    deployment.engines[0].behave(|told| told.version = 2);
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
