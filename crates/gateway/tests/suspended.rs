//! A machine is suspended for seconds: its monotonic clock stands still while time passes for all other nodes. The
//! age of its knowledge must include the suspension, and the node must not send, start or order anything based on
//! outdated knowledge.

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
use support::peers::{ask, peer_node, request, results_from, submit_to_owner};
use support::suspension;

/// Longer than any lease, deadline or limit on the age of knowledge in these tests.
const SUSPENDED: Duration = Duration::from_secs(20);
/// Least time between the orders of two holders: longer than the second one takes to get the lease.
const ORDER_LEASE: Duration = Duration::from_secs(5);

#[tokio::test]
async fn a_suspension_counts_towards_the_age_of_knowledge() {
    suspension::prepare();
    let deployment = Deployment::start(1, 0).await;
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_millis(800));
    let node = deployment.node("a").await;
    let body = write_batch(1, &[("i1", "g1"), ("i2", "g1")], false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    wait_until("the items run", || deployment.engines[0].runs().len() == 2).await;
    let context = node.context().clone();
    let (before, after) = node
        .run_on_node_thread(move || {
            let observe = || {
                (
                    context.write_deadline(&"batch".into()).is_some(),
                    context.now(),
                )
            };
            let before = observe();
            suspension::suspend_this_thread(SUSPENDED);
            (before, (observe(), context.contact_age()))
        })
        .await;
    let (((may_write, now), contact_age), (could_write, then)) = (after, before);
    assert!(could_write && !may_write, "the batch may have ended since");
    assert!(now - then >= SUSPENDED.as_millis() as u64);
    assert!(contact_age >= SUSPENDED.as_millis() as u64);
}

/// An owner answers other nodes only from knowledge that is fresh enough for its own callers.
#[tokio::test]
async fn a_suspended_owner_does_not_answer_from_outdated_knowledge() {
    suspension::prepare();
    let deployment = Deployment::start(1, 0).await;
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_secs(60));
    let owner = peer_node(&deployment, "owner").await;
    submit_to_owner(&owner, "batch", &write_batch(1, &[("i1", "g1")], false)).await;
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
        backend.behave(|behaviour| behaviour.call = CallBehaviour::NotRun);
    }
    let node = Arc::new(deployment.node("a").await);
    let seen = || {
        let seen = deployment.applications.iter();
        seen.map(|backend| backend.seen().len()).sum::<usize>()
    };
    let address = node.callers;
    let answer = tokio::spawn(async move { call(address, "call", "/calls/c").await });
    wait_until("the call is sent", || seen() > 0).await;
    node.suspend(SUSPENDED).await;
    let before = seen();
    assert_eq!(answer.await.unwrap().status, 503, "the call did not run");
    // One more may have been written before the suspension took effect.
    assert!(seen() <= before + 1, "{} sends after it", seen() - before);
}

/// Guards against an order under an expired lease. An order is appended, and the machine is suspended before the
/// answer of the log arrives. Another node may hold the lease by then.
#[tokio::test]
async fn no_order_is_sent_under_a_lease_from_before_a_suspension() {
    suspension::prepare();
    let deployment = Deployment::start(1, 0).await;
    let node = deployment.node("a").await;
    wait_until("the node holds the lease", || {
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
    wait_until("the order is in the log", || {
        let control = node.context().control.lock();
        control.state.all_pending().next().is_some()
    })
    .await;
    node.suspend(SUSPENDED).await;
    tokio::time::sleep(late + Duration::from_millis(150)).await;
    assert_eq!(deployment.engines[0].orders(), Vec::<String>::new());
    node.set_faults(LogFaults::default());
    wait_until("the order is sent under a renewed lease", || {
        !deployment.engines[0].orders().is_empty()
    })
    .await;
}

/// Guards against orders of two holders to one engine that are too close together. The second holder is suspended after
/// the first one's order; if it counts the suspension, it can take that order for older than it is.
#[tokio::test]
async fn a_suspension_does_not_age_orders_of_another_holder() {
    suspension::prepare();
    let deployment = Deployment::start(1, 0).await;
    let start = async |name| {
        let mut settings = settings(name);
        settings.bounds.order_lease_ms = ORDER_LEASE.as_millis() as u64;
        let node = TestNode::start_with_settings(NodeLog::new(&deployment.log), settings).await;
        node.wait_until_known(1).await;
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
    wait_until("the first holder sends an order", || orders().len() == 1).await;
    let second = start("b").await;
    first.stop().await;
    wait_until("the second one holds the lease", || {
        let control = second.context().control.lock();
        control.state.lease().is_held_by(&second.context().node)
    })
    .await;
    name(3);
    second.suspend(SUSPENDED).await;
    wait_until("the second one sends an order", || orders().len() == 2).await;
    let apart = orders()[1] - orders()[0];
    assert!(apart >= ORDER_LEASE, "{apart:?} apart");
}

/// Guards against calls to the platform of two holders that are too close together, after a suspension of the second
/// one.
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
