//! Tests how many requests cold back ends receive from nodes with different knowledge of each other.

use havenstage_rollout::Millis;
use havenstage_rollout::ids::{BackendId, MachineName, NodeId};
use havenstage_rollout::slow_start::{ColdLimit, Sender, SlowStart};

/// The limit of the simulated back end while it is cold.
const LIMIT: ColdLimit = ColdLimit {
    duration_ms: 3_000,
    requests_per_s: 7.8,
};
/// Requests per second beyond which a cold back end fails.
const MAX_REQUESTS_PER_S: usize = 16;
/// Pause between two attempts to send of a node that has work for every slot.
const POLL_INTERVAL_MS: Millis = 10;

fn node(at: usize) -> NodeId {
    NodeId {
        machine: MachineName::from(format!("machine-{at}")),
        life: at as u32,
    }
}

fn item<'a>(node: &'a NodeId, owners: &'a [NodeId]) -> Sender<'a> {
    Sender::Item { node, owners }
}

/// Times of the requests to a cold back end from nodes that always have more work.
fn sends(senders: &[Sender<'_>], backend: &BackendId) -> Vec<Millis> {
    let mut nodes: Vec<SlowStart> = senders.iter().map(|_| SlowStart::default()).collect();
    for node in &mut nodes {
        node.report_cold(backend, LIMIT.duration_ms, 0);
    }
    let mut sends = Vec::new();
    for now in (0..LIMIT.duration_ms).step_by(POLL_INTERVAL_MS as usize) {
        for (node, sender) in nodes.iter_mut().zip(senders) {
            let allowance = node.allowance(backend, Some(&LIMIT), *sender, now);
            for _ in 0..allowance.expect("it is cold") {
                node.record_sent(backend, now);
                sends.push(now);
            }
        }
    }
    sends
}

/// Maximum number of requests within any second.
fn max_per_second(sends: &[Millis]) -> usize {
    let within = |from: Millis| {
        let until = from + 1_000;
        sends
            .iter()
            .filter(|at| (from..until).contains(*at))
            .count()
    };
    sends.iter().map(|from| within(*from)).max().unwrap_or(0)
}

#[test]
fn owners_that_know_each_other_choose_one_and_it_uses_the_back_end() {
    let owners: Vec<NodeId> = (0..12).map(node).collect();
    for at in 0..50 {
        let backend = BackendId::from(format!("backend-{at}"));
        let senders: Vec<Sender<'_>> = owners.iter().map(|own| item(own, &owners)).collect();
        let sends = sends(&senders, &backend);
        assert_eq!(max_per_second(&sends), 3, "half of the rate, by one node");
        assert_eq!(sends.len(), 9);
    }
}

/// Some nodes know only an earlier list of owners, and some are themselves missing from the list they know.
#[test]
fn owners_with_different_member_lists_stay_within_the_limit() {
    let before: Vec<NodeId> = (0..8).map(node).collect();
    let now: Vec<NodeId> = (4..12).map(node).collect();
    for at in 0..500 {
        let backend = BackendId::from(format!("backend-{at}"));
        let late = before.iter().map(|own| item(own, &before));
        let current = now[4..].iter().map(|own| item(own, &now));
        let senders: Vec<Sender<'_>> = late.chain(current).collect();
        let most = max_per_second(&sends(&senders, &backend));
        assert!(most <= MAX_REQUESTS_PER_S, "{most} to {backend}");
    }
}

#[test]
fn calls_from_any_number_of_machines_stay_within_the_limit() {
    for machines in [1, 10, 67, 1_000, 2_000] {
        let names: Vec<MachineName> = (0..machines)
            .map(|at| MachineName::from(format!("machine-{at}")))
            .collect();
        let mut total = 0;
        for at in 0..20 {
            let backend = BackendId::from(format!("backend-{at}"));
            let call = |machine| Sender::Call { machine, machines };
            let senders: Vec<Sender<'_>> = names.iter().map(call).collect();
            let most = max_per_second(&sends(&senders, &backend));
            assert!(
                most <= MAX_REQUESTS_PER_S / 2,
                "{most} from {machines} machines"
            );
            total += most;
        }
        assert!(total > 0, "some of {machines} machines use cold back ends");
    }
}

#[test]
fn a_warm_back_end_has_no_limit_and_a_suspected_one_has_until_it_must_be_warm() {
    let (own, backend) = (node(1), BackendId::from("backend"));
    let owners = [own.clone()];
    let sender = item(&own, &owners);
    let mut slow_start = SlowStart::default();
    slow_start.report_cold(&backend, 0, 100);
    assert_eq!(
        slow_start.allowance(&backend, Some(&LIMIT), sender, 100),
        None
    );
    slow_start.suspect_cold(&backend, &LIMIT, 200);
    // This report may be older than the reason to suspect the back end.
    slow_start.report_cold(&backend, 0, 300);
    assert!(slow_start.is_cold(&backend, 3_199));
    assert_eq!(
        slow_start.allowance(&backend, Some(&LIMIT), sender, 300),
        Some(3)
    );
    assert_eq!(slow_start.allowance(&backend, None, sender, 300), None);
    assert!(!slow_start.is_cold(&backend, 3_200));
    slow_start.report_cold(&backend, 500, 4_000);
    assert!(slow_start.is_cold(&backend, 4_499), "cold again");
}
