//! Records of the configuration stream and what an operator learns about a change.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{ChangeId, LogOffset, ModelName, NodeId, Revision, VersionNumber};
use crate::member::MemberIdentity;
use crate::resource::{InvalidResource, Resource, ResourceKey, ResourceSpec};

/// One record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigRecord {
    /// A change an operator asked for; applied only if its precondition holds at its offset.
    Change(ConfigChange),
    /// The members of the deployment, named by a node whose view has been stable.
    Members(MemberList),
    /// Everything the records before it add up to; a start may read from here.
    Snapshot(ConfigSnapshot),
}

/// A change to one resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Chosen by the operator's client; the same id is applied once.
    pub id: ChangeId,
    /// Resource to change.
    pub key: ResourceKey,
    /// What must hold at the change's offset.
    pub precondition: Precondition,
    /// New specification, or `None` to delete.
    pub spec: Option<ResourceSpec>,
}

/// What must hold for a change to be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Precondition {
    /// The resource does not exist.
    Absent,
    /// The resource is at this revision.
    AtRevision(Revision),
}

/// The members a node last saw alive, by which majorities are counted.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MemberList {
    /// Increases by one with each list; a list that does not follow the last one is ignored.
    pub epoch: u64,
    /// Members in order of their ids.
    pub members: Vec<MemberIdentity>,
}

/// State of the configuration after all records below `through`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Offset of the first record that is not contained.
    pub through: LogOffset,
    /// All resources.
    pub resources: Vec<Resource>,
    /// Last member list.
    pub members: MemberList,
    /// Outcomes of the most recent change ids, oldest first.
    pub recent_changes: Vec<RecentChange>,
    /// Highest version number each model ever had, versions since deleted included.
    pub highest_versions: BTreeMap<ModelName, VersionNumber>,
}

/// A change id with what became of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecentChange {
    /// Id of the change.
    pub id: ChangeId,
    /// What the fold decided.
    pub outcome: ChangeOutcome,
}

/// What the fold decided about a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// Applied; the resource is now at this revision.
    Accepted(Revision),
    /// The precondition did not hold; the resource's revision then, if it existed.
    Conflict {
        /// Revision found at the change's offset, `None` when the resource did not exist.
        found: Option<Revision>,
    },
    /// The specification does not fit the other resources at its offset.
    Invalid(InvalidResource),
}

/// How far an accepted change has spread.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Whether every node either applies the change or refuses new work.
    pub everywhere: bool,
    /// Live members that have not reported the change yet.
    pub lagging: Vec<NodeId>,
}

/// Why an operator's change could not be decided.
#[derive(Debug, Clone, PartialEq, Error, Serialize, Deserialize)]
pub enum ChangeError {
    /// Refused before it was written to the log.
    #[error(transparent)]
    Invalid(#[from] InvalidResource),
    /// The log is away; the change may or may not take effect later. Repeat it with the same id.
    #[error(
        "the log service is away: the outcome of change {id} is not known yet, repeat it with the same id"
    )]
    OutcomeUnknown {
        /// Id to repeat with.
        id: ChangeId,
    },
    /// The node is stopping and takes no changes.
    #[error("this node is stopping")]
    Stopping,
}
