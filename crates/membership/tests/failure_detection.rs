//! Discovery and failure detection under packet loss, process suspensions and network partitions.

mod support;

use std::time::Duration;

use havenstage_membership::MembershipInput;
use havenstage_types::ids::LogOffset;
use havenstage_types::member::MemberState;
use support::Network;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn nodes_started_together_discover_each_other() {
    for count in [3, 24, 95] {
        let mut network = Network::new(7);
        for _ in 0..count {
            network.start();
        }
        let took = network.run_until("all members known", 30 * SECOND, Network::agrees_on_all);
        println!("{count} nodes started together agree after {took:?}");
    }
}

#[test]
fn nodes_discover_each_other_despite_packet_loss() {
    let mut network = Network::new(8);
    network.loss = 0.1;
    for _ in 0..24 {
        network.start();
    }
    let took = network.run_until("all members known", 60 * SECOND, Network::agrees_on_all);
    println!("24 nodes with 10 % loss agree after {took:?}");
}

#[test]
fn a_crash_is_known_everywhere_within_seconds() {
    for count in [3, 24, 95] {
        let mut slowest = Duration::ZERO;
        let mut network = Network::converged(count, 9);
        for victim in 0..6.min(count - 1) {
            network.crash(victim);
            let took = network.run_until("crash known", 10 * SECOND, Network::agrees_on_all);
            slowest = slowest.max(took);
            network.run_for(3 * SECOND);
        }
        println!("{count} nodes: a crash is known everywhere after {slowest:?} at most");
        assert!(slowest <= 7 * SECOND);
    }
}

#[test]
fn packet_loss_causes_no_death_declaration() {
    let mut network = Network::converged(24, 10);
    network.loss = 0.1;
    network.run_for(300 * SECOND);
    assert_eq!(network.running_nodes().len(), 24);
}

#[test]
fn suspicion_of_a_briefly_suspended_node_is_refuted() {
    let mut network = Network::converged(24, 11);
    network.suspend(5, 3 * SECOND);
    network.run_until("suspected", 3 * SECOND, |network| {
        (0..24).any(|by| network.state_seen(by, 5) == Some(MemberState::Suspect))
    });
    network.run_until("suspicion refuted", 10 * SECOND, Network::agrees_on_all);
    network.run_for(20 * SECOND);
    assert_eq!(network.running_nodes().len(), 24);
    let refuted = &network.nodes[0].membership.view().members[&network.id(5)];
    assert!(refuted.incarnation > 0);
}

#[test]
fn resumed_node_suspects_nobody_for_missed_answers() {
    let mut network = Network::converged(24, 20);
    let start = network.now;
    let membership = &mut network.nodes[5].membership;
    // No answer is delivered, and the gap between ticks looks like a suspension to the process.
    for milliseconds in (200..1_200).step_by(200).chain([9_000, 9_200]) {
        let now = start + Duration::from_millis(milliseconds);
        membership.handle(now, MembershipInput::Tick);
        let mut members = membership.view().members.values();
        assert!(members.all(|member| member.state == MemberState::Alive));
    }
}

#[test]
fn node_resumed_after_its_death_learns_of_it_at_once_and_suspects_nobody() {
    let mut network = Network::converged(24, 12);
    network.suspend(5, 30 * SECOND);
    network.run_until("declared dead", 10 * SECOND, |network| {
        (0..24).all(|by| by == 5 || network.state_seen(by, 5) == Some(MemberState::Dead))
    });
    network.run_until("resumed", 30 * SECOND, |network| {
        network.nodes[5].suspended_until.is_none()
    });
    let took = network.run_until("death notice received", SECOND, |network| {
        network.nodes[5].declared_dead_at.is_some()
    });
    println!("a resumed node learns of its death after {took:?}");
    let address = network.nodes[5].identity.peer_address;
    network.start_at(address);
    network.run_until(
        "rejoined with a new id",
        10 * SECOND,
        Network::agrees_on_all,
    );
    assert_eq!(network.running_nodes().len(), 24);
}

#[test]
fn node_suspended_for_longer_than_dead_retention_declares_itself_dead() {
    let mut network = Network::converged(3, 13);
    network.suspend(2, 700 * SECOND);
    network.run_for(699 * SECOND);
    assert_eq!(
        network.state_seen(0, 2),
        None,
        "removed after the retention"
    );
    network.run_for(2 * SECOND);
    assert!(network.nodes[2].declared_dead_at.is_some());
}

#[test]
fn a_process_restarted_at_the_same_address_replaces_the_old_one() {
    let mut network = Network::converged(24, 14);
    network.crash(5);
    let address = network.nodes[5].identity.peer_address;
    network.start_at(address);
    let took = network.run_until("replaced", 10 * SECOND, Network::agrees_on_all);
    println!("a restart at the same address is known everywhere after {took:?}");
    assert!(took <= 4 * SECOND, "no suspicion needed");
}

#[test]
fn leaving_is_known_soon_and_never_reverted() {
    let mut network = Network::converged(95, 15);
    network.input(5, MembershipInput::Leave);
    let knows = |network: &Network| {
        (0..95).all(|by| network.state_seen(by, 5) == Some(MemberState::Leaving))
    };
    let took = network.run_until("leaving known", 5 * SECOND, knows);
    println!("95 nodes: leaving is known everywhere after {took:?}");
    network.run_for(60 * SECOND);
    assert!(knows(&network));
    network.crash(5);
    network.run_until("gone", 10 * SECOND, |network| {
        let seen = |by| network.state_seen(by, 5);
        let no_owner = |by| matches!(seen(by), Some(MemberState::Leaving | MemberState::Dead));
        assert!((0..95).all(|by| by == 5 || no_owner(by)));
        (0..95).all(|by| by == 5 || seen(by) == Some(MemberState::Dead))
    });
}

#[test]
fn after_a_partition_the_smaller_side_rejoins_and_the_larger_keeps_running() {
    let mut network = Network::converged(24, 16);
    let minority = network.zone(0).to_string();
    network.isolated_zones.insert(minority.clone());
    network.run_for(30 * SECOND);
    for by in network.running_nodes() {
        let own_side: Vec<usize> = network
            .running_nodes()
            .into_iter()
            .filter(|of| (network.zone(*of) == minority) == (network.zone(by) == minority))
            .collect();
        assert!(
            network.sees_exactly(by, &own_side),
            "each side sees exactly its own members"
        );
    }
    network.isolated_zones.clear();
    network.run_until(
        "the smaller side gets death notices",
        60 * SECOND,
        |network| {
            let still_up = network.running_nodes();
            still_up
                .iter()
                .all(|index| network.zone(*index) != minority)
        },
    );
    assert_eq!(
        network.running_nodes().len(),
        16,
        "no node of the larger side stops"
    );
    for index in 0..24 {
        if network.nodes[index].declared_dead_at.is_some() {
            let address = network.nodes[index].identity.peer_address;
            network.start_at(address);
        }
    }
    network.run_until("both sides rejoined", 30 * SECOND, Network::agrees_on_all);
    network.run_for(60 * SECOND);
    assert_eq!(network.running_nodes().len(), 24);
}

#[test]
fn after_a_partition_nodes_that_rejoin_at_once_cause_no_other_deaths() {
    let mut network = Network::converged(24, 17);
    let minority = network.zone(0).to_string();
    network.isolated_zones.insert(minority.clone());
    network.run_for(30 * SECOND);
    network.isolated_zones.clear();
    let mut rejoined = 0;
    for _ in 0..600 {
        network.run_for(SECOND / 10);
        for index in 0..network.nodes.len() {
            let node = &network.nodes[index];
            if node.running && node.declared_dead_at.is_some() {
                let address = node.identity.peer_address;
                network.crash(index);
                network.start_at(address);
                rejoined += 1;
            }
        }
    }
    println!("{rejoined} nodes rejoined after a partition of 8 of 24");
    assert!(network.agrees_on_all());
    assert_eq!(network.running_nodes().len(), 24);
    let majority_nodes = (0..24).filter(|index| network.zone(*index) != minority);
    assert!(
        majority_nodes
            .clone()
            .all(|index| network.nodes[index].running)
    );
}

#[test]
fn member_behind_in_configuration_is_reported_at_most_once_a_second() {
    let mut network = Network::converged(24, 18);
    for index in 1..24 {
        network.input(index, MembershipInput::ConfigApplied(LogOffset(4)));
    }
    network.run_for(10 * SECOND);
    let behind_reports = &network.nodes[0].behind_reports;
    assert!(
        (5..=11).contains(&behind_reports.len()),
        "reported {} times",
        behind_reports.len()
    );
    assert!((1..24).all(|index| network.nodes[index].behind_reports.is_empty()));
}

#[test]
fn awaited_offset_is_requested_from_all_members() {
    let mut network = Network::converged(95, 19);
    for index in 0..95 {
        network.input(index, MembershipInput::ConfigApplied(LogOffset(4)));
    }
    network.input(0, MembershipInput::AwaitConfig(LogOffset(4)));
    let took = network.run_until("all reported", 3 * SECOND, |network| {
        let mut members = network.nodes[0].membership.view().members.values();
        members.all(|member| member.config_offset == LogOffset(4))
    });
    println!("95 nodes: all offsets are known to the requester after {took:?}");
}
