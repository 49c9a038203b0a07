//! Ranks the engines of a pool for one piece of work.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use havenstage_membership::ownership;
use havenstage_placement::policies::{
    EngineView, PlacementPolicy, PlacementRequest, PolicySettings, build, prefix_hash,
};
use havenstage_types::decision::CandidateScore;
use havenstage_types::ids::{EngineName, NodeId, PoolName};
use havenstage_types::refusal::RefusalReason;
use havenstage_types::resource::{EngineDesiredState, EngineSpec, PolicyName, PoolSpec};
use xxhash_rust::xxh3::xxh3_64;

use super::work::Work;
use super::{ExecutionFailure, not_run};
use crate::context::NodeContext;
use crate::locks::lock;

/// Chooses candidates with the policy each pool names.
pub(super) struct Placer {
    context: Arc<NodeContext>,
    policies: Mutex<BTreeMap<PoolName, Box<dyn PlacementPolicy>>>,
    /// Load of engines, as replies of their homes have told it.
    load_hints: Mutex<BTreeMap<EngineName, u32>>,
}

impl Placer {
    pub(super) fn new(context: Arc<NodeContext>) -> Self {
        Self {
            context,
            policies: Mutex::new(BTreeMap::new()),
            load_hints: Mutex::new(BTreeMap::new()),
        }
    }

    /// Engines to try, the best first.
    pub(super) fn candidates(
        &self,
        work: &Work,
    ) -> Result<(PolicyName, Vec<CandidateScore>), ExecutionFailure> {
        let state = self.context.state();
        let pool = state
            .pool(&work.pool)
            .ok_or_else(|| not_run(RefusalReason::UnknownPool(work.pool.clone())))?;
        let engines = self.engine_views(&state, work, pool);
        let request = PlacementRequest {
            subject_hash: xxh3_64(work.subject.as_bytes()),
            prefix_hash: prefix_hash(&work.prompt),
            zone: self.context.members.identity().zone.clone(),
            class: work.class,
            oldest_version: work.oldest_version,
            straggler: work.straggler || self.goes_by_load(work),
        };
        let candidates = self.rank(&work.pool, pool.policy, &request, &engines);
        if candidates.is_empty() {
            return Err(not_run(RefusalReason::NoEngine(work.pool.clone())));
        }
        Ok((pool.policy, candidates))
    }

    fn goes_by_load(&self, work: &Work) -> bool {
        let by_load = self.context.settings.placement.training_by_load;
        by_load && !work.class.is_live()
    }

    fn rank(
        &self,
        pool: &PoolName,
        name: PolicyName,
        request: &PlacementRequest,
        engines: &[EngineView],
    ) -> Vec<CandidateScore> {
        let mut policies = lock(&self.policies);
        if policies
            .get(pool)
            .is_none_or(|policy| policy.name() != name)
        {
            let settings = PolicySettings::default();
            let policy = build(name, &settings, self.context.next_seed());
            policies.insert(pool.clone(), policy);
        }
        policies
            .get_mut(pool)
            .map_or_else(Vec::new, |policy| policy.rank(request, engines))
    }

    fn engine_views(
        &self,
        state: &havenstage_config::ConfigState,
        work: &Work,
        pool: &PoolSpec,
    ) -> Vec<EngineView> {
        let hints = lock(&self.load_hints);
        state
            .engines_of_pool(&work.pool)
            .map(|(name, spec)| {
                let load = hints.get(&name).copied().unwrap_or_default();
                engine_view(name, spec, pool, load)
            })
            .collect()
    }

    /// The node that admits work to an engine.
    pub(super) fn home_of(&self, engine: &EngineName) -> Option<NodeId> {
        let state = self.context.state();
        let spec = state.engine(engine)?;
        ownership::home_of_engine(&self.context.view(), engine, &spec.zone)
    }

    /// Remembers the load that a reply of an engine's home told.
    pub(super) fn learn(&self, engine: &EngineName, load: u32) {
        lock(&self.load_hints).insert(engine.clone(), load);
    }
}

fn engine_view(name: EngineName, spec: &EngineSpec, pool: &PoolSpec, load: u32) -> EngineView {
    EngineView {
        name,
        zone: spec.zone.clone(),
        load_hint: load,
        max_running: pool.max_running_per_engine,
        // A version once heard may have been replaced since: only the home knows.
        version: None,
        accepts_work: spec.desired_state == EngineDesiredState::Active,
    }
}
