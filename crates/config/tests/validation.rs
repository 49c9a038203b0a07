//! Changes that are out of range or inconsistent with the other resources.

mod common;

use common::{engine, job, key, pool, put, rule, state_with_pool, submit};
use havenstage_config::ConfigState;
use havenstage_types::config::ChangeOutcome;
use havenstage_types::ids::{ModelName, Zone};
use havenstage_types::resource::{
    EngineSpec, InvalidResource, JobSpec, PoolSpec, PriorityClass, ResourceKind, ResourceSpec,
};

fn fault(state: &ConfigState, kind: ResourceKind, name: &str, spec: ResourceSpec) -> String {
    let refused = state.validate_spec(&key(kind, name), Some(&spec));
    refused.expect_err("must be refused").to_string()
}

fn job_fault(edit: impl FnOnce(&mut JobSpec)) -> String {
    let mut spec = job("pool");
    edit(&mut spec);
    let state = state_with_pool("pool");
    fault(&state, ResourceKind::Job, "job", ResourceSpec::Job(spec))
}

#[test]
fn job_fields_have_limits() {
    let faults = [
        job_fault(|job| job.group_size = 0),
        job_fault(|job| job.samples_per_step = 0),
        job_fault(|job| job.samples_per_step = 5),
        job_fault(|job| job.samples_per_step = 65_538),
        job_fault(|job| job.staleness_bound = 1001),
        job_fault(|job| job.max_tokens = 0),
        job_fault(|job| job.max_tokens = 1_000_001),
        job_fault(|job| job.steps = Some(0)),
        job_fault(|job| job.steps_ahead = 0),
        job_fault(|job| job.steps_ahead = 9),
        job_fault(|job| job.prompts.clear()),
        job_fault(|job| job.prompts.push("p".repeat(1 << 20))),
    ];
    insta::assert_snapshot!(faults.join("\n"), @"
    group_size is 0, allowed: 1 to 65536
    samples_per_step is 0, allowed: 1 to 65536
    samples_per_step is 5, allowed: multiples of group_size, which is 2
    samples_per_step is 65538, allowed: 1 to 65536
    staleness_bound is 1001, allowed: 0 to 1000
    max_tokens is 0, allowed: 1 to 1000000
    max_tokens is 1000001, allowed: 1 to 1000000
    steps is 0, allowed: at least 1
    steps_ahead is 0, allowed: 1 to 8
    steps_ahead is 9, allowed: 1 to 8
    prompts.length is 0, allowed: at least 1
    prompts.bytes is 1048582, allowed: 0 to 1048576
    ");
}

#[test]
fn pool_engine_and_rule_fields_have_limits() {
    let state = state_with_pool("pool");
    let pool_fault = |edit: fn(&mut PoolSpec)| {
        let mut spec = pool();
        edit(&mut spec);
        fault(
            &state,
            ResourceKind::Pool,
            "other",
            ResourceSpec::Pool(spec),
        )
    };
    let engine_fault = |edit: fn(&mut EngineSpec)| {
        let mut spec = engine("pool");
        edit(&mut spec);
        fault(
            &state,
            ResourceKind::Engine,
            "one",
            ResourceSpec::Engine(spec),
        )
    };
    let caller = rule(Some(""), PriorityClass::Live);
    let faults = [
        pool_fault(|pool| pool.max_running_per_engine = 0),
        pool_fault(|pool| pool.max_running_per_engine = 4097),
        pool_fault(|pool| pool.max_queued_per_engine = 65_537),
        pool_fault(|pool| pool.live_reserve_percent = 91),
        pool_fault(|pool| pool.model = ModelName::new("Tono")),
        engine_fault(|engine| engine.kv_capacity_tokens = 0),
        engine_fault(|engine| engine.zone = Zone::new("")),
        fault(&state, ResourceKind::PriorityRule, "rule", caller),
    ];
    insta::assert_snapshot!(faults.join("\n"), @r#"
    max_running_per_engine is 0, allowed: 1 to 4096
    max_running_per_engine is 4097, allowed: 1 to 4096
    max_queued_per_engine is 65537, allowed: 0 to 65536
    live_reserve_percent is 91, allowed: 0 to 90
    model is "Tono", allowed: 1 to 63 characters of lowercase letters, digits, '-' and '.'
    kv_capacity_tokens is 0, allowed: at least 1
    zone is "", allowed: 1 to 63 characters of lowercase letters, digits, '-' and '.'
    caller is "", allowed: 1 to 63 characters of visible ASCII
    "#);
}

#[test]
fn names_have_limited_length_and_characters() {
    let state = ConfigState::default();
    let check = |name: &str| {
        let spec = ResourceSpec::Pool(pool());
        state.validate_spec(&key(ResourceKind::Pool, name), Some(&spec))
    };
    for name in ["a", "tono-llm.2", &"a".repeat(63)] {
        assert_eq!(check(name), Ok(()), "{name}");
    }
    for name in ["", "Tono", "a/b", "a b", "ñ", &"a".repeat(64)] {
        let refused = check(name);
        assert!(
            matches!(refused, Err(InvalidResource::OutOfRange { .. })),
            "{name}: {refused:?}"
        );
    }
}

#[test]
fn references_must_exist() {
    let state = state_with_pool("pool");
    let missing = InvalidResource::MissingReference {
        field: "pool".to_owned(),
        kind: ResourceKind::Pool,
        name: "other".to_owned(),
    };
    let job = ResourceSpec::Job(job("other"));
    let engine = ResourceSpec::Engine(engine("other"));
    let job_key = key(ResourceKind::Job, "job");
    let engine_key = key(ResourceKind::Engine, "engine");
    assert_eq!(
        state.validate_spec(&job_key, Some(&job)),
        Err(missing.clone())
    );
    assert_eq!(
        state.validate_spec(&engine_key, Some(&engine)),
        Err(missing)
    );
}

#[test]
fn the_specification_must_match_the_kind_of_its_key() {
    let state = state_with_pool("pool");
    let fault = fault(
        &state,
        ResourceKind::Engine,
        "job",
        ResourceSpec::Job(job("pool")),
    );
    insta::assert_snapshot!(fault, @"Engine: the specification is that of kind Job");
}

#[test]
fn a_pool_in_use_cannot_be_deleted() {
    for (kind, spec) in [
        (ResourceKind::Engine, ResourceSpec::Engine(engine("pool"))),
        (ResourceKind::Job, ResourceSpec::Job(job("pool"))),
    ] {
        let mut state = state_with_pool("pool");
        put(&mut state, kind, "user", spec);
        let pool = key(ResourceKind::Pool, "pool");
        let in_use = InvalidResource::InUse {
            kind: ResourceKind::Pool,
            name: "pool".to_owned(),
            by_kind: kind,
            by_name: "user".to_owned(),
        };
        assert_eq!(
            submit(&mut state, &pool, None),
            ChangeOutcome::Invalid(in_use)
        );

        submit(&mut state, &key(kind, "user"), None);
        let offset = state.next_offset();
        assert_eq!(submit(&mut state, &pool, None), common::accepted_at(offset));
    }
}

#[test]
fn a_pool_keeps_its_model() {
    let state = state_with_pool("pool");
    let mut spec = pool();
    spec.model = ModelName::new("other");
    let fault = fault(&state, ResourceKind::Pool, "pool", ResourceSpec::Pool(spec));
    insta::assert_snapshot!(fault, @"model cannot change once the Pool exists");
}

#[test]
fn a_caller_has_at_most_one_rule() {
    for caller in [Some("portal"), None] {
        let mut state = ConfigState::default();
        let spec = rule(caller, PriorityClass::Live);
        put(
            &mut state,
            ResourceKind::PriorityRule,
            "first",
            spec.clone(),
        );
        let fault = fault(&state, ResourceKind::PriorityRule, "second", spec.clone());
        assert_eq!(fault, "caller is the same as that of PriorityRule first");
        put(&mut state, ResourceKind::PriorityRule, "first", spec);
    }
}
