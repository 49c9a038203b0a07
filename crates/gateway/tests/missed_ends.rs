//! Nodes neither miss nor wrongly retract ends of back ends under a request.
//!
//! The tests guard against a harmful request that is sent on although three back ends ended under it. A node could miss
//! or retract an end when (1) the caller leaves before its node has detected the end, (2) the node is suspended until
//! the next incarnation of the back end listens at the same address, or (3) another back end answers the request with
//! status 500 before it begins to run it. So the detection must not stop with the caller's call, must not rely only on
//! whether somebody listens at the address at that moment, and must not take an answer that reports a failure as
//! evidence that the request is harmless. When it stopped with the call, all eight back ends ended under a request
//! whose callers leave after 10 ms, without any `send_broke` log line.

mod support;

use std::sync::Arc;
use std::time::Duration;

use havenstage_gateway::context::CONTROL;
use havenstage_gateway::edge::SharedLog;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::fleet_size::ANNOUNCE_SPREAD;
use havenstage_rollout::framing;
use havenstage_rollout::reachable_machines::MAX_ADDRESSES;
use havenstage_rollout::stored::Stored;
use http::Method;
use support::backend::{CallBehaviour, ConnectionsAtEnd, StandInBackend};
use support::caller::{call, send};
use support::deployment::{APPLICATIONS, Deployment, TestNode, listed, settings, wait_until};
use support::ends::{
    MAX_ENDS, count_ended, count_known_ends, end_on_harmful_requests, wait_for_ends_known_by_all,
};
use support::log::{LogFaults, NodeLog};

/// Time after which a caller disconnects: before its request has ended the back end.
const CALLER_LEAVES_AFTER: Duration = Duration::from_millis(10);
/// Time from a caller's disconnect to the next try of its request.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Sends a harmful request to the nodes in turn, from callers that leave early, and returns how many back ends ended.
async fn ends_under_callers_that_leave(
    backends: &[Arc<StandInBackend>],
    nodes: &[TestNode],
    path: &str,
) -> usize {
    end_on_harmful_requests(backends);
    for number in 0..3 * MAX_ENDS {
        let address = nodes[number % nodes.len()].callers;
        let id = format!("try-{number}");
        let headers = [("x-id", id.as_str()), ("x-deadline", "2000")];
        let asked = send(address, Method::POST, path, &headers, "call");
        // Dropping the future closes the connection.
        let _ = tokio::time::timeout(CALLER_LEAVES_AFTER, asked).await;
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    count_ended(backends)
}

#[tokio::test]
async fn callers_that_leave_do_not_hide_that_their_call_ends_back_ends() {
    let deployment = Deployment::start(0, 8).await;
    let nodes = [deployment.node("a").await, deployment.node("b").await];
    let backends = &deployment.applications;
    let ended = ends_under_callers_that_leave(backends, &nodes, "/calls/harmful").await;
    assert!(ended <= MAX_ENDS, "{ended} back ends ended");
}

#[tokio::test]
async fn callers_that_leave_do_not_hide_that_their_stream_ends_back_ends() {
    let deployment = Deployment::start(8, 0).await;
    let nodes = [deployment.node("a").await, deployment.node("b").await];
    let backends = &deployment.engines;
    let ended = ends_under_callers_that_leave(backends, &nodes, "/streams/harmful").await;
    assert!(ended <= MAX_ENDS, "{ended} back ends ended");
}

/// No other copy of a suspected request is sent until it is known whether the back end of a given-up send ended.
#[tokio::test]
async fn a_send_that_was_given_up_counts_until_its_outcome_is_known() {
    let deployment = Deployment::start(0, 8).await;
    end_on_harmful_requests(&deployment.applications);
    let node = deployment.node("a").await;
    for number in 0..MAX_ENDS - 1 {
        let id = format!("try-{number}");
        call(node.callers, &id, "/once/harmful").await;
    }
    assert_eq!(count_known_ends(&node), MAX_ENDS - 1);
    let headers = [("x-id", "leaves"), ("x-deadline", "2000")];
    let asked = send(
        node.callers,
        Method::POST,
        "/once/harmful",
        &headers,
        "call",
    );
    let _ = tokio::time::timeout(CALLER_LEAVES_AFTER, asked).await;
    call(node.callers, "next", "/once/harmful").await;
    tokio::time::sleep(RETRY_PAUSE).await;
    assert_eq!(count_ended(&deployment.applications), MAX_ENDS);
}

/// A call that waits for a given-up copy of the same request is not refused: if no back end ended under the copy, the
/// call is sent as soon as that is known.
#[tokio::test]
async fn a_call_waits_for_the_outcome_of_a_copy_that_was_given_up() {
    let deployment = Deployment::start(0, 8).await;
    let backends = &deployment.applications;
    end_on_harmful_requests(backends);
    let node = deployment.node("a").await;
    for number in 0..MAX_ENDS - 1 {
        let id = format!("try-{number}");
        call(node.callers, &id, "/once/harmful").await;
    }
    for backend in backends {
        backend.behave(|behaviour| {
            behaviour.ends_on_path = None;
            behaviour.call = CallBehaviour::Silent;
        });
    }
    let headers = [("x-id", "leaves"), ("x-deadline", "2000")];
    let asked = send(
        node.callers,
        Method::POST,
        "/once/harmful",
        &headers,
        "call",
    );
    let _ = tokio::time::timeout(RETRY_PAUSE, asked).await;
    for backend in backends {
        backend.behave(|behaviour| behaviour.call = CallBehaviour::Answer);
    }
    let answer = call(node.callers, "next", "/once/harmful").await;
    assert_eq!(answer.status, 200);
}

/// A node that is suspended while a back end ends finds another incarnation listening at the address.
#[tokio::test]
async fn an_end_while_the_node_is_suspended_counts() {
    let deployment = Deployment::start(0, 1).await;
    end_on_harmful_requests(&deployment.applications);
    let node = deployment.node("a").await;
    let former = deployment.applications[0].clone();
    let address = node.callers;
    let asked = tokio::spawn(async move {
        call(address, "harmful", "/calls/harmful").await;
    });
    wait_until("the request runs", || !former.seen().is_empty()).await;
    node.block_thread(Duration::from_millis(600)).await;
    wait_until("the address is free", || {
        former.has_ended() && std::net::TcpListener::bind(former.address).is_ok()
    })
    .await;
    let next = StandInBackend::start_at("next", former.address).await;
    next.behave(|behaviour| behaviour.call = CallBehaviour::NotRun);
    let next_entry = listed(&next, APPLICATIONS, false);
    deployment.log.write_backends(next_entry);
    asked.await.unwrap();
    wait_until("the end is known", || count_known_ends(&node) == 1).await;
}

/// A back end that answers a request with a failure may not have begun to run it.
#[tokio::test]
async fn a_failure_of_a_back_end_clears_no_request() {
    let deployment = Deployment::start(0, 8).await;
    let node = deployment.node("a").await;
    for round in 0..2 * MAX_ENDS {
        end_on_harmful_requests(&deployment.applications);
        let id = format!("harmful-{round}");
        call(node.callers, &id, "/once/harmful").await;
        for backend in &deployment.applications {
            backend.behave(|behaviour| {
                behaviour.ends_on_path = None;
                behaviour.call = CallBehaviour::Fail;
            });
        }
        let id = format!("failed-{round}");
        call(node.callers, &id, "/once/harmful").await;
    }
    let ended = count_ended(&deployment.applications);
    assert!(ended <= MAX_ENDS, "{ended} back ends ended");
}

/// A process that ends does not close all its sockets at the same moment: here its address still accepts connections
/// for 5 ms.
#[tokio::test]
async fn an_address_that_is_open_for_a_moment_hides_no_end() {
    let deployment = Deployment::start(0, 8).await;
    end_on_harmful_requests(&deployment.applications);
    for backend in &deployment.applications {
        backend.behave(|behaviour| behaviour.listen_time_after_end = Duration::from_millis(5));
    }
    let node = deployment.node("a").await;
    for number in 0..MAX_ENDS {
        let id = format!("try-{number}");
        assert_eq!(call(node.callers, &id, "/calls/harmful").await.status, 502);
    }
    let ended = count_ended(&deployment.applications);
    assert!(ended <= MAX_ENDS, "{ended} back ends ended");
}

/// Time for which a process that ends on a busy machine still listens: longer than the first check of the address takes.
const LONG_LISTEN_TIME: Duration = Duration::from_millis(40);

/// The third end under a request is found although the address accepts connections for some tens of milliseconds longer. A
/// request that was not suspected would be sent on meanwhile.
#[tokio::test]
async fn an_address_that_is_open_for_longer_hides_no_end_of_a_suspected_request() {
    let deployment = Deployment::start(0, 8).await;
    end_on_harmful_requests(&deployment.applications);
    let node = deployment.node("a").await;
    for number in 0..MAX_ENDS - 1 {
        let id = format!("try-{number}");
        call(node.callers, &id, "/once/harmful").await;
    }
    assert_eq!(count_known_ends(&node), MAX_ENDS - 1);
    for backend in &deployment.applications {
        backend.behave(|behaviour| behaviour.listen_time_after_end = LONG_LISTEN_TIME);
    }
    for number in 0..MAX_ENDS {
        call(node.callers, &format!("late-{number}"), "/once/harmful").await;
    }
    assert_eq!(count_ended(&deployment.applications), MAX_ENDS);
}

/// Time for which a process that ends still listens in the tests of checks of the address.
const LISTEN_TIME_AFTER_END: Duration = Duration::from_millis(5);
/// Number of back ends in these tests: more than the sends of all calls together.
const MANY_BACKENDS: usize = 4 * MAX_ENDS;

/// Makes each of these back ends end when it runs a harmful request, and sets what happens to new connections between
/// the close of its connections and that of its listener.
fn end_with_connections_at_end(
    backends: &[Arc<StandInBackend>],
    connections_at_end: ConnectionsAtEnd,
) {
    end_on_harmful_requests(backends);
    for backend in backends {
        backend.behave(|behaviour| {
            behaviour.listen_time_after_end = LISTEN_TIME_AFTER_END;
            behaviour.connections_at_end = connections_at_end;
        });
    }
}

/// How many back ends end under the tries of a harmful call.
async fn ends_with_connections_at_end(connections_at_end: ConnectionsAtEnd) -> usize {
    let deployment = Deployment::start(0, MANY_BACKENDS).await;
    end_with_connections_at_end(&deployment.applications, connections_at_end);
    let node = deployment.node("a").await;
    for number in 0..MAX_ENDS {
        let id = format!("try-{number}");
        assert_eq!(call(node.callers, &id, "/calls/harmful").await.status, 502);
    }
    count_ended(&deployment.applications)
}

/// The connection that checks the address gets no answer, as its first packet met a full queue or a listener that was
/// just closing. A moment later new connections are refused.
#[tokio::test]
async fn a_check_of_the_address_without_an_answer_hides_no_end() {
    let ended = ends_with_connections_at_end(ConnectionsAtEnd::Dropped).await;
    assert!(ended <= MAX_ENDS, "{ended} back ends ended");
}

/// The connection that checks the address is established and never closes, as the system did not reset it when the
/// listener closed. A moment later new connections are refused.
#[tokio::test]
async fn a_check_of_the_address_that_stays_open_hides_no_end() {
    let ended = ends_with_connections_at_end(ConnectionsAtEnd::KeptOpen).await;
    assert!(ended <= MAX_ENDS, "{ended} back ends ended");
}

/// All connections that check the address are closed at once, as the process still accepts and closes connections for a
/// moment. After that, new connections are refused.
#[tokio::test]
async fn checks_of_the_address_that_close_at_once_hide_no_end() {
    let ended = ends_with_connections_at_end(ConnectionsAtEnd::Closed).await;
    assert!(ended <= MAX_ENDS, "{ended} back ends ended");
}

/// Number of calls of other callers that leave at the same time.
const OTHER_CALLERS: usize = 8;
/// Time after which a node no longer watches the back end of a send that was given up.
const NOT_WATCHED_AFTER: Duration = Duration::from_millis(600);

/// The end under a given-up harmful call is found although the back ends of many other given-up sends are watched.
#[tokio::test]
async fn given_up_sends_of_other_calls_hide_no_end() {
    let deployment = Deployment::start(0, MANY_BACKENDS).await;
    let backends = &deployment.applications;
    end_on_harmful_requests(backends);
    for backend in backends {
        backend.behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    }
    let node = &deployment.node("a").await;
    for number in 0..2 * MAX_ENDS {
        let others = (0..OTHER_CALLERS).map(|other| {
            let path = format!("/calls/honest-{number}-{other}");
            async move { call_and_leave(node, &path).await }
        });
        futures::future::join_all(others).await;
        call_and_leave(node, "/calls/harmful").await;
        tokio::time::sleep(NOT_WATCHED_AFTER).await;
    }
    let ended = count_ended(backends);
    assert!(ended <= MAX_ENDS, "{ended} back ends ended");
}

/// Makes a call whose caller disconnects before it has an answer.
async fn call_and_leave(node: &TestNode, path: &str) {
    let headers = [("x-id", path), ("x-deadline", "2000")];
    let asked = send(node.callers, Method::POST, path, &headers, "call");
    // Dropping the future closes the connection.
    let _ = tokio::time::timeout(CALLER_LEAVES_AFTER, asked).await;
}

/// The end of a back end that announced its leave while it was watched after a given-up send counts against no request.
#[tokio::test]
async fn an_announced_end_counts_against_no_request() {
    let deployment = Deployment::start(0, 1).await;
    let former = deployment.applications[0].clone();
    former.behave(|behaviour| behaviour.call = CallBehaviour::Silent);
    let node = deployment.node("a").await;
    let headers = [("x-id", "leaves"), ("x-deadline", "2000")];
    let asked = send(
        node.callers,
        Method::POST,
        "/calls/honest",
        &headers,
        "call",
    );
    let _ = tokio::time::timeout(CALLER_LEAVES_AFTER, asked).await;
    deployment
        .log
        .write_backends(listed(&former, APPLICATIONS, true));
    wait_until("the node knows that it leaves", || {
        let backends = node.context().backends.lock();
        let record = backends.list.get(&former.id.as_str().into());
        record.is_some_and(|record| record.draining)
    })
    .await;
    former.end();
    wait_until("the address is free", || {
        std::net::TcpListener::bind(former.address).is_ok()
    })
    .await;
    let next = StandInBackend::start_at("next", former.address).await;
    deployment
        .log
        .write_backends(listed(&next, APPLICATIONS, false));
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(count_known_ends(&node), 0);
}

/// A node sees three back ends end under a request, cannot append that to the log, and crashes. If no peer knew of the
/// ends, three more back ends would end, as in the soak with seed 1002 and 12 s.
#[tokio::test]
async fn ends_are_known_though_the_node_that_saw_them_dies_before_it_can_write() {
    let deployment = Deployment::start(0, 8).await;
    let backends = &deployment.applications;
    end_on_harmful_requests(backends);
    let (mut observer, other) = (deployment.node("a").await, deployment.node("b").await);
    observer.set_faults(LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    });
    for number in 0..3 * MAX_ENDS {
        call(
            observer.callers,
            &format!("first-{number}"),
            "/calls/harmful",
        )
        .await;
    }
    assert_eq!(count_ended(backends), MAX_ENDS);
    observer.kill();
    for number in 0..3 * MAX_ENDS {
        call(other.callers, &format!("next-{number}"), "/calls/harmful").await;
    }
    assert_eq!(count_ended(backends), MAX_ENDS);
}

/// Like the test above, but soon after the start of the nodes and with sends that began before the first end. If no
/// machine had announced its address yet, three more back ends would end, as in the soak with seed 9114.
#[tokio::test]
async fn ends_are_known_though_the_node_that_saw_them_dies_soon_after_its_start() {
    let deployment = Deployment::start(0, 8).await;
    let backends = &deployment.applications;
    end_on_harmful_requests(backends);
    let (mut observer, other) = (
        late_announcer(&deployment, 0).await,
        late_announcer(&deployment, 1).await,
    );
    tokio::time::sleep(ANNOUNCED_AFTER).await;
    observer.set_faults(LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    });
    let calls = (0..MAX_ENDS).map(|number| {
        let address = observer.callers;
        async move { call(address, &format!("first-{number}"), "/once/harmful").await }
    });
    futures::future::join_all(calls).await;
    assert_eq!(count_ended(backends), MAX_ENDS);
    observer.kill();
    for number in 0..3 * MAX_ENDS {
        call(other.callers, &format!("next-{number}"), "/once/harmful").await;
    }
    assert_eq!(count_ended(backends), MAX_ENDS);
}

/// Time for which a node knows no other node's address after the first end. It ends soon after a try to report the end, and
/// the next one would come only after the crash.
const WITHOUT_ADDRESS: Duration = Duration::from_millis(1_800);

/// A node learns where another node can be reached between the first end and the second, and crashes right after the
/// third. If it reported the first end only at its next try, which may be after the crash, the other node would know
/// of two ends and let a fourth back end end.
#[tokio::test]
async fn an_end_seen_before_an_address_was_known_is_reported_as_soon_as_it_is() {
    let deployment = Deployment::start(0, 8).await;
    let backends = &deployment.applications;
    end_on_harmful_requests(backends);
    let mut observer = deployment.node("a").await;
    let refuses_appends = LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    };
    observer.set_faults(LogFaults {
        refuses_reads: true,
        ..refuses_appends
    });
    let other = deployment.node("b").await;
    announced_address(&other).await;
    call(observer.callers, "first", "/once/harmful").await;
    assert_eq!(count_known_ends(&observer), 1);
    tokio::time::sleep(WITHOUT_ADDRESS).await;
    observer.set_faults(refuses_appends);
    announced_address_at(&observer, &other).await;
    for number in 1..MAX_ENDS {
        call(
            observer.callers,
            &format!("first-{number}"),
            "/once/harmful",
        )
        .await;
    }
    assert_eq!(count_known_ends(&observer), MAX_ENDS);
    observer.kill();
    for number in 0..3 * MAX_ENDS {
        call(other.callers, &format!("next-{number}"), "/once/harmful").await;
    }
    assert_eq!(count_ended(backends), MAX_ENDS);
}

/// A machine that was given a new name is still known under the former one, at the same address. A node that sends its
/// notices there would confirm them to itself, and no other machine would know of the ends.
#[tokio::test]
async fn a_node_does_not_confirm_its_own_notices() {
    let deployment = Deployment::start(0, 8).await;
    let backends = &deployment.applications;
    end_on_harmful_requests(backends);
    let node = deployment.node("a").await;
    let former_name = ControlRecord::Reachable {
        machine: "former-name".into(),
        address: announced_address(&node).await,
    };
    let log = NodeLog::new(&deployment.log);
    log.append(CONTROL, framing::split(&former_name.encode(), 512))
        .await
        .unwrap();
    wait_until("the former name is known", || {
        let control = node.context().control.lock();
        control.state.reachable().checkpoint().len() == 2
    })
    .await;
    node.set_faults(LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    });
    for number in 0..3 * MAX_ENDS {
        call(node.callers, &format!("try-{number}"), "/once/harmful").await;
    }
    assert_eq!(count_ended(backends), MAX_ENDS - 1);
}

/// Number of machines that announced an address and are gone: with the two nodes, as many as addresses are kept.
const GONE_MACHINES: usize = MAX_ADDRESSES - 2;

/// Most machines whose addresses are known are gone. A node that sees two ends and crashes has still reported them to
/// the one that is left; otherwise that one would let three more back ends end.
#[tokio::test]
async fn ends_are_known_though_most_known_machines_are_gone() {
    let deployment = Deployment::start(0, 8).await;
    let backends = &deployment.applications;
    end_on_harmful_requests(backends);
    let log = NodeLog::new(&deployment.log);
    for number in 0..GONE_MACHINES {
        let announced = ControlRecord::Reachable {
            machine: format!("gone-{number}").as_str().into(),
            address: closed_udp_address().await,
        };
        log.append(CONTROL, framing::split(&announced.encode(), 512))
            .await
            .unwrap();
    }
    let (mut observer, other) = (deployment.node("a").await, deployment.node("b").await);
    announced_address_at(&observer, &other).await;
    observer.set_faults(LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    });
    for number in 1..MAX_ENDS {
        call(
            observer.callers,
            &format!("first-{number}"),
            "/once/harmful",
        )
        .await;
    }
    assert_eq!(count_ended(backends), MAX_ENDS - 1);
    observer.kill();
    for number in 0..3 * MAX_ENDS {
        call(other.callers, &format!("next-{number}"), "/once/harmful").await;
    }
    assert_eq!(count_ended(backends), MAX_ENDS);
}

/// An address at which nothing receives datagrams.
async fn closed_udp_address() -> std::net::SocketAddr {
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.local_addr().unwrap()
}

/// Time after its start by which a node of a small fleet has announced its address.
const ANNOUNCED_AFTER: Duration = Duration::from_secs(4);

/// Starts a node whose announce delay, which depends on its name, is longer than [`ANNOUNCED_AFTER`]. It announces
/// itself earlier if it finds that the fleet is small.
async fn late_announcer(deployment: &Deployment, number: usize) -> TestNode {
    let settings = |name: &str| {
        let mut settings = settings(name);
        settings.tuning.announce_ms = ANNOUNCE_SPREAD.as_millis() as u64;
        settings
    };
    let names = (0..).map(|at| format!("late-{at}"));
    let mut late_names = names.filter(|name| {
        let delay = settings(name).announce_delay(&name.as_str().into());
        delay > 2 * ANNOUNCED_AFTER
    });
    let name = late_names
        .nth(number)
        .expect("some name has a long announce delay");
    let node = TestNode::start_with_settings(NodeLog::new(&deployment.log), settings(&name)).await;
    node.wait_until_known(deployment.applications.len()).await;
    node
}

/// A node can report ends to nobody: the log refuses appends, and there is no other node. It holds the request back
/// before as many ends are unreported as bar a request, and its callers still get answers.
#[tokio::test]
async fn a_request_is_held_back_while_its_ends_cannot_be_reported() {
    let deployment = Deployment::start(0, 8).await;
    let backends = &deployment.applications;
    end_on_harmful_requests(backends);
    let node = deployment.node("a").await;
    node.set_faults(LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    });
    for number in 0..3 * MAX_ENDS {
        let answer = call(node.callers, &format!("first-{number}"), "/calls/harmful").await;
        assert!(answer.status.is_server_error(), "{}", answer.status);
    }
    assert!(
        count_ended(backends) < MAX_ENDS,
        "{} ended",
        count_ended(backends)
    );
    node.set_faults(LogFaults::default());
    let other = deployment.node("b").await;
    let nodes = [node, other];
    for number in 0..3 * MAX_ENDS {
        wait_for_ends_known_by_all(&nodes, backends).await;
        let asked = &nodes[number % nodes.len()];
        call(asked.callers, &format!("next-{number}"), "/calls/harmful").await;
    }
    assert_eq!(count_ended(backends), MAX_ENDS);
}

/// Number of different calls, enough that one of them is sent first to the back end that ends.
const MAX_CALLS: usize = 200;

/// A call is retried after one back end ended under it, although the end cannot be reported, so that its caller gets an
/// answer.
#[tokio::test]
async fn a_call_is_sent_again_after_an_end_that_cannot_be_reported() {
    let deployment = Deployment::start(0, 4).await;
    let backends = &deployment.applications;
    let node = deployment.node("a").await;
    call(node.callers, "honest", "/calls/honest").await;
    let served = |backend: &&Arc<StandInBackend>| !backend.seen().is_empty();
    let preferred = backends.iter().find(served).unwrap().clone();
    end_on_harmful_requests(&[preferred]);
    node.set_faults(LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    });
    for number in 0..MAX_CALLS {
        let path = format!("/calls/harmful-{number}");
        let answer = call(node.callers, &format!("first-{number}"), &path).await;
        assert_eq!(answer.status, 200);
        if count_ended(backends) == 1 {
            return;
        }
    }
    panic!("none of the calls was sent to the back end that ends");
}

/// Datagrams that are not notices of a node are ignored, except for a log line each.
#[tokio::test]
async fn datagrams_from_strangers_change_nothing() {
    let deployment = Deployment::start(0, 8).await;
    end_on_harmful_requests(&deployment.applications);
    let (mut observer, other) = (deployment.node("a").await, deployment.node("b").await);
    let address = announced_address(&other).await;
    let stranger = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for bytes in [
        &b""[..],
        b"havenstage1",
        b"havenstage1\xff\xff\xff",
        &[0; 4_096],
    ] {
        stranger.send_to(bytes, address).await.unwrap();
    }
    observer.set_faults(LogFaults {
        refuses_appends: true,
        ..LogFaults::default()
    });
    call(observer.callers, "harmful", "/calls/harmful").await;
    let before = count_ended(&deployment.applications);
    observer.kill();
    assert_eq!(count_known_ends(&other), before);
}

/// Waits until a node has announced its address for datagrams, and returns it.
async fn announced_address(node: &TestNode) -> std::net::SocketAddr {
    announced_address_at(node, node).await
}

/// Waits until `reader` knows the address for datagrams that a node announced, and returns it.
async fn announced_address_at(reader: &TestNode, node: &TestNode) -> std::net::SocketAddr {
    let machine = node.context().node.machine.clone();
    let announced = || {
        let control = reader.context().control.lock();
        let addresses = control.state.reachable().checkpoint();
        addresses.get(&machine).copied()
    };
    wait_until("its address is announced", || announced().is_some()).await;
    announced().unwrap()
}
