//! Tests of admission by API key, and of which batches a caller can see.

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

fn admit_with_key(table: &AccessTable, key: &str) -> Caller {
    table.admit(Some(key), false).unwrap()
}

#[test]
fn no_key_is_needed_without_tenants() {
    let table = AccessTable::replacing(&[], None);
    assert_eq!(table.admit(None, false), Ok(Caller::Anonymous));
    assert_eq!(table.admit(Some("any"), false), Ok(Caller::Anonymous));
}

#[test]
fn a_key_identifies_its_tenant() {
    let tenants = [tenant("water", &["k1", "k2"]), tenant("power", &["k3"])];
    let table = AccessTable::replacing(&tenants, None);
    assert_eq!(admit_with_key(&table, "k2").tenant(), Some(&name("water")));
    assert_eq!(admit_with_key(&table, "k3").tenant(), Some(&name("power")));
    assert_eq!(table.admit(None, false), Err(Denied::NoKey));
    assert_eq!(table.admit(Some("k4"), false), Err(Denied::UnknownKey));
    assert_eq!(table.admit(Some(""), false), Err(Denied::UnknownKey));
}

#[test]
fn a_public_route_needs_no_key_but_rejects_unknown_keys() {
    let table = AccessTable::replacing(&[tenant("water", &["k1"])], None);
    assert_eq!(table.admit(None, true), Ok(Caller::Anonymous));
    assert_eq!(table.admit(Some("gone"), true), Err(Denied::UnknownKey));
    let known = table.admit(Some("k1"), true).unwrap();
    assert_eq!(known.tenant(), Some(&name("water")));
}

#[test]
fn a_revoked_key_is_unknown() {
    let first = AccessTable::replacing(&[tenant("water", &["k1", "k2"])], None);
    let second = AccessTable::replacing(&[tenant("water", &["k2"])], Some(&first));
    assert_eq!(second.admit(Some("k1"), false), Err(Denied::UnknownKey));
    assert_eq!(admit_with_key(&second, "k2").tenant(), Some(&name("water")));
}

/// A configuration whose tenants have no keys left still requires keys, so only public routes admit callers.
#[test]
fn no_caller_is_admitted_when_all_keys_are_revoked() {
    let first = AccessTable::replacing(&[tenant("water", &["k1"])], None);
    let second = AccessTable::replacing(&[tenant("water", &[])], Some(&first));
    assert_eq!(second.admit(Some("k1"), false), Err(Denied::UnknownKey));
    assert_eq!(second.admit(None, false), Err(Denied::NoKey));
    assert_eq!(second.admit(None, true), Ok(Caller::Anonymous));
}

#[test]
fn callers_see_only_their_own_batches() {
    let tenants = [tenant("water", &["k1"]), tenant("power", &["k2"])];
    let table = AccessTable::replacing(&tenants, None);
    let water = admit_with_key(&table, "k1");
    assert!(water.can_see(Some(&name("water"))));
    assert!(!water.can_see(Some(&name("power"))));
    assert!(
        water.can_see(None),
        "a batch that was submitted before there were tenants"
    );
    assert_eq!(water.effective_tenants(), [name("water")]);
    assert!(Caller::Anonymous.effective_tenants().is_empty());
}

/// A key that is reassigned to another tenant may still be used by its former holder until the change has reached all
/// callers and nodes, so its batches stay visible.
#[test]
fn the_holder_of_a_reassigned_key_sees_the_batches_of_its_former_holder() {
    let first = AccessTable::replacing(&[tenant("water", &["k1"]), tenant("power", &[])], None);
    let reassigned = [tenant("water", &[]), tenant("power", &["k1"])];
    let second = AccessTable::replacing(&reassigned, Some(&first));
    let caller = admit_with_key(&second, "k1");
    assert_eq!(caller.tenant(), Some(&name("power")));
    assert!(caller.can_see(Some(&name("water"))));
    assert_eq!(caller.effective_tenants(), [name("power"), name("water")]);
    let third = AccessTable::replacing(&reassigned, Some(&second));
    assert!(admit_with_key(&third, "k1").can_see(Some(&name("water"))));
}

#[test]
fn debug_output_hides_keys() {
    let shown = format!("{:?}", tenant("water", &["secret"]));
    assert!(!shown.contains("secret"), "{shown}");
}
