//! A machine is suspended for seconds: its steady clock stands still, everybody else's time passes. What it
//! knew before is then as old as for everybody, and nothing is sent, started or ordered on it.

mod support;

use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::AwakeInstant;
use havenstage_gateway::edge::DirectoryEntry;
use havenstage_gateway::lease_grant::LeaseGrant;
use havenstage_rollout::ids::ModelName;
use havenstage_rollout::peer_message::{PeerAnswer, PeerRefusal};
use support::backend::CallBehaviour;
use support::caller::{call, submit};
use support::deployment::{Deployment, TestNode, settings, wait_until};
use support::dialect::{MODEL, write_batch};
use support::log::{LogFaults, NodeLog};
use support::peers::{ask, own, peer_node, request, results_from};
use support::suspension;

/// Longer than any knowledge, lease or deadline of the tests lasts.
const SUSPENDED: Duration = Duration::from_secs(20);
/// Time that must lie between orders of two holders: longer than it takes the second one to hold the lease.
const ORDER_LEASE: Duration = Duration::from_secs(5);

#[tokio::test]
async fn what_a_node_knew_is_as_old_as_for_everybody() {
    suspension::prepare();
    let deployment = Deployment::start(1, 0).await;
    deployment.engines[0].behave(|told| told.event_pause = Duration::from_millis(800));
    let node = deployment.node("a").await;
    let body = write_batch(1, &[("i1", "g1"), ("i2", "g1")], false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    wait_until("it runs", || deployment.engines[0].runs().len() == 2).await;
    let context = node.context().clone();
    let (before, after) = node
        .on_its_thread(move || {
            let look = || {
                (
                    context.write_deadline(&"batch".into()).is_some(),
                    context.now(),
                )
            };
            let before = look();
            suspension::suspend_this_thread(SUSPENDED);
            (before, (look(), context.contact_age()))
        })
        .await;
    let (((may_write, now), contact_age), (could_write, then)) = (after, before);
    assert!(could_write && !may_write, "the batch may have ended since");
    assert!(now - then >= SUSPENDED.as_millis() as u64);
    assert!(contact_age >= SUSPENDED.as_millis() as u64);
}

/// What other nodes' callers are told is as fresh as for its own.
#[tokio::test]
async fn an_owner_that_was_suspended_says_nothing_new_from_no_old_knowledge() {
    suspension::prepare();
    let deployment = Deployment::start(1, 0).await;
    deployment.engines[0].behave(|told| told.event_pause = Duration::from_secs(60));
    let owner = peer_node(&deployment, "owner").await;
    own(&owner, "batch", &write_batch(1, &[("i1", "g1")], false)).await;
    let question = request(&owner, "batch", results_from(0, 0));
    let answer = ask(&owner, &question).await;
    assert!(matches!(answer, PeerAnswer::Answered { .. }), "{answer:?}");
    owner.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    owner.suspend(SUSPENDED).await;
    let answer = ask(&owner, &question).await;
    assert_eq!(answer, PeerAnswer::Declined(PeerRefusal::NotConfirmed));
}

#[tokio::test]
async fn a_call_whose_time_passed_in_a_suspension_is_not_sent_again() {
    suspension::prepare();
    let deployment = Deployment::start(0, 2).await;
    for backend in &deployment.applications {
        backend.behave(|told| told.call = CallBehaviour::NotRun);
    }
    let node = Arc::new(deployment.node("a").await);
    let seen = || {
        let seen = deployment.applications.iter();
        seen.map(|backend| backend.seen().len()).sum::<usize>()
    };
    let address = node.callers;
    let answer = tokio::spawn(async move { call(address, "call", "/calls/c").await });
    wait_until("it is sent", || seen() > 0).await;
    node.suspend(SUSPENDED).await;
    let before = seen();
    assert_eq!(answer.await.unwrap().status, 503, "it did not run");
    // One may have been written before.
    assert!(seen() <= before + 1, "{} sends after it", seen() - before);
}

/// An order is written down, and the machine is suspended before the log's answer comes. Others have taken
/// the lease since, for all it knows.
#[tokio::test]
async fn no_order_is_given_on_a_lease_from_before_a_suspension() {
    suspension::prepare();
    let deployment = Deployment::start(1, 0).await;
    let node = deployment.node("a").await;
    wait_until("it holds the lease", || {
        let control = node.context().control.lock();
        control.state.lease().is_held_by(&node.context().node)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let late = Duration::from_millis(300);
    node.set_faults(LogFaults {
        order_answer_delay: late,
        ..LogFaults::default()
    });
    let named = DirectoryEntry::NamedVersion {
        model: ModelName::from(MODEL),
        version: 2,
    };
    deployment.log.write_operators(named);
    wait_until("the order is written down", || {
        let control = node.context().control.lock();
        control.state.all_pending().next().is_some()
    })
    .await;
    node.suspend(SUSPENDED).await;
    tokio::time::sleep(late + Duration::from_millis(150)).await;
    assert_eq!(deployment.engines[0].orders(), Vec::<String>::new());
    node.set_faults(LogFaults::default());
    wait_until("it is given under a lease that was kept since", || {
        !deployment.engines[0].orders().is_empty()
    })
    .await;
}

/// Guards against orders of two holders to one engine: the second holder was suspended after the first one's order, and
/// by its clock that was long past.
#[tokio::test]
async fn a_suspension_makes_no_order_of_another_holder_older() {
    suspension::prepare();
    let deployment = Deployment::start(1, 0).await;
    let start = async |name| {
        let mut settings = settings(name);
        settings.bounds.order_lease_ms = ORDER_LEASE.as_millis() as u64;
        let node = TestNode::start_so(NodeLog::new(&deployment.log), settings).await;
        node.knows(1).await;
        node
    };
    let first = start("a").await;
    let name = |version| {
        let model = ModelName::from(MODEL);
        deployment
            .log
            .write_operators(DirectoryEntry::NamedVersion { model, version });
    };
    let orders = || deployment.engines[0].order_times();
    name(2);
    wait_until("the first holder gives an order", || orders().len() == 1).await;
    let second = start("b").await;
    first.stop().await;
    wait_until("the second one holds the lease", || {
        let control = second.context().control.lock();
        control.state.lease().is_held_by(&second.context().node)
    })
    .await;
    name(3);
    second.suspend(SUSPENDED).await;
    wait_until("the second one gives an order", || orders().len() == 2).await;
    let apart = orders()[1] - orders()[0];
    assert!(apart >= ORDER_LEASE, "{apart:?} apart");
}

/// The same for calls that one node makes for all.
#[tokio::test]
async fn a_suspension_does_not_end_the_wait_for_a_former_holders_calls() {
    suspension::prepare();
    let grant = LeaseGrant {
        term: 2,
        since: AwakeInstant::now(),
        valid_until: Arc::default(),
    };
    suspension::suspend_this_thread(SUSPENDED);
    assert!(!grant.is_previous_holder_done(SUSPENDED));
}
