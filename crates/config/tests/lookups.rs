//! Typed lookups, the indexes that they use, and member lists.

mod common;

use common::{append, engine, key, members, pool, put, rule, state_with_pool, submit};
use havenstage_config::{ConfigEvent, ConfigState};
use havenstage_types::ids::{CallerName, EngineName, NodeId, PoolName};
use havenstage_types::resource::{PriorityClass, ResourceKind, ResourceSpec};

fn engine_names(state: &ConfigState, pool: &str) -> Vec<String> {
    let engines = state.engines_of_pool(&PoolName::new(pool));
    engines.map(|(name, _)| name.0).collect()
}

#[test]
fn pool_index_follows_moved_and_deleted_engines() {
    let mut state = state_with_pool("first");
    put(
        &mut state,
        ResourceKind::Pool,
        "second",
        ResourceSpec::Pool(pool()),
    );
    for name in ["b", "a"] {
        put(
            &mut state,
            ResourceKind::Engine,
            name,
            ResourceSpec::Engine(engine("first")),
        );
    }
    assert_eq!(engine_names(&state, "first"), ["a", "b"]);

    put(
        &mut state,
        ResourceKind::Engine,
        "a",
        ResourceSpec::Engine(engine("second")),
    );
    submit(&mut state, &key(ResourceKind::Engine, "b"), None);

    assert_eq!(engine_names(&state, "first"), [""; 0]);
    assert_eq!(engine_names(&state, "second"), ["a"]);
    assert_eq!(state.engine(&EngineName::new("b")), None);
    assert_eq!(state.engines().count(), 1);
    assert_eq!(state.pools().count(), 2);
}

#[test]
fn the_rule_of_a_caller_takes_precedence_over_the_default_rule() {
    let mut state = ConfigState::default();
    let class_of = |state: &ConfigState, caller: &str| {
        let rule = state.rule_for(&CallerName::new(caller))?;
        Some(rule.class)
    };
    assert_eq!(class_of(&state, "portal"), None);
    let own = rule(Some("portal"), PriorityClass::Urgent);
    put(&mut state, ResourceKind::PriorityRule, "own", own);
    let all = rule(None, PriorityClass::Training);
    put(&mut state, ResourceKind::PriorityRule, "all", all);
    assert_eq!(class_of(&state, "portal"), Some(PriorityClass::Urgent));
    assert_eq!(class_of(&state, "desk"), Some(PriorityClass::Training));

    submit(&mut state, &key(ResourceKind::PriorityRule, "own"), None);
    assert_eq!(class_of(&state, "portal"), Some(PriorityClass::Training));
}

#[test]
fn only_the_first_member_list_of_the_next_epoch_is_applied() {
    let mut state = ConfigState::default();
    assert_eq!(append(&mut state, members(1, 7)), [ConfigEvent::Members]);
    assert_eq!(append(&mut state, members(1, 8)), []);
    assert_eq!(append(&mut state, members(3, 9)), []);
    assert_eq!(state.members().epoch, 1);
    assert_eq!(state.members().members[0].id, NodeId(7));
}
