//! Kinds of resources as path segments.

use havenstage_types::resource::{ResourceKey, ResourceKind};

use crate::error::ApiError;

/// All kinds.
pub const KINDS: [ResourceKind; 5] = [
    ResourceKind::Job,
    ResourceKind::WeightVersion,
    ResourceKind::Pool,
    ResourceKind::PriorityRule,
    ResourceKind::Engine,
];

/// The kind with this name; upper and lower case are alike.
pub fn parse_kind(text: &str) -> Result<ResourceKind, ApiError> {
    KINDS
        .into_iter()
        .find(|kind| kind.to_string().eq_ignore_ascii_case(text))
        .ok_or_else(|| ApiError::UnknownKind {
            kind: text.to_owned(),
        })
}

/// The key with this kind and name.
pub fn parse_key(kind: &str, name: String) -> Result<ResourceKey, ApiError> {
    let kind = parse_kind(kind)?;
    Ok(ResourceKey { kind, name })
}
