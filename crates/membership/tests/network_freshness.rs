//! Which nodes stay fresh when the log or other zones are unreachable, and the bytes they send.

mod support;

use std::time::Duration;

use support::Network;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn without_the_log_all_nodes_stay_fresh_through_a_majority() {
    for count in [3, 24, 95] {
        let mut network = Network::converged(count, 31);
        let named = network.member_list();
        network.log = None;
        for _ in 0..600 {
            network.run_for(SECOND / 10);
            assert!((0..count).all(|index| network.is_fresh(index, &named)));
        }
    }
}

#[test]
fn partition_without_the_log_makes_only_the_minority_stale() {
    for count in [24, 95] {
        let mut network = Network::converged(count, 32);
        let named = network.member_list();
        let minority = network.zone(0).to_string();
        network.log = None;
        network.isolated_zones.insert(minority.clone());
        let partitioned_at = network.now;
        for _ in 0..900 {
            network.run_for(SECOND / 10);
            let is_bound_exceeded = network.now.since(partitioned_at) > 12 * SECOND;
            for index in 0..count {
                let is_minority = network.zone(index) == minority;
                let is_fresh = network.is_fresh(index, &named);
                assert!(is_minority || is_fresh, "the majority stays fresh");
                assert!(
                    !(is_minority && is_bound_exceeded && is_fresh),
                    "the minority becomes stale"
                );
            }
        }
    }
}

#[test]
fn one_node_that_can_reach_the_log_keeps_all_nodes_fresh() {
    let count = 24;
    let mut network = Network::converged(count, 33);
    // An empty member list has no majority, so only reports of the log's end count.
    let named = Default::default();
    network.log = Some(([4].into(), havenstage_types::ids::LogOffset(0)));
    for _ in 0..600 {
        network.run_for(SECOND / 10);
        assert!((0..count).all(|index| network.is_fresh(index, &named)));
    }
}

#[test]
fn suspended_node_is_stale_when_it_resumes() {
    let mut network = Network::converged(24, 34);
    let named = network.member_list();
    network.suspend(5, 13 * SECOND);
    network.run_for(13 * SECOND - SECOND / 100);
    assert!(!network.is_fresh(5, &named));
}

#[test]
fn gossip_stays_within_its_bound() {
    for count in [24, 95, 380] {
        let mut network = Network::with_known_members(count, 35);
        let with_log = network.measure_sent(20 * SECOND);
        println!("{count} nodes, steady: {with_log:.0?}");
        network.log = None;
        network.run_for(10 * SECOND);
        let without_log = network.measure_sent(20 * SECOND);
        println!("{count} nodes, log unreachable: {without_log:.0?}");
        assert!(with_log.highest_bytes <= 1_500.0);
        assert!(without_log.highest_bytes <= 1_500.0);
        let named = network.member_list();
        assert!((0..count).all(|index| network.is_fresh(index, &named)));
    }
}
