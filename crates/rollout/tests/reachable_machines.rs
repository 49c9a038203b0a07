//! Tests of the announced addresses of machines: how many are announced and kept, and which ones a node selects.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use havenstage_rollout::checkpoint::ControlCheckpoint;
use havenstage_rollout::control::ControlState;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::ids::MachineName;
use havenstage_rollout::reachable_machines::{
    MAX_ADDRESSES, ReachableAddresses, ReachableMachines, can_announce_at_once,
};
use havenstage_rollout::stored::Stored;

fn machine(number: u16) -> MachineName {
    MachineName::from(format!("n{number}").as_str())
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Lets machines announce their addresses one after the other, each only if the address is wanted. Returns the number of
/// announcements.
fn announce_all(addresses: &mut ReachableMachines, machines: u16) -> usize {
    let mut announced = 0;
    for number in 0..machines {
        let machine = machine(number);
        if addresses.is_wanted(&machine, address(number)) {
            addresses.record_address(machine, address(number));
            announced += 1;
        }
    }
    announced
}

#[test]
fn a_small_fleet_knows_all_its_addresses() {
    let mut addresses = ReachableMachines::default();
    assert_eq!(announce_all(&mut addresses, 4), 4);
    let others = addresses.sample_others(&machine(1), 8, 0);
    let expected = [address(0), address(2), address(3)];
    assert_eq!(others, expected);
}

#[test]
fn the_number_of_kept_addresses_does_not_grow_with_the_fleet() {
    let mut addresses = ReachableMachines::default();
    announce_all(&mut addresses, 2_000);
    assert_eq!(addresses.checkpoint().len(), MAX_ADDRESSES);
    let again = announce_all(&mut addresses, 2_000);
    assert_eq!(again, 0, "all wanted addresses are known");
}

#[test]
fn the_kept_addresses_do_not_depend_on_the_order_of_announcements() {
    let (mut one, mut other) = (ReachableMachines::default(), ReachableMachines::default());
    for number in 0..100 {
        one.record_address(machine(number), address(number));
        other.record_address(machine(99 - number), address(99 - number));
    }
    assert_eq!(one.checkpoint(), other.checkpoint());
}

#[test]
fn a_machine_with_a_new_address_announces_it() {
    let mut addresses = ReachableMachines::default();
    addresses.record_address(machine(1), address(1));
    assert!(!addresses.is_wanted(&machine(1), address(1)));
    assert!(addresses.is_wanted(&machine(1), address(2)));
    addresses.record_address(machine(1), address(2));
    assert_eq!(addresses.sample_others(&machine(0), 8, 0), [address(2)]);
}

#[test]
fn different_draws_select_different_machines() {
    let mut addresses = ReachableMachines::default();
    announce_all(&mut addresses, 6);
    let selected = (0..5).map(|draw| addresses.sample_others(&machine(0), 1, draw));
    let selected: BTreeSet<SocketAddr> = selected.flatten().collect();
    assert_eq!(selected.len(), 5);
    let alone = ReachableMachines::default();
    assert!(alone.sample_others(&machine(0), 1, 7).is_empty());
}

/// During a rolling upgrade, the checkpoint may have been written by an older version, whose format has no addresses.
#[test]
fn a_checkpoint_keeps_addresses_and_one_of_an_older_format_has_none() {
    let mut state = ControlState::new(MachineName::from("writer"));
    let (machine, address) = (machine(1), address(1));
    state.apply(ControlRecord::Reachable { machine, address }, 7);
    let written = state.checkpoint(16);
    let read = ControlCheckpoint::decode(&written.encode()).unwrap();
    let restored = ControlState::restored(MachineName::from("reader"), read, 9);
    let others = restored
        .reachable()
        .sample_others(&MachineName::from("reader"), 1, 0);
    assert_eq!(others, [address]);
    let before = ControlCheckpoint {
        form: 6,
        reachable: ReachableAddresses::new(),
        ..written
    };
    let mut bytes = before.encode();
    for missing in ["trials", "addresses"] {
        assert_eq!(bytes.pop(), Some(0), "the empty list of {missing}");
    }
    assert_eq!(ControlCheckpoint::decode(&bytes), Ok(before));
}

#[test]
fn selected_machines_are_far_apart_in_the_order_of_names() {
    let mut addresses = ReachableMachines::default();
    announce_all(&mut addresses, 9);
    for draw in 0..8 {
        let selected = addresses.sample_others(&machine(0), 2, draw);
        let ports: Vec<u16> = selected.iter().map(SocketAddr::port).collect();
        assert_eq!(ports[0].abs_diff(ports[1]), 4, "{ports:?}");
    }
}

/// In a fleet whose size is within the limit every address is kept, so no machine has to wait for its turn.
#[test]
fn only_small_fleets_announce_their_addresses_at_once() {
    assert!(can_announce_at_once(1) && can_announce_at_once(MAX_ADDRESSES));
    assert!(!can_announce_at_once(MAX_ADDRESSES + 1));
}
