//! Who is admitted with which key, and whose batches a caller sees.

use havenstage_rollout::access::{AccessTable, Caller, Denied, Tenant};
use havenstage_rollout::ids::{ApiKey, TenantName};
use havenstage_rollout::residency::Residency;

fn name(text: &str) -> TenantName {
    TenantName::from(text)
}

fn tenant(tenant: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name(tenant),
        keys: keys
            .iter()
            .map(|key| ApiKey::from((*key).to_owned()))
            .collect(),
        priority: None,
        residency: Residency::anywhere(),
    }
}

fn admitted(table: &AccessTable, key: &str) -> Caller {
    table.admit(Some(key), false).unwrap()
}

#[test]
fn without_tenants_nobody_needs_a_key() {
    let table = AccessTable::replacing(&[], None);
    assert_eq!(table.admit(None, false), Ok(Caller::Anonymous));
    assert_eq!(table.admit(Some("any"), false), Ok(Caller::Anonymous));
}

#[test]
fn a_key_stands_for_its_tenant() {
    let tenants = [tenant("water", &["k1", "k2"]), tenant("power", &["k3"])];
    let table = AccessTable::replacing(&tenants, None);
    assert_eq!(admitted(&table, "k2").tenant(), Some(&name("water")));
    assert_eq!(admitted(&table, "k3").tenant(), Some(&name("power")));
    assert_eq!(table.admit(None, false), Err(Denied::NoKey));
    assert_eq!(table.admit(Some("k4"), false), Err(Denied::UnknownKey));
    assert_eq!(table.admit(Some(""), false), Err(Denied::UnknownKey));
}

#[test]
fn a_public_route_needs_no_key_but_takes_no_unknown_one() {
    let table = AccessTable::replacing(&[tenant("water", &["k1"])], None);
    assert_eq!(table.admit(None, true), Ok(Caller::Anonymous));
    assert_eq!(table.admit(Some("gone"), true), Err(Denied::UnknownKey));
    let known = table.admit(Some("k1"), true).unwrap();
    assert_eq!(known.tenant(), Some(&name("water")));
}

#[test]
fn a_key_that_was_taken_away_is_unknown() {
    let first = AccessTable::replacing(&[tenant("water", &["k1", "k2"])], None);
    let second = AccessTable::replacing(&[tenant("water", &["k2"])], Some(&first));
    assert_eq!(second.admit(Some("k1"), false), Err(Denied::UnknownKey));
    assert_eq!(admitted(&second, "k2").tenant(), Some(&name("water")));
}

/// A tenant without keys is still a tenant: nobody gets in then.
#[test]
fn when_all_keys_were_taken_away_nobody_is_admitted() {
    let first = AccessTable::replacing(&[tenant("water", &["k1"])], None);
    let second = AccessTable::replacing(&[tenant("water", &[])], Some(&first));
    assert_eq!(second.admit(Some("k1"), false), Err(Denied::UnknownKey));
    assert_eq!(second.admit(None, false), Err(Denied::NoKey));
    assert_eq!(second.admit(None, true), Ok(Caller::Anonymous));
}

#[test]
fn callers_see_their_own_batches_only() {
    let tenants = [tenant("water", &["k1"]), tenant("power", &["k2"])];
    let table = AccessTable::replacing(&tenants, None);
    let water = admitted(&table, "k1");
    assert!(water.can_see(Some(&name("water"))));
    assert!(!water.can_see(Some(&name("power"))));
    assert!(
        water.can_see(None),
        "a batch from before there were tenants"
    );
    assert_eq!(water.effective_tenants(), [name("water")]);
    assert!(Caller::Anonymous.effective_tenants().is_empty());
}

/// The holder of a key that is passed on may still use it while the change is on its way.
#[test]
fn a_key_that_was_passed_on_still_shows_its_former_holders_batches() {
    let first = AccessTable::replacing(&[tenant("water", &["k1"]), tenant("power", &[])], None);
    let passed_on = [tenant("water", &[]), tenant("power", &["k1"])];
    let second = AccessTable::replacing(&passed_on, Some(&first));
    let caller = admitted(&second, "k1");
    assert_eq!(caller.tenant(), Some(&name("power")));
    assert!(caller.can_see(Some(&name("water"))));
    assert_eq!(caller.effective_tenants(), [name("power"), name("water")]);
    let third = AccessTable::replacing(&passed_on, Some(&second));
    assert!(admitted(&third, "k1").can_see(Some(&name("water"))));
}

#[test]
fn a_key_is_not_shown() {
    let shown = format!("{:?}", tenant("water", &["secret"]));
    assert!(!shown.contains("secret"), "{shown}");
}
