//! Checks whether a specification is within its limits and consistent with the other resources.

pub mod limits;

mod fields;
mod references;

use havenstage_types::resource::{InvalidResource, ResourceKey, ResourceSpec};

use crate::resources::ResourceTable;

/// Checks a new or changed resource on its own and against the current resources.
pub(crate) fn check_put(
    resources: &ResourceTable,
    key: &ResourceKey,
    spec: &ResourceSpec,
) -> Result<(), InvalidResource> {
    if key.kind != spec.kind() {
        return Err(InvalidResource::Malformed {
            kind: key.kind.to_string(),
            reason: format!("the specification is that of kind {}", spec.kind()),
        });
    }
    fields::check_name("name", &key.name)?;
    fields::check_fields(spec)?;
    references::check_put(resources, key, spec)
}

/// Checks that no other resource needs the one to be deleted.
pub(crate) fn check_delete(
    resources: &ResourceTable,
    key: &ResourceKey,
) -> Result<(), InvalidResource> {
    references::check_delete(resources, key)
}
