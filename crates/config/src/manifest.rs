//! Manifests: the form in which operators write resources, in JSON or TOML.
//!
//! A manifest consists of a kind, a name and a specification. A file holds one manifest, or
//! several as a JSON array or as TOML tables named `[[resource]]`.

use std::str::FromStr;

use havenstage_types::ids::Revision;
use havenstage_types::resource::{
    InvalidResource, Resource, ResourceKey, ResourceKind, ResourceSpec,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// A resource in the form in which an operator writes it. Its specification is not checked yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Kind of the resource; decides which fields the specification has.
    pub kind: ResourceKind,
    /// Name of the resource, unique among the resources of its kind.
    pub name: String,
    /// Revision of the resource from which the manifest was written; `None` in manifests for new
    /// resources.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Fields of the specification, as the kind names them.
    pub spec: Value,
}

/// Syntax of a manifest file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ManifestFormat {
    /// A JSON object, or an array of them.
    Json,
    /// A TOML document with the fields of one manifest or with `[[resource]]` tables.
    Toml,
}

/// A file name extension that belongs to no manifest format.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("manifests end in .json or .toml, not in .{extension}")]
pub struct UnknownFormat {
    /// The unknown extension, without the dot.
    pub extension: String,
}

impl FromStr for ManifestFormat {
    type Err = UnknownFormat;

    /// Reads a file name extension.
    fn from_str(extension: &str) -> Result<Self, UnknownFormat> {
        match extension {
            "json" => Ok(Self::Json),
            "toml" => Ok(Self::Toml),
            _ => Err(UnknownFormat {
                extension: extension.to_owned(),
            }),
        }
    }
}

/// Why a manifest could not be read or written.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ManifestError {
    /// The text is not JSON or TOML, or holds no manifests.
    #[error("not a manifest file: {reason}")]
    Syntax {
        /// Message of the parser, with the line if the parser reports one.
        reason: String,
    },
    /// A field around the specification is missing, unknown or of the wrong type.
    #[error("manifest {position}, {field}: {reason}")]
    Envelope {
        /// Position in the file, from 1.
        position: usize,
        /// Path of the field; `.` is the manifest as a whole.
        field: String,
        /// Message of the parser.
        reason: String,
    },
    /// A field of the specification is missing, unknown or of the wrong type.
    #[error("{kind} {name}, spec field {field}: {reason}")]
    Spec {
        /// Kind that the manifest states.
        kind: ResourceKind,
        /// Name of the resource that the manifest states.
        name: String,
        /// Path of the field; `.` is the specification as a whole.
        field: String,
        /// Message of the parser.
        reason: String,
    },
}

impl From<ManifestError> for InvalidResource {
    fn from(error: ManifestError) -> Self {
        let kind = match &error {
            ManifestError::Spec { kind, .. } => kind.to_string(),
            ManifestError::Syntax { .. } | ManifestError::Envelope { .. } => "manifest".to_owned(),
        };
        Self::Malformed {
            kind,
            reason: error.to_string(),
        }
    }
}

/// Reads all manifests of a text.
///
/// # Errors
///
/// The first fault found. No manifest is returned in that case.
pub fn parse(text: &str, format: ManifestFormat) -> Result<Vec<Manifest>, ManifestError> {
    let document = match format {
        ManifestFormat::Json => serde_json::from_str(text).map_err(syntax)?,
        ManifestFormat::Toml => toml::from_str(text).map_err(syntax)?,
    };
    from_document(document)
}

/// Reads all manifests of a parsed document: an object, an array of them, or an object whose only
/// field `resource` is such an array.
///
/// # Errors
///
/// The first fault found. No manifest is returned in that case.
pub fn from_document(document: Value) -> Result<Vec<Manifest>, ManifestError> {
    split_document(document)?
        .into_iter()
        .enumerate()
        .map(|(index, manifest)| parse_manifest(index + 1, manifest))
        .collect()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ManifestList {
    resource: Vec<Value>,
}

fn split_document(document: Value) -> Result<Vec<Value>, ManifestError> {
    match document {
        Value::Array(manifests) => Ok(manifests),
        Value::Object(fields) if fields.contains_key("resource") => {
            let list: ManifestList =
                serde_json::from_value(Value::Object(fields)).map_err(syntax)?;
            Ok(list.resource)
        }
        manifest => Ok(vec![manifest]),
    }
}

fn parse_manifest(position: usize, manifest: Value) -> Result<Manifest, ManifestError> {
    parse_with_path(manifest).map_err(|fault| ManifestError::Envelope {
        position,
        field: fault.field,
        reason: fault.reason,
    })
}

fn syntax(error: impl std::error::Error) -> ManifestError {
    ManifestError::Syntax {
        reason: error.to_string(),
    }
}

struct FieldError {
    field: String,
    reason: String,
}

fn parse_with_path<T: DeserializeOwned>(value: Value) -> Result<T, FieldError> {
    serde_path_to_error::deserialize(value).map_err(|error| FieldError {
        field: error.path().to_string(),
        reason: error.inner().to_string(),
    })
}

impl Manifest {
    /// Parses the specification according to the kind of the manifest. It does not check ranges and
    /// references; [`crate::ConfigState::validate_spec`] does.
    ///
    /// # Errors
    ///
    /// [`ManifestError::Spec`] names the field that is missing, unknown or of the wrong type.
    pub fn into_resource(self) -> Result<(ResourceKey, ResourceSpec), ManifestError> {
        let Self {
            kind, name, spec, ..
        } = self;
        let read = match kind {
            ResourceKind::Job => parse_with_path(spec).map(ResourceSpec::Job),
            ResourceKind::WeightVersion => parse_with_path(spec).map(ResourceSpec::WeightVersion),
            ResourceKind::Pool => parse_with_path(spec).map(ResourceSpec::Pool),
            ResourceKind::PriorityRule => parse_with_path(spec).map(ResourceSpec::PriorityRule),
            ResourceKind::Engine => parse_with_path(spec).map(ResourceSpec::Engine),
        };
        match read {
            Ok(spec) => Ok((ResourceKey { kind, name }, spec)),
            Err(fault) => Err(ManifestError::Spec {
                kind,
                name,
                field: fault.field,
                reason: fault.reason,
            }),
        }
    }

    /// Writes a resource as a manifest. Its JSON form has `kind`, `name`, `revision` and `spec`.
    ///
    /// # Errors
    ///
    /// [`ManifestError::Spec`] when a field cannot be written as JSON.
    pub fn from_resource(resource: &Resource) -> Result<Self, ManifestError> {
        let written = match &resource.spec {
            ResourceSpec::Job(spec) => serde_json::to_value(spec),
            ResourceSpec::WeightVersion(spec) => serde_json::to_value(spec),
            ResourceSpec::Pool(spec) => serde_json::to_value(spec),
            ResourceSpec::PriorityRule(spec) => serde_json::to_value(spec),
            ResourceSpec::Engine(spec) => serde_json::to_value(spec),
        };
        let ResourceKey { kind, name } = resource.key.clone();
        match written {
            Ok(spec) => Ok(Self {
                kind,
                name,
                revision: Some(resource.revision),
                spec,
            }),
            Err(error) => Err(ManifestError::Spec {
                kind,
                name,
                field: ".".to_owned(),
                reason: error.to_string(),
            }),
        }
    }
}
