//! One fault at a time, or two: what is served, what is refused, and what is said to be unknown.

mod support;

use support::callers::End;
use support::checks;
use support::faults::{Fault, Target};
use support::log::LogMode;
use support::world::World;

const SECOND: u64 = 1_000;
const MINUTE: u64 = 60 * SECOND;
const HOUR: u64 = 60 * MINUTE;

/// Adds callers, each with a key of its own, one every `every` milliseconds.
fn add_callers(world: &mut World, from: u64, until: u64, every: u64) -> usize {
    let before = world.callers.len();
    for (position, at) in (from..until).step_by(every as usize).enumerate() {
        let key = (before + position) as u64;
        world.add_caller(at, key, false);
    }
    world.callers.len() - before
}

fn crash(node: Target) -> Fault {
    Fault::Crash {
        node,
        replaced_after: Some(5 * SECOND),
    }
}

/// What must hold whatever was lost.
fn check_safety(world: &World) {
    checks::all_ended(world);
    checks::at_most_once(world);
    checks::readers_agree(world);
}

fn check_nothing_lost(world: &World) {
    check_safety(world);
    assert_eq!(checks::losses(world), 0);
    checks::nothing_lost(world);
}

fn slowest_grant(world: &World, from: usize) -> u64 {
    let grants = world.callers[from..].iter();
    grants
        .filter_map(|caller| caller.granted_after)
        .max()
        .unwrap()
}

#[test]
fn without_faults_all_is_served_and_an_idle_group_is_silent() {
    let mut world = World::new(1, 2, support::settings());
    let callers = add_callers(&mut world, 5 * SECOND, 20 * SECOND, 100);
    world.run_until(30 * SECOND);
    check_nothing_lost(&world);
    assert_eq!(checks::count(&world, End::Served), callers);
    assert_eq!(checks::committed_but_not_logged(&world), 0);
    let messages = world.messages;
    world.run_until(10 * MINUTE);
    assert_eq!(world.messages, messages);
}

#[test]
fn an_hour_without_the_log_is_served_and_the_backlog_drains_without_a_storm() {
    let mut world = World::new(2, 2, support::long_outage_settings());
    world.schedule(10 * SECOND, Fault::Log(LogMode::Down));
    world.schedule(HOUR, Fault::Log(LogMode::Up));
    let callers = add_callers(&mut world, 5 * SECOND, HOUR + 10 * SECOND, 500);
    world.run_until(HOUR);
    let in_outage = world.log.records.len();
    world.run_until(HOUR + 2 * MINUTE);
    check_nothing_lost(&world);
    assert_eq!(checks::count(&world, End::Served), callers);
    assert_eq!(checks::committed_but_not_logged(&world), 0);
    let back_at = HOUR / SECOND;
    let busiest = world
        .log
        .appends_by_second
        .range(back_at..)
        .map(|(_, count)| count)
        .max();
    assert!(*busiest.unwrap() <= 20, "{busiest:?} appends in a second");
    assert!(world.log.records.len() - in_outage < 200);
    assert!(checks::largest_batch(&world) <= 256);
}

#[test]
fn slow_appends_do_not_slow_the_grants() {
    let mut world = World::new(3, 2, support::settings());
    let before = add_callers(&mut world, 5 * SECOND, 20 * SECOND, 100);
    world.schedule(20 * SECOND, Fault::Log(LogMode::Slow));
    let slow = add_callers(&mut world, 25 * SECOND, 80 * SECOND, 100);
    world.run_until(120 * SECOND);
    check_nothing_lost(&world);
    assert_eq!(checks::count(&world, End::Served), before + slow);
    assert!(slowest_grant(&world, before) < 1_000);
}

#[test]
fn lost_and_late_and_doubled_appends_change_nothing() {
    let mut world = World::new(4, 2, support::settings());
    world.schedule(10 * SECOND, Fault::Log(LogMode::LosingAnswers));
    world.schedule(2 * MINUTE, Fault::Log(LogMode::Up));
    let callers = add_callers(&mut world, 5 * SECOND, 2 * MINUTE, 200);
    world.run_until(4 * MINUTE);
    check_nothing_lost(&world);
    assert_eq!(checks::count(&world, End::Served), callers);
}

#[test]
fn a_leader_that_dies_during_an_outage_takes_nothing_with_it() {
    let mut world = World::new(5, 2, support::settings());
    world.schedule(10 * SECOND, Fault::Log(LogMode::Down));
    world.schedule(20 * SECOND, crash(Target::Leader));
    world.schedule(50 * SECOND, Fault::Log(LogMode::Up));
    let callers = add_callers(&mut world, 5 * SECOND, 50 * SECOND, 100);
    world.run_until(3 * MINUTE);
    check_nothing_lost(&world);
    assert_eq!(checks::count(&world, End::Served), callers);
}

#[test]
fn a_zone_cut_off_during_an_outage_stops_nothing() {
    let mut world = World::new(6, 2, support::settings());
    world.schedule(10 * SECOND, Fault::Log(LogMode::Down));
    let isolate = Fault::Isolate {
        node: Target::Leader,
        from_log: false,
        milliseconds: 20 * SECOND,
    };
    world.schedule(20 * SECOND, isolate);
    world.schedule(55 * SECOND, Fault::Log(LogMode::Up));
    add_callers(&mut world, 5 * SECOND, 50 * SECOND, 100);
    world.run_until(3 * MINUTE);
    check_nothing_lost(&world);
    assert!(checks::count(&world, End::Served) > 400);
}

#[test]
fn an_outage_with_a_member_missing_is_refused_as_not_run() {
    let mut world = World::new(7, 2, support::settings());
    world.schedule(10 * SECOND, crash(Target::Member(1)));
    world.schedule(10 * SECOND + 500, Fault::Log(LogMode::Down));
    let callers = add_callers(&mut world, 12 * SECOND, 40 * SECOND, 500);
    world.schedule(60 * SECOND, Fault::Log(LogMode::Up));
    world.run_until(3 * MINUTE);
    check_nothing_lost(&world);
    assert_eq!(checks::count(&world, End::NotRun), callers);
}

#[test]
fn a_majority_lost_while_the_log_is_up_is_vouched_for() {
    let mut world = World::new(8, 2, support::settings());
    world.schedule(20 * SECOND, crash(Target::Member(1)));
    world.schedule(20 * SECOND, crash(Target::Leader));
    add_callers(&mut world, 5 * SECOND, 2 * MINUTE, 200);
    world.run_until(4 * MINUTE);
    check_nothing_lost(&world);
    assert_eq!(checks::count(&world, End::Unknown), 0);
    assert!(checks::count(&world, End::Served) > 400);
}

/// Two members die in an outage; the log comes back.
fn lose_majority_in_outage(seed: u64) -> World {
    let mut world = World::new(seed, 2, support::settings());
    world.schedule(10 * SECOND, Fault::Log(LogMode::Down));
    world.schedule(30 * SECOND, crash(Target::Member(1)));
    world.schedule(30 * SECOND, crash(Target::Leader));
    world.schedule(40 * SECOND, Fault::Log(LogMode::Up));
    world
}

#[test]
fn a_majority_lost_in_an_outage_is_said_and_settled_later() {
    let mut world = lose_majority_in_outage(9);
    let early = add_callers(&mut world, 15 * SECOND, 30 * SECOND, 200);
    let after_loss = add_callers(&mut world, 60 * SECOND, 70 * SECOND, 500);
    world.run_until(5 * MINUTE);
    for caller in &world.callers[early..early + after_loss] {
        assert_eq!(caller.granted_after, None);
    }
    assert_eq!(checks::losses(&world), 1);
    let settled = world.callers.len();
    let later = add_callers(&mut world, 5 * MINUTE, 6 * MINUTE, 500);
    world.run_until(8 * MINUTE);
    check_safety(&world);
    for caller in &world.callers[settled..settled + later] {
        assert!(caller.granted_after.is_some());
    }
}

#[test]
fn a_key_granted_by_a_lost_group_is_not_granted_again() {
    let mut world = lose_majority_in_outage(10);
    for key in 0..100 {
        world.add_caller(15 * SECOND + key * 150, key, true);
        world.add_caller(50 * SECOND + key * 50, key, true);
    }
    world.run_until(3 * MINUTE);
    check_safety(&world);
    assert!(checks::committed_but_not_logged(&world) > 0);
}

#[test]
fn the_side_without_the_log_refuses_and_the_other_side_goes_on() {
    let mut world = World::new(11, 2, support::settings());
    world.run_until(15 * SECOND);
    let members = world.group_members();
    let far: Vec<_> = world
        .nodes
        .keys()
        .copied()
        .filter(|id| *id != members[2])
        .collect();
    let far: Vec<_> = far.into_iter().filter(|id| members.contains(id)).collect();
    let near: Vec<_> = world
        .nodes
        .keys()
        .copied()
        .filter(|id| !far.contains(id))
        .collect();
    for one in &far {
        world.cut_from_log.insert(*one);
        for other in &near {
            world.cuts.extend([(*one, *other), (*other, *one)]);
        }
    }
    for key in 0..300 {
        world.add_caller(16 * SECOND + key * 200, key, true);
        world.add_caller(20 * SECOND + key * 200, key, true);
    }
    world.schedule(2 * MINUTE, Fault::Heal);
    world.run_until(4 * MINUTE);
    check_nothing_lost(&world);
    let crashed = checks::count(&world, End::Crashed);
    assert!(crashed > 100, "only {crashed} requests ran");
}

#[test]
fn a_frozen_leader_that_wakes_has_no_say() {
    let mut world = World::new(12, 2, support::settings());
    world.schedule(10 * SECOND, Fault::Log(LogMode::Down));
    for (at, milliseconds) in [(20, 8), (40, 15)] {
        let freeze = Fault::Freeze {
            node: Target::Leader,
            milliseconds: milliseconds * SECOND,
        };
        world.schedule(at * SECOND, freeze);
    }
    world.schedule(60 * SECOND, Fault::Log(LogMode::Up));
    for key in 0..400 {
        world.add_caller(5 * SECOND + key * 140, key, true);
        world.add_caller(6 * SECOND + key * 140, key, true);
    }
    world.run_until(3 * MINUTE);
    check_nothing_lost(&world);
    assert!(checks::count(&world, End::Crashed) > 300);
}

#[test]
fn a_leader_that_hears_nobody_gives_way() {
    let mut world = World::new(13, 2, support::settings());
    world.schedule(10 * SECOND, Fault::Log(LogMode::Down));
    for member in [1, 2] {
        let cut = Fault::CutOneWay {
            from: Target::Member(member),
            to: Target::Leader,
            milliseconds: 30 * SECOND,
        };
        world.schedule(18 * SECOND, cut);
    }
    world.schedule(50 * SECOND, Fault::Log(LogMode::Up));
    let callers = add_callers(&mut world, 20 * SECOND, 40 * SECOND, 200);
    world.run_until(3 * MINUTE);
    check_nothing_lost(&world);
    assert_eq!(checks::count(&world, End::Served), callers);
}

#[test]
fn a_group_that_cannot_know_whether_it_is_in_force_stops_granting() {
    let mut world = World::new(14, 2, support::settings());
    world.schedule(10 * SECOND, Fault::Log(LogMode::Down));
    let within = add_callers(&mut world, 20 * SECOND, 60 * SECOND, 500);
    add_callers(&mut world, 75 * SECOND, 100 * SECOND, 500);
    world.schedule(2 * MINUTE, Fault::Log(LogMode::Up));
    world.run_until(4 * MINUTE);
    check_nothing_lost(&world);
    assert_eq!(checks::count(&world, End::Served), within);
}

#[test]
fn a_grant_lapses_before_its_key_can_be_free_again() {
    let mut world = lose_majority_in_outage(15);
    let frozen = world.add_caller(29 * SECOND, 0, true);
    world.run_until(29 * SECOND + 1);
    world.frozen_callers.insert(frozen, 4 * MINUTE);
    let repeat = world.add_caller(4 * MINUTE + 10 * SECOND, 0, true);
    world.run_until(5 * MINUTE);
    check_safety(&world);
    assert!(
        world.callers[repeat].granted_after.is_some() || world.callers[frozen].dispatched.is_some()
    );
}

#[test]
fn a_zone_that_reaches_only_the_log_takes_nothing_from_a_group_that_lives() {
    let mut world = World::new(16, 4, support::settings());
    world.run_until(5 * SECOND);
    let zone_of = |world: &World, id| world.nodes[&id].member.identity.zone.clone();
    let cut_off = zone_of(&world, world.leader().unwrap());
    let ids: Vec<_> = world.nodes.keys().copied().collect();
    for one in &ids {
        for other in &ids {
            let is_cut = zone_of(&world, *one) == cut_off;
            if is_cut != (zone_of(&world, *other) == cut_off) {
                world.cuts.insert((*one, *other));
            }
        }
    }
    add_callers(&mut world, 6 * SECOND, 3 * MINUTE, 200);
    world.schedule(2 * MINUTE, Fault::Heal);
    world.run_until(4 * MINUTE);
    check_nothing_lost(&world);
    assert_eq!(checks::forced_groups(&world), 0);
    assert_eq!(checks::count(&world, End::Unknown), 0);
}

#[test]
fn two_nodes_serve_while_the_log_is_there_and_lose_nothing() {
    let mut world = World::new(17, 0, support::settings());
    world.start_node(0);
    world.start_node(1);
    let before = add_callers(&mut world, 5 * SECOND, 18 * SECOND, 200);
    world.schedule(20 * SECOND, crash(Target::Leader));
    world.schedule(50 * SECOND, Fault::Log(LogMode::Down));
    let in_outage = add_callers(&mut world, 55 * SECOND, 70 * SECOND, 500);
    world.schedule(80 * SECOND, Fault::Log(LogMode::Up));
    let after = add_callers(&mut world, 90 * SECOND, 100 * SECOND, 200);
    world.run_until(3 * MINUTE);
    check_nothing_lost(&world);
    assert_eq!(checks::count(&world, End::Unknown), 0);
    assert_eq!(checks::count(&world, End::Served), before + after);
    assert_eq!(checks::count(&world, End::NotRun), in_outage);
}
