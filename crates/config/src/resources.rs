//! The table of all resources, and indexes over it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use havenstage_types::ids::{CallerName, ModelName, PoolName, VersionNumber};
use havenstage_types::resource::{
    PriorityRuleSpec, Resource, ResourceKey, ResourceKind, ResourceSpec,
};

use crate::versions::VersionIndex;

/// All resources, with the indexes for lookups on hot paths. Resources are reference-counted, so
/// that a clone of the state does not copy the prompts of every job.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct ResourceTable {
    by_kind: BTreeMap<ResourceKind, BTreeMap<String, Arc<Resource>>>,
    engines_by_pool: BTreeMap<PoolName, BTreeSet<String>>,
    /// Names of the priority rules of single callers.
    rules_by_caller: BTreeMap<CallerName, String>,
    /// Name of the priority rule for all callers without their own.
    default_rule: Option<String>,
    versions: VersionIndex,
}

impl ResourceTable {
    /// Creates an empty table with the highest version numbers of a snapshot.
    pub(crate) fn with_highest_versions(highest: BTreeMap<ModelName, VersionNumber>) -> Self {
        Self {
            versions: VersionIndex::with_highest(highest),
            ..Self::default()
        }
    }

    /// The resource of this kind and name.
    pub(crate) fn get(&self, kind: ResourceKind, name: &str) -> Option<&Resource> {
        self.by_kind.get(&kind)?.get(name).map(Arc::as_ref)
    }

    /// Resources of one kind, sorted by name.
    pub(crate) fn list(&self, kind: ResourceKind) -> impl Iterator<Item = &Resource> {
        self.by_kind
            .get(&kind)
            .into_iter()
            .flat_map(BTreeMap::values)
            .map(Arc::as_ref)
    }

    /// All resources, sorted by kind and name.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Resource> {
        self.by_kind
            .values()
            .flat_map(BTreeMap::values)
            .map(Arc::as_ref)
    }

    /// Names of the engines of a pool, in ascending order.
    pub(crate) fn engine_names_of_pool<'a>(
        &'a self,
        pool: &PoolName,
    ) -> impl Iterator<Item = &'a String> + use<'a> {
        self.engines_by_pool.get(pool).into_iter().flatten()
    }

    /// Name of the rule for exactly this caller or, when `caller` is `None`, of the rule for all
    /// callers without their own.
    pub(crate) fn rule_name(&self, caller: Option<&CallerName>) -> Option<&String> {
        match caller {
            Some(caller) => self.rules_by_caller.get(caller),
            None => self.default_rule.as_ref(),
        }
    }

    pub(crate) fn versions(&self) -> &VersionIndex {
        &self.versions
    }

    /// Inserts a resource, replacing the one with the same key if there is one.
    pub(crate) fn put(&mut self, resource: Resource) {
        self.remove(&resource.key);
        self.index(&resource);
        let ResourceKey { kind, name } = resource.key.clone();
        self.by_kind
            .entry(kind)
            .or_default()
            .insert(name, Arc::new(resource));
    }

    /// Removes the resource with this key; does nothing when there is none.
    pub(crate) fn remove(&mut self, key: &ResourceKey) {
        let Some(of_kind) = self.by_kind.get_mut(&key.kind) else {
            return;
        };
        let Some(resource) = of_kind.remove(&key.name) else {
            return;
        };
        if of_kind.is_empty() {
            self.by_kind.remove(&key.kind);
        }
        self.unindex(&resource);
    }

    fn index(&mut self, resource: &Resource) {
        let name = &resource.key.name;
        match &resource.spec {
            ResourceSpec::Engine(engine) => {
                self.engines_by_pool
                    .entry(engine.pool.clone())
                    .or_default()
                    .insert(name.clone());
            }
            ResourceSpec::PriorityRule(rule) => self.index_rule(name, rule),
            ResourceSpec::WeightVersion(version) => {
                self.versions.insert(version, resource.revision);
            }
            ResourceSpec::Job(_) | ResourceSpec::Pool(_) => {}
        }
    }

    fn index_rule(&mut self, name: &str, rule: &PriorityRuleSpec) {
        match &rule.caller {
            Some(caller) => {
                self.rules_by_caller.insert(caller.clone(), name.to_owned());
            }
            None => self.default_rule = Some(name.to_owned()),
        }
    }

    fn unindex(&mut self, resource: &Resource) {
        match &resource.spec {
            ResourceSpec::Engine(engine) => {
                self.unindex_engine(&engine.pool, &resource.key.name);
            }
            ResourceSpec::PriorityRule(rule) => match &rule.caller {
                Some(caller) => {
                    self.rules_by_caller.remove(caller);
                }
                None => self.default_rule = None,
            },
            ResourceSpec::WeightVersion(version) => self.versions.remove(version),
            ResourceSpec::Job(_) | ResourceSpec::Pool(_) => {}
        }
    }

    fn unindex_engine(&mut self, pool: &PoolName, name: &str) {
        let Some(engines) = self.engines_by_pool.get_mut(pool) else {
            return;
        };
        engines.remove(name);
        if engines.is_empty() {
            self.engines_by_pool.remove(pool);
        }
    }
}
