//! Concurrent and repeated changes by operators.

mod common;

use common::{accepted_at, append, change, key, pool, submit};
use havenstage_config::{ConfigEvent, ConfigState, RECENT_CHANGE_LIMIT};
use havenstage_types::config::{ChangeOutcome, ConfigRecord, Precondition};
use havenstage_types::ids::{ChangeId, LogOffset, Revision};
use havenstage_types::resource::{PoolSpec, ResourceKind, ResourceSpec};

fn pool_with_reserve(live_reserve_percent: u8) -> Option<ResourceSpec> {
    Some(ResourceSpec::Pool(PoolSpec {
        live_reserve_percent,
        ..pool()
    }))
}

#[test]
fn exactly_one_of_two_concurrent_changes_is_accepted() {
    let pool = key(ResourceKind::Pool, "pool");
    let mut state = common::state_with_pool("pool");
    let at_first = Precondition::AtRevision(Revision(0));
    let one = change("one", &pool, at_first, pool_with_reserve(20));
    let two = change("two", &pool, at_first, pool_with_reserve(30));

    let won = append(&mut state, ConfigRecord::Change(two));
    let lost = append(&mut state, ConfigRecord::Change(one));

    assert_eq!(won, [ConfigEvent::Put(pool.clone())]);
    assert_eq!(lost, [ConfigEvent::Rejected(ChangeId::new("one"))]);
    let conflict = ChangeOutcome::Conflict {
        found: Some(Revision(1)),
    };
    assert_eq!(state.outcome_of(&ChangeId::new("one")), Some(&conflict));
    let kept = state.get(&pool).expect("exists");
    assert_eq!(Some(kept.spec.clone()), pool_with_reserve(30));
}

#[test]
fn a_repeated_change_keeps_the_first_outcome_and_has_no_effect() {
    let pool = key(ResourceKind::Pool, "pool");
    let mut state = ConfigState::default();
    let create = change("create", &pool, Precondition::Absent, pool_with_reserve(20));
    append(&mut state, ConfigRecord::Change(create.clone()));
    submit(&mut state, &pool, None);

    // The pool is absent again, so the precondition is met and only the id identifies the repeat.
    let repeated = append(&mut state, ConfigRecord::Change(create));

    assert_eq!(repeated, []);
    assert_eq!(state.get(&pool), None);
    let first = accepted_at(LogOffset(0));
    assert_eq!(state.outcome_of(&ChangeId::new("create")), Some(&first));
}

#[test]
fn a_rejected_change_stays_rejected_when_repeated() {
    let pool = key(ResourceKind::Pool, "pool");
    let mut state = ConfigState::default();
    let early = change(
        "early",
        &pool,
        Precondition::AtRevision(Revision(1)),
        pool_with_reserve(20),
    );
    append(&mut state, ConfigRecord::Change(early.clone()));
    submit(&mut state, &pool, pool_with_reserve(30));

    assert_eq!(append(&mut state, ConfigRecord::Change(early)), []);
    let conflict = ChangeOutcome::Conflict { found: None };
    assert_eq!(state.outcome_of(&ChangeId::new("early")), Some(&conflict));
}

#[test]
fn deleting_an_absent_resource_is_a_conflict() {
    let mut state = ConfigState::default();
    let outcome = submit(&mut state, &key(ResourceKind::Pool, "pool"), None);
    assert_eq!(outcome, ChangeOutcome::Conflict { found: None });
}

#[test]
fn the_oldest_change_id_is_forgotten_first() {
    let pool = key(ResourceKind::Pool, "pool");
    let mut state = ConfigState::default();
    for _ in 0..=RECENT_CHANGE_LIMIT {
        submit(&mut state, &pool, pool_with_reserve(20));
    }
    assert_eq!(state.outcome_of(&ChangeId::new("change-0")), None);
    assert!(state.outcome_of(&ChangeId::new("change-1")).is_some());
    assert_eq!(state.snapshot().recent_changes.len(), RECENT_CHANGE_LIMIT);
}
