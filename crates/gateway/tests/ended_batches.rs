//! Nothing of an ended batch reaches a back end once the end is in force, whatever the owner can read.
//!
//! An item of a batch reached a back end 3.3 s after another node's end of the batch had been
//! acknowledged; it had been run whole by one node before, and was run whole again by a second one that
//! still took itself for the owner. The store served that second node. Its knowledge of the batch was
//! old: one failed read of the partition, or the wait after it, was taken for a log that nobody can read,
//! and then knowledge of any age was acted on. Reward calls asked for no knowledge at all.

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

/// More items than the places of an engine take until some seconds after the end is in force.
const MANY_ITEMS: usize = 60;
/// Time for which back ends are watched once the end is in force.
const WATCHED: Duration = Duration::from_secs(3);
/// Time that a request may be on its way to a back end.
const ON_ITS_WAY: Duration = Duration::from_millis(100);
/// A read that takes longer than any test.
const FOR_EVER: Duration = Duration::from_secs(60);

/// Ways in which one node's reads bring nothing while the log serves the others.
fn troubles_of_reading() -> [(&'static str, LogFaults); 4] {
    let none = LogFaults::default;
    [
        (
            "reads are refused as too many",
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
            "answers to reads are on their way for long",
            LogFaults {
                read_delay: FOR_EVER,
                ..none()
            },
        ),
    ]
}

/// Ends the batch at a node and returns when that was acknowledged, at the latest.
async fn end_at(node: &TestNode) -> Instant {
    let ended = send(node.callers, Method::DELETE, "/results/batch", &[], "")
        .await
        .unwrap();
    assert_eq!(ended.status, 200);
    Instant::now()
}

fn in_force(node: &TestNode) -> Duration {
    Duration::from_millis(node.context().settings.bounds.end_in_force_ms)
}

fn is_item(seen: &ReceivedRequest) -> bool {
    seen.path.starts_with("/items/")
}

fn is_reward(seen: &ReceivedRequest) -> bool {
    seen.path == "/calls/reward"
}

/// How long after the end the requests came that came too late, in milliseconds.
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

async fn hand_in_many_items(deployment: &Deployment, owner: &TestNode, has_reward: bool) {
    deployment.engines[0].behave(|told| told.event_pause = Duration::from_millis(400));
    let names: Vec<String> = (0..MANY_ITEMS).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "g")).collect();
    let body = write_batch(1, &items, has_reward);
    assert_eq!(submit(owner.callers, "batch", &body).await, 202);
    wait_until("items run", || !deployment.engines[0].runs().is_empty()).await;
}

/// Watches the engine and returns how late items came.
async fn late_items(deployment: &Deployment, ended: Instant, in_force: Duration) -> Vec<u128> {
    havenstage_clock::sleep_until(ended + in_force).await;
    let begun = deployment.engines[0].runs().len();
    assert!(
        begun < MANY_ITEMS,
        "items still wait when the end is in force"
    );
    tokio::time::sleep(WATCHED).await;
    late_ms(&deployment.engines[0], is_item, ended, in_force)
}

async fn late_items_amid(faults: LogFaults) -> Vec<u128> {
    let deployment = Deployment::start(1, 1).await;
    let (owner, other) = (deployment.node("a").await, deployment.node("b").await);
    hand_in_many_items(&deployment, &owner, false).await;
    owner.set_faults(faults);
    let ended = end_at(&other).await;
    late_items(&deployment, ended, in_force(&owner)).await
}

#[tokio::test]
async fn an_owner_that_cannot_read_sends_no_items_of_an_ended_batch() {
    let plays = troubles_of_reading()
        .map(|(trouble, faults)| async move { (trouble, late_items_amid(faults).await) });
    let played = futures::future::join_all(plays).await;
    let late: Vec<_> = played.iter().filter(|(_, late)| !late.is_empty()).collect();
    assert!(late.is_empty(), "ms after the end: {late:?}");
}

/// The owner was cut off, and another node claimed its batch. Once the log serves the former owner again,
/// its first read takes long, be it on its way, in wait for a turn, or behind a pause after refusals.
#[tokio::test]
async fn a_former_owner_that_waits_for_its_first_read_sends_no_items_of_an_ended_batch() {
    let deployment = Deployment::start(1, 1).await;
    let (former, other) = (deployment.node("a").await, deployment.node("b").await);
    hand_in_many_items(&deployment, &former, false).await;
    former.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    wait_until("the other node has claimed the batch", || {
        other.context().holds(&"batch".into())
    })
    .await;
    former.set_faults(LogFaults {
        read_delay: FOR_EVER,
        ..LogFaults::default()
    });
    let ended = end_at(&other).await;
    let late = late_items(&deployment, ended, in_force(&former)).await;
    assert!(late.is_empty(), "ms after the end: {late:?}");
}

async fn late_rewards_amid(faults: LogFaults) -> Vec<u128> {
    let deployment = Deployment::start(1, 1).await;
    let (owner, other) = (deployment.node("a").await, deployment.node("b").await);
    let application = &deployment.applications[0];
    // The reward call is repeated.
    application.behave(|told| told.call = CallBehaviour::OutOfTime);
    let body = write_batch(1, &[("item", "g")], true);
    assert_eq!(submit(owner.callers, "batch", &body).await, 202);
    wait_until("the reward call was repeated", || {
        application.seen().len() > 4
    })
    .await;
    owner.set_faults(faults);
    let ended = end_at(&other).await;
    let in_force = in_force(&owner);
    havenstage_clock::sleep_until(ended + in_force + WATCHED).await;
    late_ms(application, is_reward, ended, in_force)
}

#[tokio::test]
async fn an_owner_that_cannot_read_makes_no_reward_calls_of_an_ended_batch() {
    let plays = troubles_of_reading()
        .map(|(trouble, faults)| async move { (trouble, late_rewards_amid(faults).await) });
    let played = futures::future::join_all(plays).await;
    let late: Vec<_> = played
        .iter()
        .filter(|(_, late)| !late.is_empty())
        .map(|(trouble, late)| (trouble, late.len(), late.last()))
        .collect();
    assert!(late.is_empty(), "calls and ms after the end: {late:?}");
}

/// Starts and reward calls that were held back while the log could not be read go on once it can be.
#[tokio::test]
async fn work_that_was_held_back_goes_on() {
    let deployment = Deployment::start(1, 1).await;
    let owner = deployment.node("a").await;
    hand_in_many_items(&deployment, &owner, true).await;
    owner.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    tokio::time::sleep(in_force(&owner)).await;
    let begun = deployment.engines[0].runs().len();
    assert!(begun < MANY_ITEMS, "items still wait");
    tokio::time::sleep(WATCHED).await;
    assert_eq!(deployment.engines[0].runs().len(), begun);
    deployment.engines[0].behave(|told| told.event_pause = Duration::from_millis(5));
    owner.set_faults(LogFaults::default());
    let lines = wait_for_results(owner.callers, "batch", MANY_ITEMS).await;
    assert!(
        lines.iter().all(|line| line.contains("|completed|")),
        "{lines:?}"
    );
    assert_eq!(deployment.applications[0].seen().len(), MANY_ITEMS);
}

/// A call made for a batch is not sent to a second back end once the end of the batch is known, though
/// the first one is silent.
#[tokio::test]
async fn a_call_of_an_ended_batch_is_not_sent_again() {
    let deployment = Deployment::start(1, 2).await;
    let node = deployment.node("a").await;
    deployment.engines[0].behave(|told| told.event_pause = FOR_EVER);
    for application in &deployment.applications {
        application.behave(|told| told.call = CallBehaviour::Silent);
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
        wait_until("the call came", || !arrivals(&deployment).is_empty()).await;
        end_at(&node).await;
        wait_until("the end is known", || {
            context.write_deadline(&"batch".into()).is_none()
        })
        .await;
        Instant::now()
    };
    let (_, known) = tokio::join!(calls::execute(&context, route, call), ending);
    let again: Vec<u128> = arrivals(&deployment)
        .into_iter()
        .filter(|at| *at > known + ON_ITS_WAY)
        .map(|at| (at - known).as_millis())
        .collect();
    assert!(again.is_empty(), "ms after the end was known: {again:?}");
}

/// When calls came to applications.
fn arrivals(deployment: &Deployment) -> Vec<Instant> {
    let applications = deployment.applications.iter();
    let seen = applications.flat_map(|application| application.seen());
    seen.map(|seen| seen.at).collect()
}
