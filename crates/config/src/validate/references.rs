//! Checks of a resource against the other resources.

use havenstage_types::ids::{ModelName, PoolName};
use havenstage_types::resource::{
    InvalidResource, PoolSpec, PriorityRuleSpec, Resource, ResourceKey, ResourceKind, ResourceSpec,
    WeightVersionSpec,
};

use crate::resources::ResourceTable;

/// Checks that what a specification refers to exists and that what must be unique is.
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
        ResourceSpec::PriorityRule(rule) => check_only_rule(resources, key, rule),
    }
}

/// Checks that no resource needs the one to be deleted.
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

/// A version never changes, as samples name it by its number alone; a new one has a higher number
/// than every one before it, deleted ones included.
fn check_version(
    resources: &ResourceTable,
    existing: Option<&Resource>,
    version: &WeightVersionSpec,
) -> Result<(), InvalidResource> {
    if let Some(Resource {
        spec: ResourceSpec::WeightVersion(before),
        ..
    }) = existing
    {
        return check_same_version(before, version);
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
    before: &WeightVersionSpec,
    version: &WeightVersionSpec,
) -> Result<(), InvalidResource> {
    let changed_field = if before.model != version.model {
        "model"
    } else if before.number != version.number {
        "number"
    } else if before.location != version.location {
        "location"
    } else {
        return Ok(());
    };
    Err(immutable(ResourceKind::WeightVersion, changed_field))
}

/// A pool keeps its model: version numbers of two models cannot be compared, and the staleness of
/// the samples of its jobs would lose its meaning.
fn check_pool_model(existing: Option<&Resource>, pool: &PoolSpec) -> Result<(), InvalidResource> {
    match existing.map(|resource| &resource.spec) {
        Some(ResourceSpec::Pool(before)) if before.model != pool.model => {
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

/// At most one rule is for a given caller, and at most one for all others.
fn check_only_rule(
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

/// The newest version is needed while a pool serves its model: without it the newest number, by
/// which staleness is counted, would go down.
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
