//! The usage of each window is reported completely and with the same counts, whichever node reports it.

mod support;

use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::time_of_day::TimeOfDay;
use havenstage_gateway::edge::{DirectoryEntry, LogStream, SharedLog, StreamPartition};
use havenstage_gateway::operations::DutyError;
use havenstage_gateway::settings::{OperationsSettings, Settings};
use havenstage_rollout::access::Tenant;
use havenstage_rollout::framing;
use havenstage_rollout::ids::{ApiKey, MachineName, NodeId, TenantName};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::route::RoutingConfig;
use havenstage_rollout::stored::Stored;
use havenstage_rollout::usage::{UsageRecord, window_at};
use http::Method;
use support::backend::CallBehaviour;
use support::caller::send;
use support::deployment::{Deployment, TestNode, routing, settings, wait_until};
use support::dialect::write_batch;
use support::log::NodeLog;
use support::operations::StandInOperations;

/// Settings with short windows, so that a test sees several. Windows are decided 3.6 s after their end, as a call and
/// its usage record can take more than a second on a machine that runs other tests.
fn metered_settings(name: &str) -> Settings {
    let mut settings = settings(name);
    settings.operations = Some(OperationsSettings {
        address: "127.0.0.1:1".parse().unwrap(),
        metering: true,
        autoscale: false,
    });
    settings.bounds.usage_window_s = Some(0.3);
    settings.bounds.usage_due_s = Some(8.0);
    settings
}

struct Metered {
    deployment: Deployment,
    platform: Arc<StandInOperations>,
}

impl Metered {
    async fn start() -> Self {
        let deployment = Deployment::start(1, 2).await;
        let tenant = |name: &str, key: &str| Tenant {
            name: TenantName::from(name),
            keys: vec![ApiKey::from(key.to_owned())],
            priority: None,
            residency: Residency::anywhere(),
        };
        let config = RoutingConfig {
            tenants: vec![tenant("water", "k1"), tenant("power", "k2")],
            ..routing(2)
        };
        deployment
            .log
            .write_operators(DirectoryEntry::Routing(config));
        Self {
            deployment,
            platform: StandInOperations::new(),
        }
    }

    async fn node(&self, name: &str) -> TestNode {
        let log = NodeLog::new(&self.deployment.log);
        let node = TestNode::start_with_operations(
            log,
            metered_settings(name),
            Some(self.platform.clone()),
        )
        .await;
        node.wait_until_known(3).await;
        // Until the node knows the tenants, calls belong to none of them.
        wait_until("tenants are known", || {
            let table = node.context().routes();
            table.is_some_and(|table| table.version() == 2)
        })
        .await;
        node
    }

    async fn wait_for(&self, tenant: &str, count: u64) {
        wait_until("all requests are reported", || {
            self.platform.reported(tenant) >= count
        })
        .await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(self.platform.reported(tenant), count);
    }
}

async fn call(node: &TestNode, key: &str) -> u16 {
    let headers = [("x-id", "call"), ("x-deadline", "5000"), ("x-key", key)];
    let answer = send(node.callers, Method::POST, "/calls/a", &headers, "call").await;
    answer.unwrap().status.as_u16()
}

fn holder(node: &TestNode) -> Option<MachineName> {
    let inner = node.context().control.lock();
    let holder = inner.state.lease().holder();
    holder.map(|holder| holder.machine.clone())
}

#[tokio::test]
async fn requests_of_all_nodes_are_reported_once() {
    let metered = Metered::start().await;
    let (first, second) = (metered.node("a").await, metered.node("b").await);
    for _ in 0..7 {
        assert_eq!(call(&first, "k1").await, 200);
        assert_eq!(call(&second, "k1").await, 200);
        assert_eq!(call(&second, "k2").await, 200);
    }
    assert_eq!(call(&first, "nobody's").await, 401);
    metered.wait_for("water", 14).await;
    metered.wait_for("power", 7).await;
    let seen = metered.platform.reports();
    let windows: Vec<u64> = seen.iter().map(|report| report.window).collect();
    let first_window = windows[0];
    let expected: Vec<u64> = (first_window..).take(windows.len()).collect();
    assert_eq!(windows, expected, "each window once, in order");
}

/// A request counts once, however often it was sent, and only if a back end began it.
#[tokio::test]
async fn a_request_counts_once_if_it_was_begun() {
    let metered = Metered::start().await;
    let node = metered.node("a").await;
    let applications = &metered.deployment.applications;
    applications[0].behave(|behaviour| behaviour.call = CallBehaviour::Fail);
    for _ in 0..6 {
        assert_eq!(call(&node, "k1").await, 200);
    }
    for application in applications {
        application.behave(|behaviour| behaviour.call = CallBehaviour::NotRun);
    }
    assert_eq!(call(&node, "k2").await, 503);
    metered.wait_for("water", 6).await;
    assert_eq!(metered.platform.reported("power"), 0);
}

#[tokio::test]
async fn items_and_reward_calls_are_not_counted_as_usage() {
    let metered = Metered::start().await;
    let node = metered.node("a").await;
    let headers = [("x-id", "batch"), ("x-key", "k1")];
    let body = write_batch(1, &[("i1", "g"), ("i2", "g")], true);
    let answer = send(node.callers, Method::POST, "/batches/b", &headers, body).await;
    assert_eq!(answer.unwrap().status.as_u16(), 202);
    wait_until("the items are rewarded", || {
        let applications = metered.deployment.applications.iter();
        applications.map(|a| a.seen().len()).sum::<usize>() == 2
    })
    .await;
    assert_eq!(call(&node, "k2").await, 200);
    metered.wait_for("power", 1).await;
    assert_eq!(metered.platform.reported("water"), 0);
}

/// Guards against different reports of one window. The holder dies after reports that the platform may have received;
/// the next holder must report the same counts for each window.
#[tokio::test]
async fn the_next_holder_reports_the_decided_counts() {
    let metered = Metered::start().await;
    let (mut first, mut second) = (metered.node("a").await, metered.node("b").await);
    for _ in 0..5 {
        assert_eq!(call(&first, "k1").await, 200);
        assert_eq!(call(&second, "k1").await, 200);
    }
    // The platform takes the reports, but the holder gets no answer and repeats them.
    metered.platform.fail(Some(DutyError::Unanswered));
    wait_until("usage is reported", || {
        metered.platform.reported("water") > 0
    })
    .await;
    let is_first = holder(&first) == Some(MachineName::from("a"));
    let other = if is_first { &second } else { &first };
    assert_eq!(call(other, "k1").await, 200);
    wait_until("all counts are in the log", || {
        [&first, &second].iter().all(|node| {
            let context = node.context();
            context.usage.is_written(&context.node)
        })
    })
    .await;
    if is_first {
        first.kill()
    } else {
        second.kill()
    };
    metered.platform.fail(None);
    metered.wait_for("water", 11).await;
    let seen = metered.platform.reports();
    let fences: Vec<u64> = seen.iter().map(|report| report.fence).collect();
    assert!(fences.is_sorted(), "{fences:?}");
    let holders: std::collections::BTreeSet<(u64, String)> = seen
        .into_iter()
        .map(|report| (report.fence, report.holder))
        .collect();
    assert_eq!(holders.len(), 2, "a token for each holder: {holders:?}");
}

/// A graceful stop loses no counts.
#[tokio::test]
async fn a_node_that_stops_writes_its_counts_first() {
    let metered = Metered::start().await;
    let (first, second) = (metered.node("a").await, metered.node("b").await);
    let is_first = holder(&first) == Some(MachineName::from("a"));
    let (stays, stops) = if is_first {
        (first, second)
    } else {
        (second, first)
    };
    assert_eq!(call(&stops, "k1").await, 200);
    stops.stop().await;
    assert_eq!(call(&stays, "k1").await, 200);
    metered.wait_for("water", 2).await;
}

#[tokio::test]
async fn usage_is_reported_after_a_platform_outage() {
    let metered = Metered::start().await;
    let node = metered.node("a").await;
    metered.platform.fail(Some(DutyError::Refused(503)));
    for _ in 0..3 {
        assert_eq!(call(&node, "k1").await, 200);
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(metered.platform.reported("water"), 0);
    metered.platform.fail(None);
    metered.wait_for("water", 3).await;
}

/// Guards against the loss of requests that precede the first lease holder. If reports begin with the window in which
/// the first holder starts, earlier windows are never reported. Nor is the window just before it, if the window ended
/// just then and its counts were not in the log yet.
#[tokio::test]
async fn requests_before_the_first_holder_are_reported() {
    let metered = Metered::start().await;
    let log = NodeLog::new(&metered.deployment.log);
    let earlier = TimeOfDay::start().now() - 1_000;
    let record = UsageRecord {
        node: NodeId {
            machine: MachineName::from("b"),
            life: 1,
        },
        window: window_at(earlier, 300),
        counts: [(TenantName::from("water"), 3)].into(),
    };
    let partition = StreamPartition {
        stream: LogStream::Usage,
        partition: 1,
    };
    let records = framing::split(&record.encode(), 512);
    log.append(partition, records).await.unwrap();
    let _node = metered.node("a").await;
    metered.wait_for("water", 3).await;
}

/// Each call is made shortly before a window ends, and the first holder starts shortly after the end.
#[tokio::test]
async fn calls_just_before_the_first_holder_starts_are_reported() {
    for _ in 0..4 {
        let metered = Metered::start().await;
        let settings = metered_settings("a");
        let log = NodeLog::new(&metered.deployment.log);
        let time = TimeOfDay::start();
        let into_window = time.now() % 300;
        tokio::time::sleep(Duration::from_millis(300 + 250 - into_window)).await;
        let node =
            TestNode::start_with_operations(log, settings, Some(metered.platform.clone())).await;
        node.wait_until_known(3).await;
        wait_until("tenants are known", || {
            let table = node.context().routes();
            table.is_some_and(|table| table.version() == 2)
        })
        .await;
        assert_eq!(call(&node, "k1").await, 200);
        metered.wait_for("water", 1).await;
    }
}
