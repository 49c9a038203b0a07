//! Roles are assigned evenly and consistently, and move only when their owner is lost.

use std::net::SocketAddr;

use havenstage_membership::ownership::{
    config_recorder, home_of_engine, owner_of_job, owner_of_partition, partition_of,
};
use havenstage_types::ids::{
    EngineName, IdempotencyKey, JobName, LogOffset, NodeId, Partition, Zone,
};
use havenstage_types::member::{Member, MemberIdentity, MemberState, MembershipView};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ZONES: [&str; 3] = ["sala-lodi", "sala-cremona", "sala-piacenza"];
const PARTITIONS: u64 = 64;

fn member(id: u64, state: MemberState) -> Member {
    let address = SocketAddr::from(([10, 0, 0, 1], 1_000));
    Member {
        identity: MemberIdentity {
            id: NodeId(id),
            name: format!("node-{id}"),
            zone: Zone::new(ZONES[(id % 3) as usize]),
            peer_address: address,
            http_address: address,
        },
        state,
        incarnation: 0,
        config_offset: LogOffset(0),
    }
}

fn view(ids: impl IntoIterator<Item = u64>) -> MembershipView {
    let members = ids.into_iter().map(|id| member(id, MemberState::Alive));
    MembershipView {
        members: members.map(|member| (member.identity.id, member)).collect(),
    }
}

fn with_state(mut view: MembershipView, id: u64, state: MemberState) -> MembershipView {
    view.members.insert(NodeId(id), member(id, state));
    view
}

/// All owners in a view: of partitions, of jobs and of engines in each zone.
fn owners(view: &MembershipView) -> Vec<Option<NodeId>> {
    let partitions = (0..PARTITIONS).map(|number| owner_of_partition(view, Partition(number)));
    let jobs = (0..20).map(|number| owner_of_job(view, &JobName(format!("job-{number}"))));
    let engines = (0..60).map(|number| {
        let engine = EngineName(format!("engine-{number}"));
        home_of_engine(view, &engine, &Zone::new(ZONES[number % 3]))
    });
    let recorder = std::iter::once(config_recorder(view));
    partitions
        .chain(jobs)
        .chain(engines)
        .chain(recorder)
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    #[test]
    fn only_the_roles_of_the_lost_member_move(
        ids in prop::collection::btree_set(any::<u64>(), 7..40),
        pick in any::<prop::sample::Index>(),
    ) {
        let all: Vec<u64> = ids.into_iter().collect();
        let lost = all[pick.index(all.len())];
        let before = owners(&view(all.clone()));
        for state in [MemberState::Dead, MemberState::Leaving] {
            let after = owners(&with_state(view(all.clone()), lost, state));
            for (before, after) in before.iter().zip(&after) {
                prop_assert_ne!(*after, Some(NodeId(lost)));
                prop_assert!(before == after || *before == Some(NodeId(lost)));
            }
        }
        let suspected = with_state(view(all), lost, MemberState::Suspect);
        prop_assert_eq!(owners(&suspected), before);
    }
}

#[test]
fn partitions_are_spread_evenly() {
    let view = view(1..=16);
    let count = 16_000;
    let mut owned = std::collections::BTreeMap::new();
    for number in 0..count {
        let owner = owner_of_partition(&view, Partition(number)).expect("an owner");
        *owned.entry(owner).or_insert(0_u64) += 1;
    }
    assert_eq!(owned.len(), 16);
    assert!(owned.values().all(|owned| (900..=1_100).contains(owned)));
}

#[test]
fn engine_home_is_in_its_zone_while_the_zone_has_a_member() {
    let engine = EngineName::new("engine-1");
    let lodi = Zone::new(ZONES[0]);
    let all = view(1..=9);
    let home = home_of_engine(&all, &engine, &lodi).expect("a home");
    assert_eq!(all.members[&home].identity.zone, lodi);
    let elsewhere = view([1, 2, 4, 5]);
    assert!(home_of_engine(&elsewhere, &engine, &lodi).is_some());
    assert_eq!(home_of_engine(&view([]), &engine, &lodi), None);
}

/// Changing these values would move every key of a running deployment to another partition.
#[test]
fn the_partition_of_a_key_never_changes() {
    let partitions: Vec<u64> = ["notice-1", "notice-2", "slot-17"]
        .iter()
        .map(|key| partition_of(&IdempotencyKey::new(*key), PARTITIONS).0)
        .collect();
    insta::assert_compact_debug_snapshot!(partitions, @"[46, 59, 16]");
    assert_eq!(partition_of(&IdempotencyKey::new("any"), 0), Partition(0));
}
