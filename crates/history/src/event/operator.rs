//! What operators see.

use std::fmt;

use havenstage_types::ids::{ChangeId, ModelName, Revision, VersionNumber};
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;

/// Name of a resource, kind included, such as `pool/tono-llm`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfigKey(pub String);

impl fmt::Display for ConfigKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// An operator sent a configuration change. A change sent again is recorded again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeProposed {
    /// The change.
    pub change: ChangeId,
    /// Resource to change.
    pub key: ConfigKey,
    /// Revision of the resource it was made against; `None` creates the resource.
    pub base: Option<Revision>,
    /// Fingerprint of the new value; `None` deletes the resource.
    pub value: Option<Fingerprint>,
}

/// An operator learned what became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswered {
    /// The change.
    pub change: ChangeId,
    /// What became of it.
    pub outcome: ChangeOutcome,
}

/// What became of a change, as told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// Accepted; the resource has this revision.
    Accepted(Revision),
    /// Refused because the resource had another revision, or was invalid.
    Conflict,
    /// Nobody can tell yet; the change may still take effect.
    Unknown,
}

/// An operator was told that a change is in force at every live node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeInForce {
    /// The change.
    pub change: ChangeId,
    /// Its revision.
    pub revision: Revision,
}

/// The publication of a weight version was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionPublished {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionNumber,
}
