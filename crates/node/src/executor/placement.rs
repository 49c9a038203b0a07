//! Ranks the engines of a pool for one piece of work.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use havenstage_config::ConfigState;
use havenstage_membership::ownership;
use havenstage_placement::live_engines::live_engines;
use havenstage_placement::policies::{
    EngineView, PlacementPolicy, PlacementRequest, PolicySettings, build, prefix_hash,
};
use havenstage_types::decision::CandidateScore;
use havenstage_types::ids::{EngineName, LogOffset, NodeId, PoolName};
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
    kept_for_live: Mutex<KeptForLive>,
}

/// Engines kept for live work as of a configuration, so that not every request sorts its pool.
#[derive(Default)]
struct KeptForLive {
    as_of: LogOffset,
    by_pool: BTreeMap<PoolName, Arc<[EngineName]>>,
}

impl Placer {
    pub(super) fn new(context: Arc<NodeContext>) -> Self {
        Self {
            context,
            policies: Mutex::new(BTreeMap::new()),
            load_hints: Mutex::new(BTreeMap::new()),
            kept_for_live: Mutex::default(),
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
        let kept = self.kept_for_live(&state, &work.pool);
        let candidates = self.rank_lanes(work, pool.policy, &request, &engines, &kept);
        if candidates.is_empty() {
            return Err(not_run(RefusalReason::NoEngine(work.pool.clone())));
        }
        Ok((pool.policy, candidates))
    }

    fn goes_by_load(&self, work: &Work) -> bool {
        let by_load = self.context.settings.placement.training_by_load;
        by_load && !work.class.is_live()
    }

    /// Engines kept for live work; none in a pool that no job trains.
    fn kept_for_live(&self, state: &ConfigState, pool: &PoolName) -> Arc<[EngineName]> {
        let mut kept = lock(&self.kept_for_live);
        if kept.as_of != state.next_offset() {
            *kept = KeptForLive {
                as_of: state.next_offset(),
                by_pool: BTreeMap::new(),
            };
        }
        let percent = self.context.settings.placement.live_engines_percent;
        kept.by_pool
            .entry(pool.clone())
            .or_insert_with(|| live_engines_of(state, pool, percent).into())
            .clone()
    }

    /// Live work asks the engines kept for it first, training asks the others first.
    fn rank_lanes(
        &self,
        work: &Work,
        name: PolicyName,
        request: &PlacementRequest,
        engines: &[EngineView],
        kept: &[EngineName],
    ) -> Vec<CandidateScore> {
        let (for_live, others): (Vec<EngineView>, Vec<EngineView>) = engines
            .iter()
            .cloned()
            .partition(|engine| kept.contains(&engine.name));
        let (first, second) = if work.class.is_live() {
            (for_live, others)
        } else {
            (others, for_live)
        };
        let mut candidates = self.rank(&work.pool, name, request, &first);
        candidates.extend(self.rank(&work.pool, name, request, &second));
        candidates
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

    fn engine_views(&self, state: &ConfigState, work: &Work, pool: &PoolSpec) -> Vec<EngineView> {
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

/// Engines of a trained pool that live calls go to first; none in other pools.
pub(crate) fn live_engines_of(
    state: &ConfigState,
    pool: &PoolName,
    percent: u8,
) -> Vec<EngineName> {
    if !state.jobs().any(|(_, job)| job.pool == *pool) {
        return Vec::new();
    }
    let engines: Vec<EngineName> = state.engines_of_pool(pool).map(|(name, _)| name).collect();
    live_engines(&engines, percent)
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
