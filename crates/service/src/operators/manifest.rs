//! JSON documents in which operators write resources.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::configuration::ChangeRefusal;
use super::resources::ResourceKind;

/// A resource as an operator writes it. Its specification is not validated yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServedManifest {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name of the resource.
    pub name: String,
    /// Revision on which the change is based; `None` for a new resource.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// The specification: the fields of the resource in the settings file, without `name`.
    pub spec: Value,
}

/// Whether an engine should get new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// The engine gets new requests.
    Active,
    /// The engine finishes its requests and gets no new ones.
    Draining,
}

/// Specification of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// State that the operator wants.
    pub desired_state: EngineState,
}

/// Deserializes a value. An error names the key and what is wrong with it.
pub(super) fn read<T: DeserializeOwned>(value: Value) -> Result<T, ChangeRefusal> {
    serde_path_to_error::deserialize(value).map_err(|error| ChangeRefusal::Malformed {
        reason: format!("{}: {}", error.path(), error.inner()),
    })
}

/// Deserializes a specification whose type has the resource's name as a field. The name comes from the
/// manifest, so a specification that also holds it is rejected.
pub(super) fn read_named<T: DeserializeOwned>(
    name: &str,
    mut spec: Value,
) -> Result<T, ChangeRefusal> {
    if let Value::Object(fields) = &mut spec {
        let previous = fields.insert("name".to_owned(), Value::from(name));
        if previous.is_some() {
            return Err(ChangeRefusal::Malformed {
                reason: "name: it stands beside the specification".to_owned(),
            });
        }
    }
    read(spec)
}
