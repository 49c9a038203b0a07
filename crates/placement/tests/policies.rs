//! Tests of the rankings of the placement policies.

use std::collections::BTreeSet;

use havenstage_placement::policies::{
    EngineView, PREFIX_BYTES, PlacementPolicy, PlacementRequest, PolicySettings, build, prefix_hash,
};
use havenstage_types::decision::CandidateScore;
use havenstage_types::ids::{EngineName, VersionNumber, Zone};
use havenstage_types::resource::{PolicyName, PriorityClass};

const ALL_POLICIES: [PolicyName; 4] = [
    PolicyName::Random,
    PolicyName::RoundRobin,
    PolicyName::LeastReportedLoad,
    PolicyName::PrefixAffinity,
];

fn engines(count: usize) -> Vec<EngineView> {
    (0..count)
        .map(|index| EngineView {
            name: EngineName(format!("engine-{index}")),
            zone: Zone(format!("zone-{}", index % 3)),
            load_hint: 0,
            max_running: 64,
            version: Some(VersionNumber(5)),
            accepts_work: true,
        })
        .collect()
}

fn request(subject: u64, prefix: u64) -> PlacementRequest {
    PlacementRequest {
        subject_hash: subject,
        prefix_hash: prefix_hash(&format!("prompt {prefix}")),
        zone: Zone::new("zone-0"),
        class: PriorityClass::Live,
        oldest_version: None,
        straggler: false,
    }
}

fn affinity() -> Box<dyn PlacementPolicy> {
    build(PolicyName::PrefixAffinity, &PolicySettings::default(), 0)
}

fn first(
    policy: &mut dyn PlacementPolicy,
    subject: u64,
    prefix: u64,
    engines: &[EngineView],
) -> EngineName {
    policy.rank(&request(subject, prefix), engines)[0]
        .engine
        .clone()
}

fn names(candidates: &[CandidateScore]) -> Vec<&str> {
    candidates
        .iter()
        .map(|candidate| candidate.engine.as_str())
        .collect()
}

#[test]
fn equal_seeds_give_equal_rankings_of_distinct_candidates() {
    let engines = engines(20);
    for name in ALL_POLICIES {
        let mut left = build(name, &PolicySettings::default(), 9);
        let mut right = build(name, &PolicySettings::default(), 9);
        for subject in 0..50 {
            let ranked = left.rank(&request(subject, subject % 7), &engines);
            assert_eq!(ranked, right.rank(&request(subject, subject % 7), &engines));
            assert_eq!(
                names(&ranked).into_iter().collect::<BTreeSet<_>>().len(),
                3,
                "{name:?}"
            );
        }
        assert_eq!(left.name(), name);
    }
}

#[test]
fn engines_that_cannot_serve_the_request_are_excluded() {
    let mut engines = engines(3);
    engines[0].accepts_work = false;
    engines[1].version = Some(VersionNumber(3));
    engines[2].version = None;
    let mut bounded = request(1, 1);
    bounded.oldest_version = Some(VersionNumber(4));
    for name in ALL_POLICIES {
        let mut policy = build(name, &PolicySettings::default(), 9);
        assert_eq!(names(&policy.rank(&bounded, &engines)), ["engine-2"]);
        assert!(policy.rank(&bounded, &engines[..2]).is_empty());
    }
}

#[test]
fn round_robin_ranks_every_engine_first_once() {
    let engines = engines(5);
    let mut policy = build(PolicyName::RoundRobin, &PolicySettings::default(), 2);
    let firsts: BTreeSet<_> = (0..5)
        .map(|subject| first(&mut *policy, subject, 1, &engines))
        .collect();
    assert_eq!(firsts.len(), 5);
}

#[test]
fn least_reported_load_orders_by_share_of_the_slots() {
    let mut engines = engines(3);
    engines[0].load_hint = 20;
    engines[1].load_hint = 30;
    engines[1].max_running = 640;
    engines[2].load_hint = 10;
    let mut policy = build(PolicyName::LeastReportedLoad, &PolicySettings::default(), 2);
    let ranked = policy.rank(&request(1, 1), &engines);
    assert_eq!(names(&ranked), ["engine-1", "engine-2", "engine-0"]);
}

#[test]
fn affinity_sends_a_prefix_to_few_engines_of_an_idle_pool() {
    let engines = engines(40);
    let mut policy = affinity();
    let mut used = BTreeSet::new();
    for prefix in 0..100 {
        let ranked = policy.rank(&request(prefix, prefix), &engines);
        let matches: Vec<bool> = ranked
            .iter()
            .map(|candidate| candidate.prefix_match)
            .collect();
        assert_eq!(matches, [true, true, false]);
        let again = policy.rank(&request(prefix + 1000, prefix), &engines);
        assert_eq!(ranked[0], again[0]);
        used.insert(ranked[0].engine.clone());
    }
    assert!(
        used.len() >= 30,
        "prefixes must spread over at least 30 engines, but used {}",
        used.len()
    );
}

#[test]
fn affinity_prefers_the_less_loaded_and_then_the_same_zone() {
    let mut engines = engines(40);
    let mut policy = affinity();
    for prefix in 0..50 {
        let ranked = policy.rank(&request(1, prefix), &engines);
        let zone =
            |name: &EngineName| &engines.iter().find(|view| view.name == *name).unwrap().zone;
        let own = Zone::new("zone-0");
        assert!(zone(&ranked[0].engine) == &own || zone(&ranked[1].engine) != &own);
    }
    let first = first(&mut *policy, 1, 1, &engines);
    let view = engines.iter_mut().find(|view| view.name == first).unwrap();
    view.load_hint = 1;
    let ranked = policy.rank(&request(1, 1), &engines);
    assert_eq!(ranked[1].engine, first);
    assert!(ranked[1].prefix_match);
}

#[test]
fn affinity_stays_within_the_load_bound_when_one_prefix_is_hot() {
    let mut engines = engines(10);
    let mut policy = affinity();
    for subject in 0..400 {
        let prefix = if subject % 2 == 0 { 1 } else { subject };
        let chosen = first(&mut *policy, subject, prefix, &engines);
        let view = engines.iter_mut().find(|view| view.name == chosen).unwrap();
        view.load_hint += 1;
        let load = view.load_hint;
        let mean = (subject + 1) as f64 / 10.0;
        assert!(
            f64::from(load) <= mean * 1.25 + 2.0,
            "load {load} at a mean load of {mean}"
        );
    }
}

#[test]
fn affinity_keeps_the_other_engines_of_a_prefix_when_one_is_removed() {
    let mut engines = engines(20);
    let removed = engines[7].name.clone();
    let prefix_engines = |engines: &[EngineView], prefix| -> BTreeSet<EngineName> {
        let ranked = affinity().rank(&request(1, prefix), engines);
        let matches = ranked
            .into_iter()
            .filter(|candidate| candidate.prefix_match);
        matches.map(|candidate| candidate.engine).collect()
    };
    let before: Vec<_> = (0..200)
        .map(|prefix| prefix_engines(&engines, prefix))
        .collect();
    engines.remove(7);
    for (prefix, mut kept) in (0..200).zip(before) {
        let had_removed = kept.remove(&removed);
        let after = prefix_engines(&engines, prefix);
        assert!(after.is_superset(&kept));
        assert!(had_removed || after == kept);
    }
}

#[test]
fn stragglers_go_to_the_least_loaded_engine() {
    let mut engines = engines(20);
    for (index, engine) in engines.iter_mut().enumerate() {
        engine.load_hint = 20 - index as u32;
    }
    let mut policy = affinity();
    let mut straggler = request(1, 1);
    straggler.straggler = true;
    let ranked = policy.rank(&straggler, &engines);
    assert_eq!(names(&ranked), ["engine-19", "engine-18", "engine-17"]);
}

#[test]
fn only_the_start_of_a_prompt_decides_its_prefix() {
    let start = "x".repeat(PREFIX_BYTES);
    assert_eq!(
        prefix_hash(&format!("{start}a")),
        prefix_hash(&format!("{start}b"))
    );
    assert_ne!(prefix_hash("a"), prefix_hash("b"));
}
