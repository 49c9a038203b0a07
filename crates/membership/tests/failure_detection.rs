//! Members find each other, notice who is gone and are not fooled by loss, pauses or cuts.

mod support;

use std::time::Duration;

use havenstage_membership::MembershipInput;
use havenstage_types::ids::LogOffset;
use havenstage_types::member::MemberState;
use support::Network;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn nodes_started_together_find_each_other() {
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
fn nodes_find_each_other_in_spite_of_loss() {
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
        let mut network = Network::settled(count, 9);
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
fn loss_makes_nobody_dead() {
    let mut network = Network::settled(24, 10);
    network.loss = 0.1;
    network.run_for(300 * SECOND);
    assert_eq!(network.live().len(), 24);
}

#[test]
fn a_short_pause_is_refuted_and_makes_nobody_dead() {
    let mut network = Network::settled(24, 11);
    network.freeze(5, 3 * SECOND);
    network.run_until("suspected", 3 * SECOND, |network| {
        (0..24).any(|by| network.state_seen(by, 5) == Some(MemberState::Suspect))
    });
    network.run_until("suspicion taken back", 10 * SECOND, Network::agrees_on_all);
    network.run_for(20 * SECOND);
    assert_eq!(network.live().len(), 24);
    let refuted = &network.nodes[0].membership.view().members[&network.id(5)];
    assert!(refuted.incarnation > 0);
}

#[test]
fn a_node_that_wakes_suspects_nobody_for_the_answers_it_missed() {
    let mut network = Network::settled(24, 20);
    let start = network.now;
    let membership = &mut network.nodes[5].membership;
    // No answer is delivered: to the process it looks as if it had been frozen in between.
    for milliseconds in (200..1_200).step_by(200).chain([9_000, 9_200]) {
        let now = start + Duration::from_millis(milliseconds);
        membership.handle(now, MembershipInput::Tick);
        let mut members = membership.view().members.values();
        assert!(members.all(|member| member.state == MemberState::Alive));
    }
}

#[test]
fn a_node_that_wakes_after_its_death_learns_it_at_once_and_blames_nobody() {
    let mut network = Network::settled(24, 12);
    network.freeze(5, 30 * SECOND);
    network.run_until("declared dead", 10 * SECOND, |network| {
        (0..24).all(|by| by == 5 || network.state_seen(by, 5) == Some(MemberState::Dead))
    });
    network.run_until("woken", 30 * SECOND, |network| {
        network.nodes[5].frozen_until.is_none()
    });
    let took = network.run_until("told", SECOND, |network| {
        network.nodes[5].declared_dead_at.is_some()
    });
    println!("a woken node learns of its death after {took:?}");
    let address = network.nodes[5].identity.peer_address;
    network.start_at(address);
    network.run_until("back with a new id", 10 * SECOND, Network::agrees_on_all);
    assert_eq!(network.live().len(), 24);
}

#[test]
fn a_node_frozen_for_longer_than_the_dead_are_remembered_gives_up_by_itself() {
    let mut network = Network::settled(3, 13);
    network.freeze(2, 700 * SECOND);
    network.run_for(699 * SECOND);
    assert_eq!(network.state_seen(0, 2), None, "forgotten");
    network.run_for(2 * SECOND);
    assert!(network.nodes[2].declared_dead_at.is_some());
}

#[test]
fn a_process_restarted_at_the_same_address_replaces_the_old_one() {
    let mut network = Network::settled(24, 14);
    network.crash(5);
    let address = network.nodes[5].identity.peer_address;
    network.start_at(address);
    let took = network.run_until("replaced", 10 * SECOND, Network::agrees_on_all);
    println!("a restart at the same address is known everywhere after {took:?}");
    assert!(took <= 4 * SECOND, "no suspicion needed");
}

#[test]
fn leaving_is_known_soon_and_is_never_taken_back() {
    let mut network = Network::settled(95, 15);
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
fn after_a_cut_the_smaller_side_comes_back_and_the_larger_stays() {
    let mut network = Network::settled(24, 16);
    let minority = network.zone(0).to_string();
    network.cut_zones.insert(minority.clone());
    network.run_for(30 * SECOND);
    for by in network.live() {
        let own_side: Vec<usize> = network
            .live()
            .into_iter()
            .filter(|of| (network.zone(*of) == minority) == (network.zone(by) == minority))
            .collect();
        assert!(
            network.sees_exactly(by, &own_side),
            "each side goes on alone"
        );
    }
    network.cut_zones.clear();
    network.run_until("the smaller side is told", 60 * SECOND, |network| {
        let still_up = network.live();
        still_up
            .iter()
            .all(|index| network.zone(*index) != minority)
    });
    assert_eq!(
        network.live().len(),
        16,
        "nobody of the larger side has to go"
    );
    for index in 0..24 {
        if network.nodes[index].declared_dead_at.is_some() {
            let address = network.nodes[index].identity.peer_address;
            network.start_at(address);
        }
    }
    network.run_until("whole again", 30 * SECOND, Network::agrees_on_all);
    network.run_for(60 * SECOND);
    assert_eq!(network.live().len(), 24);
}

#[test]
fn after_a_cut_nodes_that_come_back_at_once_do_not_drag_others_down() {
    let mut network = Network::settled(24, 17);
    let minority = network.zone(0).to_string();
    network.cut_zones.insert(minority.clone());
    network.run_for(30 * SECOND);
    network.cut_zones.clear();
    let mut returned = 0;
    for _ in 0..600 {
        network.run_for(SECOND / 10);
        for index in 0..network.nodes.len() {
            let node = &network.nodes[index];
            if node.running && node.declared_dead_at.is_some() {
                let address = node.identity.peer_address;
                network.crash(index);
                network.start_at(address);
                returned += 1;
            }
        }
    }
    println!("{returned} nodes came back after a cut of 8 of 24");
    assert!(network.agrees_on_all());
    assert_eq!(network.live().len(), 24);
    let first_ones = (0..24).filter(|index| network.zone(*index) != minority);
    assert!(first_ones.clone().all(|index| network.nodes[index].running));
}

#[test]
fn a_member_behind_in_configuration_hears_of_it_at_most_once_a_second() {
    let mut network = Network::settled(24, 18);
    for index in 1..24 {
        network.input(index, MembershipInput::ConfigApplied(LogOffset(4)));
    }
    network.run_for(10 * SECOND);
    let behind = &network.nodes[0].behind;
    assert!(
        (5..=11).contains(&behind.len()),
        "told {} times",
        behind.len()
    );
    assert!((1..24).all(|index| network.nodes[index].behind.is_empty()));
}

#[test]
fn an_awaited_offset_is_asked_for_from_all() {
    let mut network = Network::settled(95, 19);
    for index in 0..95 {
        network.input(index, MembershipInput::ConfigApplied(LogOffset(4)));
    }
    network.input(0, MembershipInput::AwaitConfig(LogOffset(4)));
    let took = network.run_until("all reported", 3 * SECOND, |network| {
        let mut members = network.nodes[0].membership.view().members.values();
        members.all(|member| member.config_offset == LogOffset(4))
    });
    println!("95 nodes: all offsets are known to the asker after {took:?}");
}
