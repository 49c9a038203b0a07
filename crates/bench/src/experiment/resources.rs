//! The world of an experiment and the resources in it.

use std::time::Duration;

use havenstage_simulator::deployment::{Deployment, DeploymentSettings, PoolSettings};
use havenstage_simulator::world::World;
use havenstage_simulator::world::resources::FIRST_VERSION;
use havenstage_simulator::world::settings::WorldSettings;
use havenstage_types::ids::{JobName, ModelName, PoolName, Zone};
use havenstage_types::resource::{
    EngineDesiredState, EngineSpec, JobSpec, PoolSpec, ResourceSpec, WeightVersionSpec,
};

use super::settings::{DeploymentName, Experiment, PoolRole};

/// Name of the experiment's job.
pub(super) const JOB: &str = "rollout";

/// Nodes and engines of the letter's size.
const LETTER_NODES: u32 = 380;
const LETTER_ENGINES: u32 = 680;
const LETTER_ZONES: u32 = 3;

impl Experiment {
    /// The settings of the world that the experiment runs in.
    pub(super) fn world_settings(&self) -> WorldSettings {
        let mut settings = WorldSettings::with_deployment(self.deployment_settings());
        settings.nodes_per_zone = self.nodes_per_zone();
        settings.node = self.node.clone();
        settings.engine = self.engine.clone();
        settings.engine.initial_version = Some(FIRST_VERSION.0);
        settings.engine.swap.external_fetch = true;
        settings.engine.max_running_requests = self.pool.max_running;
        settings.platform.weight_fetches_per_second = self.platform.weight_fetches_per_second;
        settings.platform.weight_fetch_time = Duration::from_millis(self.platform.weight_fetch_ms);
        settings.record_tokens = false;
        settings
    }

    /// Engines of the trained pool.
    pub fn trained_engines(&self) -> u32 {
        let settings = self.deployment_settings();
        settings.pools.first().map_or(0, |pool| pool.engines)
    }

    fn nodes_per_zone(&self) -> u32 {
        match self.deployment {
            DeploymentName::LetterSize => {
                (LETTER_NODES * self.scale_percent / 100 / LETTER_ZONES).max(1)
            }
            DeploymentName::Cobrasur | DeploymentName::PoValley => self.nodes_per_zone,
        }
    }

    fn deployment_settings(&self) -> DeploymentSettings {
        match self.deployment {
            DeploymentName::Cobrasur => Deployment::Cobrasur.settings(),
            DeploymentName::PoValley => Deployment::PoValley.settings(),
            DeploymentName::LetterSize => self.letter_size(),
        }
    }

    fn letter_size(&self) -> DeploymentSettings {
        let zones = (1..=LETTER_ZONES).map(|number| Zone(format!("zone-{number}")));
        DeploymentSettings {
            zones: zones.collect(),
            zone_latency: Duration::from_micros(500),
            client_latency: Duration::from_millis(1),
            pools: vec![PoolSettings {
                name: PoolName::new("workers"),
                model: ModelName::new("letter"),
                engines: (LETTER_ENGINES * self.scale_percent / 100).max(1),
            }],
        }
    }

    /// The job as a resource.
    pub(super) fn job_spec(&self, world: &World) -> JobSpec {
        let job = &self.job;
        JobSpec {
            pool: pool_of(world, PoolRole::Trained).name.clone(),
            prompts: (0..job.prompts).map(|index| self.prompt(index)).collect(),
            group_size: job.group_size,
            samples_per_step: job.samples_per_step,
            staleness_bound: job.staleness_bound,
            max_tokens: job.max_tokens,
            steps: Some(job.steps),
            steps_ahead: job.steps_ahead,
        }
    }

    fn prompt(&self, index: u32) -> String {
        let shared = (0..self.job.shared_words).map(|word| format!("shared{word}"));
        let own = (0..self.job.own_words).map(|word| format!("p{index}w{word}"));
        shared.chain(own).collect::<Vec<_>>().join(" ")
    }

    /// Creates pools, engines and first versions.
    pub(super) fn create_resources(&self, world: &World) {
        for pool in &world.settings().deployment.pools {
            let spec = PoolSpec {
                model: pool.model.clone(),
                policy: self.policy,
                max_running_per_engine: self.pool.max_running,
                max_queued_per_engine: self.pool.max_queued,
                live_reserve_percent: self.pool.live_reserve_percent,
            };
            world.create(pool.name.as_str(), ResourceSpec::Pool(spec));
            let spec = WeightVersionSpec {
                model: pool.model.clone(),
                number: FIRST_VERSION,
                location: format!("weights/{}/{FIRST_VERSION}", pool.model),
            };
            let name = format!("{}-{FIRST_VERSION}", pool.model);
            world.create(&name, ResourceSpec::WeightVersion(spec));
        }
        self.create_engines(world);
    }

    fn create_engines(&self, world: &World) {
        for engine in world.engines() {
            let identity = engine.identity();
            let spec = EngineSpec {
                pool: identity.pool.clone(),
                address: identity.address,
                zone: identity.zone.clone(),
                kv_capacity_tokens: self.engine.kv.capacity_tokens,
                desired_state: EngineDesiredState::Active,
            };
            world.create(identity.name.as_str(), ResourceSpec::Engine(spec));
        }
    }
}

/// The pool with this role; a deployment with one pool uses it for both.
pub(super) fn pool_of(world: &World, role: PoolRole) -> &PoolSettings {
    let pools = &world.settings().deployment.pools;
    match role {
        PoolRole::Trained => &pools[0],
        PoolRole::Serving => &pools[pools.len() - 1],
    }
}

/// Name of the experiment's job.
pub(super) fn job_name() -> JobName {
    JobName::new(JOB)
}
