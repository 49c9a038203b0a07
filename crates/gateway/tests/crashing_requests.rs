//! A request that crashes back ends is barred at all nodes after three ends, and then run only in a few trials.
//!
//! The tests guard against a request that crashes one back end after the other. Its node retries it on the next back
//! end until the route's attempts are used up, its caller asks another node, which starts again, and so on, also with
//! the back ends' next incarnations. If nodes kept nothing about a request from one try to the next and a failed send
//! counted against the back end alone, a pool of three back ends would be gone for seconds again and again: after three
//! ends the request was sent four to seven times more, and 13 back ends ended. In the log, this shows as `call` lines
//! with `sends` of `broken,broken` at one node after the other, each on back ends that started seconds before and ended
//! with that send.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use havenstage_gateway::operator::{ClearError, clear_request};
use havenstage_rollout::crash_ledger::TRIAL_PAUSES_MS;
use http::Method;
use support::backend::{CallBehaviour, StandInBackend};
use support::caller::{call, send, submit, wait_for_results};
use support::deployment::{APPLICATIONS, Deployment, ENGINES, TestNode, listed, wait_until};
use support::dialect::write_batch;
use support::ends::{
    HARMFUL_PATH_PART, MAX_ENDS, count_ended, end_on_harmful_requests, wait_for_ends_known_by_all,
};
use support::log::{LogFaults, NodeLog};

/// Time in which nodes learn of the ends that other nodes saw.
const PROPAGATION_TIME: Duration = Duration::from_millis(400);

async fn nodes(deployment: &Deployment, names: &[&str]) -> Vec<TestNode> {
    let mut nodes = Vec::new();
    for name in names {
        nodes.push(deployment.node(name).await);
    }
    nodes
}

async fn ask(node: &TestNode, id: &str, path: &str) -> u16 {
    call(node.callers, id, path).await.status.as_u16()
}

#[tokio::test]
async fn a_call_that_ends_back_ends_is_soon_refused_by_all_nodes() {
    let deployment = Deployment::start(0, 8).await;
    end_on_harmful_requests(&deployment.applications);
    let nodes = nodes(&deployment, &["a", "b", "c"]).await;
    for round in 0..3 {
        for (at, node) in nodes.iter().enumerate() {
            let id = format!("try-{round}-{at}");
            assert_eq!(ask(node, &id, "/calls/harmful").await, 502);
            wait_for_ends_known_by_all(&nodes, &deployment.applications).await;
        }
    }
    let ended = count_ended(&deployment.applications);
    assert!(ended <= MAX_ENDS, "{ended} back ends ended");
    let harmless = ask(&nodes[0], "honest", "/calls/honest").await;
    assert_eq!(harmless, 200, "the remaining back ends serve");
}

/// Later tries of a harmful request reach the next incarnations of the back ends, which run under new ids.
#[tokio::test]
async fn restarted_back_ends_are_not_ended_again() {
    let deployment = Deployment::start(0, 3).await;
    end_on_harmful_requests(&deployment.applications);
    let node = deployment.node("a").await;
    ask(&node, "first", "/calls/harmful").await;
    let mut next_lives = Vec::new();
    for former in &deployment.applications {
        former.end();
        let id = format!("{}-again", former.id);
        wait_until("the address is free", || {
            std::net::TcpListener::bind(former.address).is_ok()
        })
        .await;
        let next = StandInBackend::start_at(&id, former.address).await;
        deployment
            .log
            .write_backends(listed(&next, APPLICATIONS, false));
        next_lives.push(next);
    }
    end_on_harmful_requests(&next_lives);
    node.wait_until_known(6).await;
    for number in 0..5 {
        ask(&node, &format!("next-{number}"), "/calls/harmful").await;
    }
    assert_eq!(count_ended(&next_lives), 0);
    assert_eq!(ask(&node, "honest", "/calls/honest").await, 200);
}

/// Broken connections don't count against a request while the back ends are alive.
#[tokio::test]
async fn a_request_whose_connections_break_is_not_refused() {
    let deployment = Deployment::start(0, 3).await;
    for backend in &deployment.applications {
        backend.behave(|behaviour| behaviour.call = CallBehaviour::Break);
    }
    let node = deployment.node("a").await;
    for number in 0..5 {
        ask(&node, &format!("broken-{number}"), "/calls/honest").await;
    }
    for backend in &deployment.applications {
        backend.behave(|behaviour| behaviour.call = CallBehaviour::Answer);
    }
    assert_eq!(ask(&node, "after", "/calls/honest").await, 200);
}

/// A harmless request that repeatedly ran on the same back end as a harmful one when it ended is still served.
#[tokio::test]
async fn a_request_beside_a_harmful_one_is_served() {
    let deployment = Deployment::start(0, 8).await;
    for backend in &deployment.applications {
        backend.behave(|behaviour| {
            behaviour.ends_on_path = Some(HARMFUL_PATH_PART.to_owned());
            behaviour.call = CallBehaviour::Silent;
        });
    }
    let nodes = nodes(&deployment, &["a", "b"]).await;
    let harmless_calls = (0..4).map(|number| {
        let address = nodes[number % 2].callers;
        tokio::spawn(async move {
            let id = format!("honest-{number}");
            let headers = [("x-id", id.as_str()), ("x-deadline", "2500")];
            let path = format!("/calls/honest-{number}");
            let answer = send(address, Method::POST, &path, &headers, "call").await;
            answer.map(|answer| answer.status.as_u16())
        })
    });
    let harmless_calls: Vec<_> = harmless_calls.collect();
    tokio::time::sleep(Duration::from_millis(50)).await;
    for (at, node) in nodes.iter().enumerate() {
        ask(node, &format!("try-{at}"), "/calls/harmful").await;
    }
    for harmless_call in harmless_calls {
        let _ = harmless_call.await.unwrap();
    }
    for backend in &deployment.applications {
        backend.behave(|behaviour| behaviour.call = CallBehaviour::Answer);
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    for number in 0..4 {
        let path = format!("/calls/honest-{number}");
        let status = ask(&nodes[number % 2], &format!("again-{number}"), &path).await;
        assert_eq!(status, 200, "{path}");
    }
}

/// Ends that items don't cause, for instance of back ends that are stopped while items run there, cost no item.
#[tokio::test]
async fn items_survive_back_ends_that_end_one_after_the_other() {
    let deployment = Deployment::start(6, 0).await;
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.event_pause = Duration::from_millis(250));
    }
    let node = deployment.node("a").await;
    let items: Vec<(String, String)> = (0..12)
        .map(|at| (format!("i{at}"), format!("g{}", at % 3)))
        .collect();
    let items: Vec<(&str, &str)> = items
        .iter()
        .map(|(item, group)| (item.as_str(), group.as_str()))
        .collect();
    let body = write_batch(1, &items, false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    for engine in deployment.engines.iter().take(5) {
        tokio::time::sleep(Duration::from_millis(400)).await;
        engine.end();
    }
    let lines = wait_for_results(node.callers, "batch", items.len()).await;
    assert!(
        lines.iter().all(|line| line.contains("|completed|")),
        "{lines:?}"
    );
    let engine = &deployment.engines[5];
    assert!(!engine.runs().is_empty(), "the last of {ENGINES} served");
}

#[tokio::test]
async fn a_stream_that_ends_back_ends_is_soon_refused_by_all_nodes() {
    let deployment = Deployment::start(8, 0).await;
    end_on_harmful_requests(&deployment.engines);
    let nodes = nodes(&deployment, &["a", "b", "c"]).await;
    for (at, node) in nodes.iter().chain(&nodes).enumerate() {
        let id = format!("try-{at}");
        assert_eq!(ask(node, &id, "/streams/harmful").await, 502);
        wait_for_ends_known_by_all(&nodes, &deployment.engines).await;
    }
    let ended = count_ended(&deployment.engines);
    assert!(ended <= MAX_ENDS, "{ended} back ends ended");
}

/// A node that starts reads the known ends from the log before it sends requests to back ends.
#[tokio::test]
async fn a_node_that_starts_knows_of_earlier_ends() {
    let deployment = Deployment::start(0, 8).await;
    end_on_harmful_requests(&deployment.applications);
    let mut first = deployment.node("a").await;
    for number in 0..2 {
        ask(&first, &format!("try-{number}"), "/calls/harmful").await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    first.kill();
    let before = count_ended(&deployment.applications);
    let second = deployment.node("b").await;
    assert_eq!(ask(&second, "late", "/calls/harmful").await, 502);
    assert_eq!(count_ended(&deployment.applications), before);
}

/// While the log is unavailable to a node, the node decides by the ends that it saw itself, and makes no trial. When the
/// log is available again, the other nodes learn of these ends, and need one trial at most.
#[tokio::test]
async fn a_node_without_the_log_decides_by_the_ends_it_saw() {
    let deployment = Deployment::start(0, 8).await;
    end_on_harmful_requests(&deployment.applications);
    let nodes = nodes(&deployment, &["a", "b"]).await;
    nodes[0].wait_until_addresses_known(nodes.len()).await;
    nodes[0].set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    for number in 0..4 {
        ask(&nodes[0], &format!("try-{number}"), "/calls/harmful").await;
    }
    tokio::time::sleep(Duration::from_millis(TRIAL_PAUSES_MS[0])).await;
    ask(&nodes[0], "without-the-log", "/calls/harmful").await;
    let before = count_ended(&deployment.applications);
    assert!(before <= MAX_ENDS, "{before} back ends ended");
    nodes[0].set_faults(LogFaults::default());
    wait_for_ends_known_by_all(&nodes, &deployment.applications).await;
    for number in 0..4 {
        ask(&nodes[1], &format!("elsewhere-{number}"), "/calls/harmful").await;
    }
    assert!(count_ended(&deployment.applications) <= before + 1);
}

/// An operator clears a request that is barred by mistake, by the fingerprint from the log lines.
#[tokio::test]
async fn a_bar_that_an_operator_lifts_is_lifted_at_all_nodes() {
    let deployment = Deployment::start(0, 8).await;
    end_on_harmful_requests(&deployment.applications);
    let nodes = nodes(&deployment, &["a", "b"]).await;
    for number in 0..2 {
        ask(&nodes[0], &format!("try-{number}"), "/calls/harmful").await;
    }
    wait_for_ends_known_by_all(&nodes, &deployment.applications).await;
    for backend in &deployment.applications {
        backend.behave(|behaviour| behaviour.ends_on_path = None);
    }
    assert_eq!(ask(&nodes[1], "barred", "/calls/harmful").await, 502);
    let suspects = nodes[0]
        .context()
        .control
        .lock()
        .state
        .checkpoint(0)
        .crashes;
    assert_eq!(suspects.len(), 1, "{suspects:?}");
    let log = NodeLog::new(&deployment.log);
    let wrong = clear_request(log.as_ref(), 512, "no fingerprint").await;
    assert!(matches!(wrong, Err(ClearError::InvalidFingerprint(_))));
    let fingerprint = suspects[0].request.to_string();
    clear_request(log.as_ref(), 512, &fingerprint)
        .await
        .unwrap();
    wait_until("the request is cleared at all nodes", || {
        let is_cleared = |node: &TestNode| node.context().control.lock().state.crashes().is_empty();
        nodes.iter().all(is_cleared)
    })
    .await;
    assert_eq!(ask(&nodes[1], "lifted", "/calls/harmful").await, 200);
}

/// Path of a request that many callers send.
const SHARED_PATH: &str = "/calls/shared";
/// Time within which a request is served again: that within which a deployment recovers from a fault.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// All applications crash at the same moment, each while it runs the same harmless request, so that this request is barred
/// at all nodes.
async fn crash_all_beside_a_shared_request(deployment: &Deployment, nodes: &[TestNode]) {
    for backend in &deployment.applications {
        backend.behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    }
    let mut running = Vec::new();
    for number in 0..4 * nodes.len() {
        let address = nodes[number % nodes.len()].callers;
        running.push(tokio::spawn(async move {
            call(address, &format!("shared-{number}"), SHARED_PATH).await
        }));
    }
    wait_until("each application runs the request", || {
        let mut applications = deployment.applications.iter();
        applications.all(|application| application.in_flight() > 0)
    })
    .await;
    for backend in &deployment.applications {
        backend.end();
    }
    for call in running {
        call.await.unwrap();
    }
    for (at, node) in nodes.iter().enumerate() {
        assert_eq!(ask(node, &format!("barred-{at}"), SHARED_PATH).await, 502);
    }
}

async fn start_next_applications(deployment: &Deployment) -> Vec<Arc<StandInBackend>> {
    let mut next = Vec::new();
    for former in &deployment.applications {
        let backend = StandInBackend::start(&format!("{}-next", former.id)).await;
        deployment
            .log
            .write_backends(listed(&backend, APPLICATIONS, false));
        next.push(backend);
    }
    next
}

async fn ask_until_served(node: &TestNode) {
    let asked_since = Instant::now();
    for number in 0.. {
        let status = ask(node, &format!("again-{number}"), SHARED_PATH).await;
        if status == 200 {
            return;
        }
        let asked_for = asked_since.elapsed();
        assert!(asked_for < RECOVERY_TIME, "{status} after {asked_for:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against refusing a harmless request for good: all back ends of its pool crashed at once while they ran it, and
/// its callers retry it all the time.
#[tokio::test]
async fn a_request_that_all_back_ends_ran_as_they_crashed_is_served_again() {
    let deployment = Deployment::start(0, 3).await;
    let nodes = nodes(&deployment, &["a", "b", "c"]).await;
    crash_all_beside_a_shared_request(&deployment, &nodes).await;
    let _next = start_next_applications(&deployment).await;
    for node in &nodes {
        ask_until_served(node).await;
    }
}

/// The same if all nodes restart before the request was tried again, and if the machines that saw the crash are gone.
#[tokio::test]
async fn a_request_that_all_back_ends_ran_as_they_crashed_is_served_after_restarts() {
    let deployment = Deployment::start(0, 3).await;
    let mut nodes = nodes(&deployment, &["a", "b", "c"]).await;
    crash_all_beside_a_shared_request(&deployment, &nodes).await;
    for node in &mut nodes {
        node.kill();
    }
    let _next = start_next_applications(&deployment).await;
    for name in ["c", "d"] {
        let node = deployment.node_with_known_backends(name, 6).await;
        ask_until_served(&node).await;
    }
}

/// Time for which callers retry a harmful request: longer than the pauses before the first two trials, and shorter than
/// those before three.
const LONG_RETRY_TIME: Duration = Duration::from_secs(11);
/// Number of trials that are due in this time.
const TRIALS: usize = 2;

/// Guards against trials of a harmful request that each node makes for itself, or that its callers bring about.
#[tokio::test]
async fn few_back_ends_end_in_trials_of_a_harmful_request() {
    let deployment = Deployment::start(0, 12).await;
    end_on_harmful_requests(&deployment.applications);
    let nodes = nodes(&deployment, &["a", "b", "c"]).await;
    ask(&nodes[0], "first", "/calls/harmful").await;
    wait_for_ends_known_by_all(&nodes, &deployment.applications).await;
    assert_eq!(count_ended(&deployment.applications), MAX_ENDS);
    let asked_since = Instant::now();
    for number in 0.. {
        let asking = nodes.iter().enumerate().map(|(at, node)| {
            let (address, id) = (node.callers, format!("try-{number}-{at}"));
            tokio::spawn(async move { call(address, &id, "/calls/harmful").await.status })
        });
        for asked in asking.collect::<Vec<_>>() {
            assert_eq!(asked.await.unwrap(), 502);
        }
        if asked_since.elapsed() > LONG_RETRY_TIME {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let ended = count_ended(&deployment.applications);
    assert!(ended <= MAX_ENDS + TRIALS, "{ended} back ends ended");
    assert_eq!(ask(&nodes[0], "honest", "/calls/honest").await, 200);
}
