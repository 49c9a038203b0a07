//! The resources of a demonstration.

use havenstage_simulator::deployment::{Deployment, DeploymentSettings, PoolSettings};
use havenstage_types::ids::{CallerName, JobName, VersionNumber};
use havenstage_types::resource::{
    EngineDesiredState, EngineSpec, JobSpec, PolicyName, PoolSpec, PriorityClass, PriorityRuleSpec,
    ResourceKey, ResourceKind, ResourceSpec, job_key,
};

use super::operator::{Operator, OperatorError};
use super::options::{DemoOptions, GROUP_SIZE};
use super::platform::{DemoEngine, Platform, engine_settings};

/// How many versions a sample may lag.
pub const STALENESS_BOUND: u64 = 2;

/// Most tokens of a sample.
const SAMPLE_TOKENS: u32 = 512;

/// Steps that may be open at once: the next one is sampled while the trainer trains.
const STEPS_AHEAD: u32 = 2;

/// The version that engines start with.
pub const FIRST_VERSION: VersionNumber = VersionNumber(1);

/// Names that depend on the deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Names {
    /// The job.
    pub job: JobName,
    /// Callers; the first one's calls are urgent.
    pub callers: [CallerName; 2],
}

impl Names {
    /// Names for a deployment.
    pub fn of(deployment: Deployment) -> Self {
        let (job, callers) = match deployment {
            Deployment::Cobrasur => ("tone-policy", ["agent-desk", "debtor-portal"]),
            Deployment::PoValley => ("route-assistant", ["dispatch", "warehouse"]),
        };
        Self {
            job: JobName::new(job),
            callers: callers.map(CallerName::new),
        }
    }
}

/// Creates pools with their engines, the first versions and the priority rule.
///
/// # Errors
/// When a change does not come about.
pub async fn create_pools(
    operator: &Operator,
    deployment: &DeploymentSettings,
    platform: &Platform,
    urgent: &CallerName,
) -> Result<(), OperatorError> {
    for pool in &deployment.pools {
        operator
            .apply(pool_key(pool), None, pool_spec(pool))
            .await?;
        platform.store_version(&pool.model, FIRST_VERSION);
        operator.publish(&pool.model, FIRST_VERSION).await?;
        for engine in platform.engines_of(&pool.name) {
            let spec = engine_spec(engine, EngineDesiredState::Active);
            operator.apply(engine_key(engine), None, spec).await?;
        }
    }
    let key = ResourceKey {
        kind: ResourceKind::PriorityRule,
        name: format!("{urgent}-first"),
    };
    let spec = ResourceSpec::PriorityRule(PriorityRuleSpec {
        caller: Some(urgent.clone()),
        class: PriorityClass::Urgent,
        max_in_flight_per_node: None,
    });
    operator.apply(key, None, spec).await?;
    Ok(())
}

/// Creates the job on the first pool.
///
/// # Errors
/// When the change does not come about.
pub async fn create_job(
    operator: &Operator,
    job: &JobName,
    pool: &PoolSettings,
    prompts: Vec<String>,
    options: &DemoOptions,
) -> Result<(), OperatorError> {
    let spec = ResourceSpec::Job(JobSpec {
        pool: pool.name.clone(),
        prompts,
        group_size: GROUP_SIZE,
        samples_per_step: options.samples,
        staleness_bound: STALENESS_BOUND,
        max_tokens: SAMPLE_TOKENS,
        steps: Some(options.steps),
        steps_ahead: STEPS_AHEAD,
    });
    operator.apply(job_key(job), None, spec).await?;
    Ok(())
}

/// Key of an engine's resource.
pub fn engine_key(engine: &DemoEngine) -> ResourceKey {
    ResourceKey {
        kind: ResourceKind::Engine,
        name: engine.name.0.clone(),
    }
}

/// Specification of an engine.
pub fn engine_spec(engine: &DemoEngine, desired_state: EngineDesiredState) -> ResourceSpec {
    ResourceSpec::Engine(EngineSpec {
        pool: engine.pool.clone(),
        address: engine.standin.address(),
        zone: engine.zone.clone(),
        kv_capacity_tokens: engine_settings().kv.capacity_tokens,
        desired_state,
    })
}

fn pool_key(pool: &PoolSettings) -> ResourceKey {
    ResourceKey {
        kind: ResourceKind::Pool,
        name: pool.name.0.clone(),
    }
}

fn pool_spec(pool: &PoolSettings) -> ResourceSpec {
    ResourceSpec::Pool(PoolSpec {
        model: pool.model.clone(),
        policy: PolicyName::default(),
        max_running_per_engine: 32,
        max_queued_per_engine: 128,
        live_reserve_percent: 10,
    })
}
