//! Checks of a resource against the other resources.

use havenstage_types::ids::{ModelName, PoolName};
use havenstage_types::resource::{
    InvalidResource, PoolSpec, PriorityRuleSpec, Resource, ResourceKey, ResourceKind, ResourceSpec,
    WeightVersionSpec,
};

use crate::resources::ResourceTable;

/// Checks that the resources to which a specification refers exist, that immutable fields
/// keep their values and that unique values are unique.
pub(super) fn check_put(
    resources: &ResourceTable,
    key: &ResourceKey,
    spec: &ResourceSpec,
) -> Result<(), InvalidResource> {
    let existing = resources.get(key.kind, &key.name);
    match spec {
        ResourceSpec::Job(job) => check_pool_exists(resources, &job.pool),
        ResourceSpec::Engine(engine) => check_pool_exists(resources, &engine.pool),
        ResourceSpec::WeightVersion(version) => check_version(resources, existing, version),
        ResourceSpec::Pool(pool) => check_pool_model(existing, pool),
        ResourceSpec::PriorityRule(rule) => check_rule_is_unique(resources, key, rule),
    }
}

/// Checks that no other resource needs the one to be deleted.
pub(super) fn check_delete(
    resources: &ResourceTable,
    key: &ResourceKey,
) -> Result<(), InvalidResource> {
    let Some(resource) = resources.get(key.kind, &key.name) else {
        return Ok(());
    };
    let user = match &resource.spec {
        ResourceSpec::Pool(_) => user_of_pool(resources, &key.name),
        ResourceSpec::WeightVersion(version) => user_of_version(resources, version),
        ResourceSpec::Job(_) | ResourceSpec::Engine(_) | ResourceSpec::PriorityRule(_) => None,
    };
    match user {
        Some(user) => Err(InvalidResource::InUse {
            kind: key.kind,
            name: key.name.clone(),
            by_kind: user.key.kind,
            by_name: user.key.name.clone(),
        }),
        None => Ok(()),
    }
}

fn check_pool_exists(resources: &ResourceTable, pool: &PoolName) -> Result<(), InvalidResource> {
    if resources.get(ResourceKind::Pool, pool.as_str()).is_some() {
        return Ok(());
    }
    Err(InvalidResource::MissingReference {
        field: "pool".to_owned(),
        kind: ResourceKind::Pool,
        name: pool.to_string(),
    })
}

/// Checks that an existing version stays the same, since samples refer to it only by its number,
/// and that a new version has a higher number than all versions of its model before it, including
/// deleted ones.
fn check_version(
    resources: &ResourceTable,
    existing: Option<&Resource>,
    version: &WeightVersionSpec,
) -> Result<(), InvalidResource> {
    if let Some(Resource {
        spec: ResourceSpec::WeightVersion(current),
        ..
    }) = existing
    {
        return check_same_version(current, version);
    }
    match resources.versions().highest(&version.model) {
        Some(highest) if version.number <= highest => Err(InvalidResource::OutOfRange {
            field: "number".to_owned(),
            value: version.number.to_string(),
            allowed: format!("above {highest}, the highest of {}", version.model),
        }),
        _ => Ok(()),
    }
}

fn check_same_version(
    current: &WeightVersionSpec,
    version: &WeightVersionSpec,
) -> Result<(), InvalidResource> {
    let changed_field = if current.model != version.model {
        "model"
    } else if current.number != version.number {
        "number"
    } else if current.location != version.location {
        "location"
    } else {
        return Ok(());
    };
    Err(immutable(ResourceKind::WeightVersion, changed_field))
}

/// Checks that a pool keeps its model. Version numbers of two models cannot be compared, so the
/// staleness of the samples of its jobs would be undefined after a change.
fn check_pool_model(existing: Option<&Resource>, pool: &PoolSpec) -> Result<(), InvalidResource> {
    match existing.map(|resource| &resource.spec) {
        Some(ResourceSpec::Pool(current)) if current.model != pool.model => {
            Err(immutable(ResourceKind::Pool, "model"))
        }
        _ => Ok(()),
    }
}

fn immutable(kind: ResourceKind, field: &str) -> InvalidResource {
    InvalidResource::Immutable {
        kind,
        field: field.to_owned(),
    }
}

/// Checks that each caller has at most one rule, and that there is at most one rule for callers
/// without their own.
fn check_rule_is_unique(
    resources: &ResourceTable,
    key: &ResourceKey,
    rule: &PriorityRuleSpec,
) -> Result<(), InvalidResource> {
    match resources.rule_name(rule.caller.as_ref()) {
        Some(other) if *other != key.name => Err(InvalidResource::Duplicate {
            field: "caller".to_owned(),
            kind: ResourceKind::PriorityRule,
            other: other.clone(),
        }),
        _ => Ok(()),
    }
}

fn user_of_pool<'a>(resources: &'a ResourceTable, pool: &str) -> Option<&'a Resource> {
    let pool = PoolName::new(pool);
    let engine = resources.engine_names_of_pool(&pool).next();
    if let Some(engine) = engine {
        return resources.get(ResourceKind::Engine, engine);
    }
    resources
        .list(ResourceKind::Job)
        .find(|resource| matches!(&resource.spec, ResourceSpec::Job(job) if job.pool == pool))
}

/// Returns a pool that serves the model of the newest version, or `None` when `version` is not the
/// newest one or no pool serves its model. Without the newest version the newest number, against
/// which staleness is measured, would decrease.
fn user_of_version<'a>(
    resources: &'a ResourceTable,
    version: &WeightVersionSpec,
) -> Option<&'a Resource> {
    let newest = resources.versions().newest(&version.model)?;
    if newest.number != version.number {
        return None;
    }
    pool_of_model(resources, &version.model)
}

fn pool_of_model<'a>(resources: &'a ResourceTable, model: &ModelName) -> Option<&'a Resource> {
    resources
        .list(ResourceKind::Pool)
        .find(|resource| matches!(&resource.spec, ResourceSpec::Pool(pool) if pool.model == *model))
}
