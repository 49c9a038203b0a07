//! Resources as operators write them.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::configuration::ChangeRefusal;
use super::resources::ResourceKind;

/// A resource as an operator writes it; its specification has not been checked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServedManifest {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name of the resource.
    pub name: String,
    /// Revision that the change is made against; left out for new resources.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Fields of the specification, as in the settings file and without the name.
    pub spec: Value,
}

/// Whether an engine is to get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// It gets new work.
    Active,
    /// It finishes what it has, and gets nothing new.
    Draining,
}

/// What operators say of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// The state it is to be in.
    pub desired_state: EngineState,
}

/// Reads a value with errors that name the key.
pub(super) fn read<T: DeserializeOwned>(value: Value) -> Result<T, ChangeRefusal> {
    serde_path_to_error::deserialize(value).map_err(|error| ChangeRefusal::Malformed {
        reason: format!("{}: {}", error.path(), error.inner()),
    })
}

/// Reads a specification whose type has the resource's name among its fields.
pub(super) fn read_named<T: DeserializeOwned>(
    name: &str,
    mut spec: Value,
) -> Result<T, ChangeRefusal> {
    if let Value::Object(fields) = &mut spec {
        let former = fields.insert("name".to_owned(), Value::from(name));
        if former.is_some() {
            return Err(ChangeRefusal::Malformed {
                reason: "name: it stands beside the specification".to_owned(),
            });
        }
    }
    read(spec)
}
