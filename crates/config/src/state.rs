//! The fold of the configuration stream: applies records to the state and reports events.

use havenstage_types::config::{
    ChangeOutcome, ConfigChange, ConfigRecord, ConfigSnapshot, MemberList, Precondition,
};
use havenstage_types::ids::{ChangeId, LogOffset, Revision};
use havenstage_types::resource::{InvalidResource, Resource, ResourceKey, ResourceSpec};

use crate::error::FoldError;
use crate::recent::RecentChanges;
use crate::resources::ResourceTable;
use crate::validate;

/// What a record changed when it was applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigEvent {
    /// The resource was created or replaced.
    Put(ResourceKey),
    /// The resource was deleted.
    Deleted(ResourceKey),
    /// The change was rejected; [`ConfigState::outcome_of`] returns the reason.
    Rejected(ChangeId),
    /// The member list was replaced.
    Members,
}

/// The configuration after all records below [`ConfigState::next_offset`].
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigState {
    next_offset: LogOffset,
    pub(crate) resources: ResourceTable,
    members: MemberList,
    recent_changes: RecentChanges,
}

impl ConfigState {
    /// Applies the record at `offset`. A record below [`ConfigState::next_offset`] is ignored,
    /// since it was applied before.
    ///
    /// # Errors
    ///
    /// [`FoldError::Gap`] when records before `offset` are missing; nothing is changed in that
    /// case.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        record: &ConfigRecord,
    ) -> Result<Vec<ConfigEvent>, FoldError> {
        if !self.advance(offset)? {
            return Ok(Vec::new());
        }
        let event = match record {
            ConfigRecord::Change(change) => self.apply_change(offset, change),
            ConfigRecord::Members(list) => self.apply_members(list),
            // A snapshot holds the same state as the records before it. Only readers that start
            // from it use it.
            ConfigRecord::Snapshot(_) => None,
        };
        Ok(event.into_iter().collect())
    }

    /// Moves past the record at `offset`, which could not be decoded. All readers must skip the
    /// same records.
    ///
    /// # Errors
    ///
    /// [`FoldError::Gap`] when records before `offset` are missing.
    pub fn skip(&mut self, offset: LogOffset) -> Result<(), FoldError> {
        self.advance(offset).map(|_| ())
    }

    /// Offset of the first record that has not been applied.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// The current member list. Before the first one it is empty and has epoch 0.
    pub fn members(&self) -> &MemberList {
        &self.members
    }

    /// The outcome of a recent change, or `None` when it has not been applied yet or is older than
    /// the last [`crate::RECENT_CHANGE_LIMIT`] changes.
    pub fn outcome_of(&self, change: &ChangeId) -> Option<&ChangeOutcome> {
        self.recent_changes.get(change)
    }

    /// Checks whether a specification is valid and consistent with the current resources; with
    /// `None` it checks a deletion. Applying a change makes the same check at the offset of the
    /// change.
    ///
    /// # Errors
    ///
    /// The first fault found.
    pub fn validate_spec(
        &self,
        key: &ResourceKey,
        spec: Option<&ResourceSpec>,
    ) -> Result<(), InvalidResource> {
        match spec {
            Some(spec) => validate::check_put(&self.resources, key, spec),
            None => validate::check_delete(&self.resources, key),
        }
    }

    /// Copies the state that results from the records below [`ConfigState::next_offset`].
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            through: self.next_offset,
            resources: self.resources.all().cloned().collect(),
            members: self.members.clone(),
            recent_changes: self.recent_changes.to_list(),
            highest_versions: self.resources.versions().all_highest().clone(),
        }
    }

    /// Restores the state from a snapshot. The next record to apply is the one at the offset
    /// `through` of the snapshot, which may be before the record that holds it.
    pub fn from_snapshot(snapshot: ConfigSnapshot) -> Self {
        let mut resources = ResourceTable::with_highest_versions(snapshot.highest_versions);
        for resource in snapshot.resources {
            resources.put(resource);
        }
        Self {
            next_offset: snapshot.through,
            resources,
            members: snapshot.members,
            recent_changes: snapshot.recent_changes.into_iter().collect(),
        }
    }

    /// Moves past `offset`. Returns `false` when it was passed before.
    fn advance(&mut self, offset: LogOffset) -> Result<bool, FoldError> {
        if offset < self.next_offset {
            return Ok(false);
        }
        if offset > self.next_offset {
            return Err(FoldError::Gap {
                expected: self.next_offset,
                found: offset,
            });
        }
        self.next_offset = LogOffset(offset.0 + 1);
        Ok(true)
    }

    fn apply_change(&mut self, offset: LogOffset, change: &ConfigChange) -> Option<ConfigEvent> {
        if self.recent_changes.get(&change.id).is_some() {
            return None;
        }
        let revision = Revision(offset.0);
        let outcome = self.decide(revision, change);
        let event = match outcome {
            ChangeOutcome::Accepted(_) => self.accept(revision, change),
            ChangeOutcome::Conflict { .. } | ChangeOutcome::Invalid(_) => {
                ConfigEvent::Rejected(change.id.clone())
            }
        };
        self.recent_changes.remember(change.id.clone(), outcome);
        Some(event)
    }

    fn decide(&self, revision: Revision, change: &ConfigChange) -> ChangeOutcome {
        let found = self.get(&change.key).map(|resource| resource.revision);
        let is_precondition_met = match change.precondition {
            Precondition::Absent => found.is_none(),
            Precondition::AtRevision(expected) => found == Some(expected),
        };
        let is_deletion_of_absent_resource = change.spec.is_none() && found.is_none();
        if !is_precondition_met || is_deletion_of_absent_resource {
            return ChangeOutcome::Conflict { found };
        }
        match self.validate_spec(&change.key, change.spec.as_ref()) {
            Ok(()) => ChangeOutcome::Accepted(revision),
            Err(fault) => ChangeOutcome::Invalid(fault),
        }
    }

    fn accept(&mut self, revision: Revision, change: &ConfigChange) -> ConfigEvent {
        let key = change.key.clone();
        match &change.spec {
            Some(spec) => {
                self.resources.put(Resource {
                    key: key.clone(),
                    spec: spec.clone(),
                    revision,
                });
                ConfigEvent::Put(key)
            }
            None => {
                self.resources.remove(&key);
                ConfigEvent::Deleted(key)
            }
        }
    }

    fn apply_members(&mut self, list: &MemberList) -> Option<ConfigEvent> {
        if list.epoch != self.members.epoch + 1 {
            return None;
        }
        self.members = list.clone();
        Some(ConfigEvent::Members)
    }
}
