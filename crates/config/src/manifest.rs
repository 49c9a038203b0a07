//! Resources as operators write them, in JSON or TOML.
//!
//! A manifest names a kind, a name and a specification. A file holds one manifest, or several: a
//! JSON array of them, or TOML tables named `[[resource]]`.

use std::str::FromStr;

use havenstage_types::ids::Revision;
use havenstage_types::resource::{
    InvalidResource, Resource, ResourceKey, ResourceKind, ResourceSpec,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// A resource as an operator writes it; its specification has not been checked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name of the resource.
    pub name: String,
    /// Revision the manifest was read at; left out in manifests for new resources.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Fields of the specification, by the kind's own names.
    pub spec: Value,
}

/// How a manifest file is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ManifestFormat {
    /// A JSON object, or an array of them.
    Json,
    /// A TOML document with the fields of one manifest or with `[[resource]]` tables.
    Toml,
}

/// A file name extension that stands for no manifest format.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("manifests end in .json or .toml, not in .{extension}")]
pub struct UnknownFormat {
    /// The extension given, without the dot.
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
        /// What the parser said, with the line where it knows it.
        reason: String,
    },
    /// A field around the specification is missing, unknown or of the wrong type.
    #[error("manifest {position}, {field}: {reason}")]
    Envelope {
        /// Position in the file, from 1.
        position: usize,
        /// Path of the field; `.` is the manifest as a whole.
        field: String,
        /// What the parser said.
        reason: String,
    },
    /// A field of the specification is missing, unknown or of the wrong type.
    #[error("{kind} {name}, spec field {field}: {reason}")]
    Spec {
        /// Kind that the manifest names.
        kind: ResourceKind,
        /// Name that the manifest gives.
        name: String,
        /// Path of the field; `.` is the specification as a whole.
        field: String,
        /// What the parser said.
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
/// The first fault found; no manifest is returned then.
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
/// The first fault found; no manifest is returned then.
pub fn from_document(document: Value) -> Result<Vec<Manifest>, ManifestError> {
    manifests_of(document)?
        .into_iter()
        .enumerate()
        .map(|(index, manifest)| read_envelope(index + 1, manifest))
        .collect()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ManifestList {
    resource: Vec<Value>,
}

fn manifests_of(document: Value) -> Result<Vec<Value>, ManifestError> {
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

fn read_envelope(position: usize, manifest: Value) -> Result<Manifest, ManifestError> {
    read_with_path(manifest).map_err(|fault| ManifestError::Envelope {
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

struct FieldFault {
    field: String,
    reason: String,
}

fn read_with_path<T: DeserializeOwned>(value: Value) -> Result<T, FieldFault> {
    serde_path_to_error::deserialize(value).map_err(|error| FieldFault {
        field: error.path().to_string(),
        reason: error.inner().to_string(),
    })
}

impl Manifest {
    /// Reads the specification as that of the manifest's kind. Ranges and references are checked by
    /// [`crate::ConfigState::validate_spec`].
    ///
    /// # Errors
    ///
    /// [`ManifestError::Spec`] names the field that is missing, unknown or of the wrong type.
    pub fn into_resource(self) -> Result<(ResourceKey, ResourceSpec), ManifestError> {
        let Self {
            kind, name, spec, ..
        } = self;
        let read = match kind {
            ResourceKind::Job => read_with_path(spec).map(ResourceSpec::Job),
            ResourceKind::WeightVersion => read_with_path(spec).map(ResourceSpec::WeightVersion),
            ResourceKind::Pool => read_with_path(spec).map(ResourceSpec::Pool),
            ResourceKind::PriorityRule => read_with_path(spec).map(ResourceSpec::PriorityRule),
            ResourceKind::Engine => read_with_path(spec).map(ResourceSpec::Engine),
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
