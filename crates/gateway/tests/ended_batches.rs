//! Once the end of a batch is in force, no request of the batch reaches a back end, whatever the owner can read.
//!
//! Guards against an owner that acts on outdated knowledge. If one failed read of the partition, or the pause after it,
//! is taken to mean that no node can read the log, and knowledge of any age is used from then on, the owner sends items
//! of a batch seconds (3.3 s) after another node's end was acknowledged, and a former owner runs finished items a second
//! time. Reward calls need recent knowledge as well.

mod support;

use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_gateway::calls::{self, Call};
use http::Method;
use support::backend::{CallBehaviour, ReceivedRequest, StandInBackend};
use support::caller::{send, submit, wait_for_results};
use support::deployment::{Deployment, TestNode, wait_until};
use support::dialect::{HOST, write_batch};
use support::log::LogFaults;

/// So many items that some still wait for a slot of the engine seconds after the end is in force.
const MANY_ITEMS: usize = 60;
/// Time for which requests to back ends are observed once the end is in force.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Maximum time that a request takes to reach a back end.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(100);
/// Longer than any test runs.
const LONGER_THAN_TEST: Duration = Duration::from_secs(60);

/// Faults by which one node's reads yield nothing while the log serves other nodes.
fn read_faults() -> [(&'static str, LogFaults); 4] {
    let none = LogFaults::default;
    [
        (
            "reads are throttled",
            LogFaults {
                throttles_reads: true,
                ..none()
            },
        ),
        (
            "reads get no answer",
            LogFaults {
                reads_hang: true,
                ..none()
            },
        ),
        (
            "no call reaches the log",
            LogFaults {
                is_cut: true,
                ..none()
            },
        ),
        (
            "answers to reads are delayed",
            LogFaults {
                read_delay: LONGER_THAN_TEST,
                ..none()
            },
        ),
    ]
}

/// Ends the batch at a node and returns a time by which the end has been acknowledged.
async fn end_at(node: &TestNode) -> Instant {
    let ended = send(node.callers, Method::DELETE, "/results/batch", &[], "")
        .await
        .unwrap();
    assert_eq!(ended.status, 200);
    Instant::now()
}

fn end_in_force_delay(node: &TestNode) -> Duration {
    Duration::from_millis(node.context().settings.bounds.end_in_force_ms)
}

fn is_item(seen: &ReceivedRequest) -> bool {
    seen.path.starts_with("/items/")
}

fn is_reward(seen: &ReceivedRequest) -> bool {
    seen.path == "/calls/reward"
}

/// For each request that arrived after the end was in force, how long after the end it arrived, in milliseconds.
fn late_ms(
    backend: &StandInBackend,
    is_work: fn(&ReceivedRequest) -> bool,
    ended: Instant,
    in_force: Duration,
) -> Vec<u128> {
    let seen = backend.seen();
    let late = seen
        .iter()
        .filter(|seen| is_work(seen) && seen.at > ended + in_force);
    late.map(|seen| (seen.at - ended).as_millis()).collect()
}

async fn submit_many_items(deployment: &Deployment, owner: &TestNode, has_reward: bool) {
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_millis(400));
    let names: Vec<String> = (0..MANY_ITEMS).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "g")).collect();
    let body = write_batch(1, &items, has_reward);
    assert_eq!(submit(owner.callers, "batch", &body).await, 202);
    wait_until("items run", || !deployment.engines[0].runs().is_empty()).await;
}

/// Observes the engine and returns how long after the end late items arrived, in milliseconds.
async fn late_items(deployment: &Deployment, ended: Instant, in_force: Duration) -> Vec<u128> {
    havenstage_clock::sleep_until(ended + in_force).await;
    let started_runs = deployment.engines[0].runs().len();
    assert!(
        started_runs < MANY_ITEMS,
        "items still wait when the end is in force"
    );
    tokio::time::sleep(OBSERVATION_TIME).await;
    late_ms(&deployment.engines[0], is_item, ended, in_force)
}

async fn late_items_with_faults(faults: LogFaults) -> Vec<u128> {
    let deployment = Deployment::start(1, 1).await;
    let (owner, other) = (deployment.node("a").await, deployment.node("b").await);
    submit_many_items(&deployment, &owner, false).await;
    owner.set_faults(faults);
    let ended = end_at(&other).await;
    late_items(&deployment, ended, end_in_force_delay(&owner)).await
}

#[tokio::test]
async fn an_owner_that_cannot_read_sends_no_items_of_an_ended_batch() {
    let scenarios = read_faults()
        .map(|(fault, faults)| async move { (fault, late_items_with_faults(faults).await) });
    let outcomes = futures::future::join_all(scenarios).await;
    let late: Vec<_> = outcomes
        .iter()
        .filter(|(_, late)| !late.is_empty())
        .collect();
    assert!(late.is_empty(), "ms after the end: {late:?}");
}

/// The owner was disconnected, and another node claimed its batch. When the log serves the former owner again, its first
/// read takes long, because of a slow answer, a queue or a pause after refusals.
#[tokio::test]
async fn a_former_owner_that_waits_for_its_first_read_sends_no_items_of_an_ended_batch() {
    let deployment = Deployment::start(1, 1).await;
    let (former, other) = (deployment.node("a").await, deployment.node("b").await);
    submit_many_items(&deployment, &former, false).await;
    former.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    wait_until("the other node has claimed the batch", || {
        other.context().holds(&"batch".into())
    })
    .await;
    former.set_faults(LogFaults {
        read_delay: LONGER_THAN_TEST,
        ..LogFaults::default()
    });
    let ended = end_at(&other).await;
    let late = late_items(&deployment, ended, end_in_force_delay(&former)).await;
    assert!(late.is_empty(), "ms after the end: {late:?}");
}

async fn late_rewards_with_faults(faults: LogFaults) -> Vec<u128> {
    let deployment = Deployment::start(1, 1).await;
    let (owner, other) = (deployment.node("a").await, deployment.node("b").await);
    let application = &deployment.applications[0];
    // The reward call is retried again and again.
    application.behave(|behaviour| behaviour.call = CallBehaviour::OutOfTime);
    let body = write_batch(1, &[("item", "g")], true);
    assert_eq!(submit(owner.callers, "batch", &body).await, 202);
    wait_until("the reward call was repeated", || {
        application.seen().len() > 4
    })
    .await;
    owner.set_faults(faults);
    let ended = end_at(&other).await;
    let in_force = end_in_force_delay(&owner);
    havenstage_clock::sleep_until(ended + in_force + OBSERVATION_TIME).await;
    late_ms(application, is_reward, ended, in_force)
}

#[tokio::test]
async fn an_owner_that_cannot_read_makes_no_reward_calls_for_an_ended_batch() {
    let scenarios = read_faults()
        .map(|(fault, faults)| async move { (fault, late_rewards_with_faults(faults).await) });
    let outcomes = futures::future::join_all(scenarios).await;
    let late: Vec<_> = outcomes
        .iter()
        .filter(|(_, late)| !late.is_empty())
        .map(|(fault, late)| (fault, late.len(), late.last()))
        .collect();
    assert!(late.is_empty(), "calls and ms after the end: {late:?}");
}

/// Items and reward calls that were paused while the log could not be read are started once it can be read again.
#[tokio::test]
async fn paused_work_resumes() {
    let deployment = Deployment::start(1, 1).await;
    let owner = deployment.node("a").await;
    submit_many_items(&deployment, &owner, true).await;
    owner.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    tokio::time::sleep(end_in_force_delay(&owner)).await;
    let started_runs = deployment.engines[0].runs().len();
    assert!(started_runs < MANY_ITEMS, "items still wait");
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(deployment.engines[0].runs().len(), started_runs);
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_millis(5));
    owner.set_faults(LogFaults::default());
    let lines = wait_for_results(owner.callers, "batch", MANY_ITEMS).await;
    assert!(
        lines.iter().all(|line| line.contains("|completed|")),
        "{lines:?}"
    );
    assert_eq!(deployment.applications[0].seen().len(), MANY_ITEMS);
}

/// A call made for a batch is not sent to a second back end once the end of the batch is known, even if the first one
/// does not answer.
#[tokio::test]
async fn a_call_for_an_ended_batch_is_not_retried() {
    let deployment = Deployment::start(1, 2).await;
    let node = deployment.node("a").await;
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = LONGER_THAN_TEST);
    for application in &deployment.applications {
        application.behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    }
    let body = write_batch(1, &[("item", "g")], false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    let context = node.context().clone();
    wait_until("the batch is known", || {
        context.write_deadline(&"batch".into()).is_some()
    })
    .await;
    let table = context.routes().unwrap();
    let route = table.find(HOST, "/calls/reward").unwrap();
    let call = Call {
        id: "reward".parse().unwrap(),
        method: Method::POST,
        uri: "/calls/reward".parse().unwrap(),
        headers: [(http::header::HOST, HOST.parse().unwrap())]
            .into_iter()
            .collect(),
        body: "reward".into(),
        deadline: havenstage_clock::Instant::now() + Duration::from_millis(1_500),
        tenant: None,
        batch: Some("batch".into()),
        fingerprint: Default::default(),
    };
    let ending = async {
        wait_until("a back end has received the call", || {
            !arrivals(&deployment).is_empty()
        })
        .await;
        end_at(&node).await;
        wait_until("the end is known", || {
            context.write_deadline(&"batch".into()).is_none()
        })
        .await;
        Instant::now()
    };
    let (_, known) = tokio::join!(calls::execute(&context, route, call), ending);
    let late: Vec<u128> = arrivals(&deployment)
        .into_iter()
        .filter(|at| *at > known + MAX_TRANSIT_TIME)
        .map(|at| (at - known).as_millis())
        .collect();
    assert!(late.is_empty(), "ms after the end was known: {late:?}");
}

/// Times at which applications received calls.
fn arrivals(deployment: &Deployment) -> Vec<Instant> {
    let applications = deployment.applications.iter();
    let seen = applications.flat_map(|application| application.seen());
    seen.map(|seen| seen.at).collect()
}
