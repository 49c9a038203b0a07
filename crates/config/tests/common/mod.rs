//! Builders of resources and changes for the tests of the configuration.
#![allow(dead_code, reason = "each test file uses some of the builders")]

use havenstage_config::{ConfigEvent, ConfigState};
use havenstage_types::config::{
    ChangeOutcome, ConfigChange, ConfigRecord, MemberList, Precondition,
};
use havenstage_types::ids::{
    CallerName, ChangeId, LogOffset, ModelName, NodeId, PoolName, Revision, VersionNumber, Zone,
};
use havenstage_types::member::MemberIdentity;
use havenstage_types::resource::{
    EngineSpec, JobSpec, PolicyName, PoolSpec, PriorityClass, PriorityRuleSpec, ResourceKey,
    ResourceKind, ResourceSpec, WeightVersionSpec,
};
use proptest::test_runner::{Config, RngSeed};

pub const MODEL: &str = "tono";

pub fn key(kind: ResourceKind, name: &str) -> ResourceKey {
    let name = name.to_owned();
    ResourceKey { kind, name }
}

pub fn pool() -> PoolSpec {
    PoolSpec {
        model: ModelName::new(MODEL),
        policy: PolicyName::default(),
        max_running_per_engine: 8,
        max_queued_per_engine: 8,
        live_reserve_percent: 10,
    }
}

pub fn job(pool: &str) -> JobSpec {
    JobSpec {
        pool: PoolName::new(pool),
        prompts: vec!["prompt".to_owned()],
        group_size: 2,
        samples_per_step: 4,
        staleness_bound: 1,
        max_tokens: 16,
        steps: None,
        steps_ahead: 1,
    }
}

pub fn engine(pool: &str) -> EngineSpec {
    EngineSpec {
        pool: PoolName::new(pool),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: Zone::new("bilbao-a"),
        kv_capacity_tokens: 1000,
        desired_state: Default::default(),
    }
}

pub fn version(number: u64) -> ResourceSpec {
    ResourceSpec::WeightVersion(WeightVersionSpec {
        model: ModelName::new(MODEL),
        number: VersionNumber(number),
        location: format!("weights/{number}"),
    })
}

pub fn rule(caller: Option<&str>, class: PriorityClass) -> ResourceSpec {
    ResourceSpec::PriorityRule(PriorityRuleSpec {
        caller: caller.map(CallerName::new),
        class,
        max_in_flight_per_node: None,
    })
}

pub fn members(epoch: u64, node: u64) -> ConfigRecord {
    let address = ([127, 0, 0, 1], 7000).into();
    let identity = MemberIdentity {
        id: NodeId(node),
        name: format!("node-{node}"),
        zone: Zone::new("bilbao-a"),
        peer_address: address,
        http_address: address,
    };
    let members = vec![identity];
    ConfigRecord::Members(MemberList { epoch, members })
}

pub fn change(
    id: &str,
    key: &ResourceKey,
    precondition: Precondition,
    spec: Option<ResourceSpec>,
) -> ConfigChange {
    ConfigChange {
        id: ChangeId::new(id),
        key: key.clone(),
        precondition,
        spec,
    }
}

/// The precondition that the current state of the resource meets.
pub fn met_precondition(state: &ConfigState, key: &ResourceKey) -> Precondition {
    match state.get(key) {
        Some(resource) => Precondition::AtRevision(resource.revision),
        None => Precondition::Absent,
    }
}

/// Applies a record at the next offset.
pub fn append(state: &mut ConfigState, record: ConfigRecord) -> Vec<ConfigEvent> {
    state.apply(state.next_offset(), &record).expect("in order")
}

/// Applies a change with a unique id whose precondition is met, and returns its outcome.
pub fn submit(
    state: &mut ConfigState,
    key: &ResourceKey,
    spec: Option<ResourceSpec>,
) -> ChangeOutcome {
    let id = format!("change-{}", state.next_offset());
    let change = change(&id, key, met_precondition(state, key), spec);
    append(state, ConfigRecord::Change(change));
    let outcome = state.outcome_of(&ChangeId::new(id));
    outcome.expect("remembered").clone()
}

/// Creates or replaces a resource like [`submit`], and asserts that the change is accepted.
pub fn put(state: &mut ConfigState, kind: ResourceKind, name: &str, spec: ResourceSpec) {
    let offset = state.next_offset();
    let outcome = submit(state, &key(kind, name), Some(spec));
    assert_eq!(outcome, accepted_at(offset));
}

pub fn accepted_at(offset: LogOffset) -> ChangeOutcome {
    ChangeOutcome::Accepted(Revision(offset.0))
}

/// A state with one pool.
pub fn state_with_pool(name: &str) -> ConfigState {
    let mut state = ConfigState::default();
    put(
        &mut state,
        ResourceKind::Pool,
        name,
        ResourceSpec::Pool(pool()),
    );
    state
}

/// Configuration of `proptest` with a fixed seed, so that every run takes the same cases.
pub fn fixed_cases(cases: u32, seed: u64) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
