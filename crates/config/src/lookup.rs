//! Typed lookups on the configuration.

use havenstage_types::ids::{CallerName, EngineName, JobName, ModelName, PoolName};
use havenstage_types::resource::{
    EngineSpec, JobSpec, PoolSpec, PriorityRuleSpec, Resource, ResourceKey, ResourceKind,
    ResourceSpec,
};

use crate::state::ConfigState;
use crate::versions::PublishedVersion;

impl ConfigState {
    /// The resource with this key, or `None` when there is none.
    pub fn get(&self, key: &ResourceKey) -> Option<&Resource> {
        self.resources.get(key.kind, &key.name)
    }

    /// Resources of one kind, sorted by name.
    pub fn list(&self, kind: ResourceKind) -> impl Iterator<Item = &Resource> {
        self.resources.list(kind)
    }

    /// The job of this name, or `None` when there is none.
    pub fn job(&self, name: &JobName) -> Option<&JobSpec> {
        as_job(self.resources.get(ResourceKind::Job, name.as_str())?)
    }

    /// All jobs, sorted by name.
    pub fn jobs(&self) -> impl Iterator<Item = (JobName, &JobSpec)> {
        self.list(ResourceKind::Job)
            .filter_map(|resource| Some((JobName::new(&resource.key.name), as_job(resource)?)))
    }

    /// The pool of this name, or `None` when there is none.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolSpec> {
        as_pool(self.resources.get(ResourceKind::Pool, name.as_str())?)
    }

    /// All pools, sorted by name.
    pub fn pools(&self) -> impl Iterator<Item = (PoolName, &PoolSpec)> {
        self.list(ResourceKind::Pool)
            .filter_map(|resource| Some((PoolName::new(&resource.key.name), as_pool(resource)?)))
    }

    /// The engine of this name, or `None` when there is none.
    pub fn engine(&self, name: &EngineName) -> Option<&EngineSpec> {
        self.engine_named(name.as_str())
    }

    /// All engines, sorted by name.
    pub fn engines(&self) -> impl Iterator<Item = (EngineName, &EngineSpec)> {
        self.list(ResourceKind::Engine).filter_map(|resource| {
            Some((EngineName::new(&resource.key.name), as_engine(resource)?))
        })
    }

    /// Engines of one pool, sorted by name.
    pub fn engines_of_pool<'a>(
        &'a self,
        pool: &PoolName,
    ) -> impl Iterator<Item = (EngineName, &'a EngineSpec)> + use<'a> {
        self.resources
            .engine_names_of_pool(pool)
            .filter_map(|name| Some((EngineName::new(name), self.engine_named(name)?)))
    }

    /// The published version of `model` with the highest number, or `None` when none is published.
    /// The lookup takes logarithmic time.
    pub fn newest_version(&self, model: &ModelName) -> Option<PublishedVersion> {
        self.resources.versions().newest(model).cloned()
    }

    /// The priority rule that applies to a caller: its own rule, or else the rule for all callers
    /// without one.
    pub fn rule_for(&self, caller: &CallerName) -> Option<&PriorityRuleSpec> {
        let name = self
            .resources
            .rule_name(Some(caller))
            .or_else(|| self.resources.rule_name(None))?;
        as_rule(self.resources.get(ResourceKind::PriorityRule, name)?)
    }

    fn engine_named(&self, name: &str) -> Option<&EngineSpec> {
        as_engine(self.resources.get(ResourceKind::Engine, name)?)
    }
}

fn as_job(resource: &Resource) -> Option<&JobSpec> {
    match &resource.spec {
        ResourceSpec::Job(job) => Some(job),
        _ => None,
    }
}

fn as_pool(resource: &Resource) -> Option<&PoolSpec> {
    match &resource.spec {
        ResourceSpec::Pool(pool) => Some(pool),
        _ => None,
    }
}

fn as_engine(resource: &Resource) -> Option<&EngineSpec> {
    match &resource.spec {
        ResourceSpec::Engine(engine) => Some(engine),
        _ => None,
    }
}

fn as_rule(resource: &Resource) -> Option<&PriorityRuleSpec> {
    match &resource.spec {
        ResourceSpec::PriorityRule(rule) => Some(rule),
        _ => None,
    }
}
