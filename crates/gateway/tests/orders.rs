//! Orders to load versions: only one lease holder sends them at a time, also when the log fails or is slow.

mod support;

use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_gateway::context::CONTROL;
use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::framing::{self, Joiner};
use havenstage_rollout::ids::{BackendId, MachineName, ModelName};
use havenstage_rollout::stored::Stored;
use support::deployment::{Deployment, TestNode, wait_until};
use support::log::{LogFaults, MemoryLog};

fn name_version(log: &MemoryLog, version: u64) {
    let model = ModelName::from("model");
    log.write_operators(DirectoryEntry::NamedVersion { model, version });
}

fn holder(node: &TestNode) -> Option<MachineName> {
    let inner = node.context().control.lock();
    inner
        .state
        .lease()
        .holder()
        .map(|holder| holder.machine.clone())
}

fn version_of(order: &str) -> u64 {
    order.split(' ').nth(1).unwrap().parse().unwrap()
}

fn fence_of(order: &str) -> u64 {
    order.split(' ').nth(3).unwrap().parse().unwrap()
}

async fn wait_for_version(deployment: &Deployment, version: u64) {
    wait_until("all engines were ordered to load the version", || {
        let engines = deployment.engines.iter();
        engines.map(|e| e.orders()).all(|orders| {
            orders
                .last()
                .is_some_and(|order| version_of(order) == version)
        })
    })
    .await;
}

#[tokio::test]
async fn a_named_version_is_rolled_out_once() {
    let deployment = Deployment::start(3, 1).await;
    let (_first, _second) = (deployment.node("a").await, deployment.node("b").await);
    name_version(&deployment.log, 2);
    wait_for_version(&deployment, 2).await;
    for engine in &deployment.engines {
        assert_eq!(engine.orders().len(), 1, "{:?}", engine.orders());
    }
}

#[tokio::test]
async fn another_node_takes_over_with_a_higher_fence() {
    let deployment = Deployment::start(2, 1).await;
    let (mut first, mut second) = (deployment.node("a").await, deployment.node("b").await);
    name_version(&deployment.log, 2);
    wait_for_version(&deployment, 2).await;
    let is_first = holder(&first) == Some(MachineName::from("a"));
    if is_first {
        first.kill()
    } else {
        second.kill()
    };
    name_version(&deployment.log, 3);
    wait_for_version(&deployment, 3).await;
    for engine in &deployment.engines {
        let fences: Vec<u64> = engine
            .orders()
            .iter()
            .map(|order| fence_of(order))
            .collect();
        assert!(
            fences.windows(2).all(|pair| pair[0] < pair[1]),
            "{fences:?}"
        );
    }
}

/// Guards against orders of a former lease holder. It is cut off from the log and another node takes over. When the
/// connection returns, its appends succeed before its reads do. The log accepts its heartbeat, which must not renew its
/// lease.
#[tokio::test]
async fn a_former_holder_sends_no_order_before_it_has_read_the_log() {
    let deployment = Deployment::start(2, 1).await;
    let (first, second) = (deployment.node("a").await, deployment.node("b").await);
    wait_until("a node holds the lease", || holder(&first).is_some()).await;
    let (former, next) = match holder(&first) == Some(MachineName::from("a")) {
        true => (&first, &second),
        false => (&second, &first),
    };
    former.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    let taken_over = next.context().node.machine.clone();
    wait_until("the other node holds the lease", || {
        holder(next) == Some(taken_over.clone())
    })
    .await;
    name_version(&deployment.log, 2);
    wait_for_version(&deployment, 2).await;
    let before: usize = deployment
        .engines
        .iter()
        .map(|engine| engine.orders().len())
        .sum();
    // The former holder learns of version 3, and its next heartbeat is appended.
    next.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    former.set_faults(LogFaults {
        reads_hang: true,
        ..LogFaults::default()
    });
    name_version(&deployment.log, 3);
    wait_until("the former holder knows version 3", || {
        former
            .context()
            .named_versions()
            .values()
            .any(|version| *version == 3)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    let after: usize = deployment
        .engines
        .iter()
        .map(|engine| engine.orders().len())
        .sum();
    assert_eq!(before, after, "an order was sent under a past term");
}

/// Guards against orders of two machines that reach an engine too close together. An order can be in the log up to
/// 0.8 s before it reaches its engine, as its append must be answered and a connection opened. A new holder that
/// counts the least time between the orders of two machines from the log record sends its order too early if the
/// former order was late.
#[tokio::test]
async fn a_new_holder_allows_for_an_order_that_reached_its_engine_late() {
    let deployment = Deployment::start(1, 1).await;
    let (first, second) = (deployment.node("a").await, deployment.node("b").await);
    name_version(&deployment.log, 2);
    wait_for_version(&deployment, 2).await;
    let (former, next) = match holder(&first) == Some(MachineName::from("a")) {
        true => (first, second),
        false => (second, first),
    };
    let stopping = tokio::spawn(former.stop());
    let successor = next.context().node.machine.clone();
    wait_until("the other node holds the lease", || {
        holder(&next) == Some(successor.clone())
    })
    .await;
    name_version(&deployment.log, 3);
    wait_for_version(&deployment, 3).await;
    stopping.await.unwrap();
    let times = deployment.engines[0].order_times();
    let between = times[1] - times[0];
    // The orders must be 0.5 s apart, and the new holder waits 0.8 s longer. The test allows 0.3 s of that for a busy
    // machine.
    assert!(between >= Duration::from_millis(1_000), "{between:?}");
}

/// Guards against an order that is sent long after its log record. If the append is answered late, the order must not
/// be sent, even under a valid lease, as a new holder allows for only 0.8 s between the record and the order.
#[tokio::test]
async fn an_order_whose_append_took_too_long_is_not_sent() {
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    wait_until("the node holds the lease", || holder(&node).is_some()).await;
    node.set_faults(LogFaults {
        order_answer_delay: Duration::from_millis(900),
        ..LogFaults::default()
    });
    name_version(&deployment.log, 2);
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let orders = deployment.engines[0].orders();
    assert!(orders.is_empty(), "{orders:?}");
    node.set_faults(LogFaults::default());
    wait_for_version(&deployment, 2).await;
}

/// Guards against orders that are taken for older than they are. A heartbeat must not report the time since the
/// previous one was sent: if the previous one reached the log late, less time has passed between the two records, and
/// an order that precedes both would count as too old.
#[tokio::test]
async fn a_heartbeat_reports_no_more_time_than_passed_since_the_previous_one() {
    let deployment = Deployment::start(1, 1).await;
    let node = deployment.node("a").await;
    wait_until("the node holds the lease", || holder(&node).is_some()).await;
    for slow_appends in [true, false, true, false] {
        node.set_faults(LogFaults {
            slow_appends,
            ..LogFaults::default()
        });
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
    let heartbeats = lease_heartbeats(&deployment.log);
    assert!(heartbeats.len() > 8, "{heartbeats:?}");
    assert!(heartbeats.iter().skip(1).any(|(_, after_ms)| *after_ms > 0));
    for pair in heartbeats.windows(2) {
        let passed = pair[1].0 - pair[0].0;
        let reported = Duration::from_millis(pair[1].1);
        // Both clocks count whole milliseconds.
        assert!(
            reported <= passed + Duration::from_millis(1),
            "{reported:?} reported, {passed:?} passed"
        );
    }
}

/// The time at which each heartbeat reached the log, and the time since the previous one that it reports, in
/// milliseconds.
fn lease_heartbeats(log: &MemoryLog) -> Vec<(Instant, u64)> {
    let mut joiner = Joiner::default();
    let mut heartbeats = Vec::new();
    for (record, at) in log.records(CONTROL).into_iter().zip(log.times(CONTROL)) {
        let value = joiner.push(record);
        let record = value.map(|value| ControlRecord::decode(&value).unwrap());
        if let Some(ControlRecord::LeaseKept { after_ms, .. }) = record {
            heartbeats.push((at, after_ms));
        }
    }
    heartbeats
}

/// Guards against an order that stays pending after a refusal. The engine still has its former version, and a delayed
/// report from before the order shows the same, so only a withdrawal shows that the order has ended.
#[tokio::test]
async fn an_order_that_was_refused_is_withdrawn() {
    let deployment = Deployment::start(1, 1).await;
    let engine = &deployment.engines[0];
    let _node = deployment.node("a").await;
    engine.behave(|behaviour| behaviour.refuses_orders = true);
    name_version(&deployment.log, 2);
    wait_until("the order is withdrawn", || {
        let records = deployment.log.records(CONTROL);
        let withdrawn = ControlRecord::Withdrawn {
            backend: BackendId::from(engine.id.as_str()),
        };
        framing::split(&withdrawn.encode(), 512)
            .iter()
            .all(|record| records.contains(record))
    })
    .await;
    engine.behave(|behaviour| behaviour.refuses_orders = false);
    wait_for_version(&deployment, 2).await;
}
