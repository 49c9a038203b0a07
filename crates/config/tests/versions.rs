//! Weight versions: numbers only increase, and a version never changes.

mod common;

use common::{MODEL, key, pool, put, submit, version};
use havenstage_config::{ConfigState, PublishedVersion};
use havenstage_types::config::ChangeOutcome;
use havenstage_types::ids::{ModelName, Revision, VersionNumber};
use havenstage_types::resource::{InvalidResource, ResourceKind, ResourceSpec, WeightVersionSpec};

fn publish(state: &mut ConfigState, number: u64) -> ChangeOutcome {
    let key = key(ResourceKind::WeightVersion, &format!("tono-{number}"));
    submit(state, &key, Some(version(number)))
}

fn delete(state: &mut ConfigState, number: u64) -> ChangeOutcome {
    let key = key(ResourceKind::WeightVersion, &format!("tono-{number}"));
    submit(state, &key, None)
}

fn is_accepted(outcome: ChangeOutcome) -> bool {
    matches!(outcome, ChangeOutcome::Accepted(_))
}

fn newest(state: &ConfigState) -> Option<u64> {
    let version = state.newest_version(&ModelName::new(MODEL))?;
    Some(version.number.0)
}

#[test]
fn the_newest_version_is_the_one_with_the_highest_number() {
    let mut state = ConfigState::default();
    assert!(is_accepted(publish(&mut state, 9)));
    assert!(is_accepted(publish(&mut state, 10)));
    let expected = PublishedVersion {
        number: VersionNumber(10),
        location: "weights/10".to_owned(),
        revision: Revision(1),
    };
    assert_eq!(state.newest_version(&ModelName::new(MODEL)), Some(expected));
    assert_eq!(state.newest_version(&ModelName::new("other")), None);
}

#[test]
fn numbers_must_increase() {
    let mut state = ConfigState::default();
    publish(&mut state, 5);
    for number in [4, 5] {
        let spec = Some(version(number));
        let outcome = submit(&mut state, &key(ResourceKind::WeightVersion, "other"), spec);
        assert!(matches!(
            outcome,
            ChangeOutcome::Invalid(InvalidResource::OutOfRange { .. })
        ));
    }
    assert_eq!(newest(&state), Some(5));
}

#[test]
fn a_deleted_number_is_not_reused_even_after_a_snapshot() {
    let mut state = ConfigState::default();
    publish(&mut state, 5);
    assert!(is_accepted(delete(&mut state, 5)));
    let mut restored = ConfigState::from_snapshot(state.snapshot());
    for state in [&mut state, &mut restored] {
        assert!(!is_accepted(publish(state, 5)));
        assert!(is_accepted(publish(state, 6)));
    }
}

#[test]
fn the_newest_version_cannot_be_deleted_while_a_pool_serves_the_model() {
    let mut state = common::state_with_pool("pool");
    publish(&mut state, 5);
    publish(&mut state, 6);
    let in_use = InvalidResource::InUse {
        kind: ResourceKind::WeightVersion,
        name: "tono-6".to_owned(),
        by_kind: ResourceKind::Pool,
        by_name: "pool".to_owned(),
    };
    assert_eq!(delete(&mut state, 6), ChangeOutcome::Invalid(in_use));
    assert!(is_accepted(delete(&mut state, 5)));
    assert_eq!(newest(&state), Some(6));
}

#[test]
fn a_version_never_changes() {
    let mut state = ConfigState::default();
    publish(&mut state, 5);
    let elsewhere = ResourceSpec::WeightVersion(WeightVersionSpec {
        model: ModelName::new(MODEL),
        number: VersionNumber(5),
        location: "elsewhere".to_owned(),
    });
    let key = key(ResourceKind::WeightVersion, "tono-5");
    for spec in [elsewhere, version(6)] {
        let outcome = submit(&mut state, &key, Some(spec));
        assert!(matches!(
            outcome,
            ChangeOutcome::Invalid(InvalidResource::Immutable { .. })
        ));
    }
    assert!(is_accepted(publish(&mut state, 5)));
}

#[test]
fn version_numbers_of_models_are_independent() {
    let mut state = ConfigState::default();
    publish(&mut state, 5);
    let mut other = pool();
    other.model = ModelName::new("aviso");
    put(
        &mut state,
        ResourceKind::Pool,
        "aviso",
        ResourceSpec::Pool(other),
    );
    let spec = ResourceSpec::WeightVersion(WeightVersionSpec {
        model: ModelName::new("aviso"),
        number: VersionNumber(1),
        location: "aviso/1".to_owned(),
    });
    put(&mut state, ResourceKind::WeightVersion, "aviso-1", spec);
    assert!(is_accepted(delete(&mut state, 5)));
}
