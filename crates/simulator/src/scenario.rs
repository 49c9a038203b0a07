//! What happens in one run besides the faults: callers, a training job and operators.

use std::sync::Arc;
use std::time::Duration;

use havenstage_emulator::settings::LengthDistribution;
use havenstage_history::checker::{Bounds, JobBounds};
use havenstage_types::ids::{CallerName, JobName, ModelName, PoolName};
use havenstage_types::resource::{JobSpec, PriorityClass, ResourceSpec};

use crate::clients::callers::CallerSettings;
use crate::clients::trainer::TrainerSettings;
use crate::deployment::{Deployment, PoolSettings};
use crate::faults::generator::Targets;
use crate::world::World;
use crate::world::resources::FIRST_VERSION;
use crate::world::settings::WorldSettings;

/// Configuration records between two snapshots; few, so that starts meet snapshots.
const SNAPSHOT_EVERY: u64 = 10;

/// Everything of a run but its seed and its faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The world.
    pub world: WorldSettings,
    /// How long callers come and faults may begin.
    pub load_time: Duration,
    /// How long everything may take to come to its end after that.
    pub drain_time: Duration,
    /// Groups of callers.
    pub callers: Vec<CallerSettings>,
    /// The training job.
    pub job: JobScenario,
    /// Time between two reads of one operator.
    pub read_interval: Duration,
}

/// The training job of a run and its trainer.
#[derive(Debug, Clone, PartialEq)]
pub struct JobScenario {
    /// Name of the job.
    pub name: JobName,
    /// Model trained.
    pub model: ModelName,
    /// What the job asks for.
    pub spec: JobSpec,
    /// Number of steps.
    pub steps: u64,
    /// Time one step of training takes.
    pub train_time: Duration,
    /// Probability, at each read, that the trainer reads its step from the start.
    pub forgets: f64,
}

impl Scenario {
    /// The usual run of a deployment: every pool has callers, the first pool also trains, and
    /// engines are slow enough for faults to meet work in flight.
    pub fn new(deployment: Deployment) -> Self {
        let mut world = WorldSettings::new(deployment);
        world.nodes_per_zone = 2;
        world.node.snapshot_every = SNAPSHOT_EVERY;
        world.engine.output_length = LengthDistribution::LogNormal {
            median_tokens: 60.0,
            sigma: 0.8,
        };
        world.engine.tokens_per_chunk = 4;
        world.engine.compute.slowness = 4.0;
        let pools = world.deployment.pools.clone();
        let callers = pools.iter().enumerate().flat_map(callers_of).collect();
        let trained = &pools[0];
        Self {
            world,
            load_time: Duration::from_secs(45),
            drain_time: Duration::from_secs(240),
            callers,
            job: job_on(trained),
            read_interval: Duration::from_millis(250),
        }
    }

    /// Writes the resources of the run into the log of a new world.
    pub fn create_resources(&self, world: &World) {
        world.create_resources();
        let spec = ResourceSpec::Job(self.job.spec.clone());
        world.create(self.job.name.as_str(), spec);
    }

    /// What faults may touch.
    pub fn targets(&self) -> Targets {
        let zones = self.world.deployment.zones.clone();
        let pools = &self.world.deployment.pools;
        Targets {
            machines: zones.len() * self.world.nodes_per_zone as usize,
            engines: pools.iter().map(|pool| pool.engines as usize).sum(),
            zones,
            horizon: self.load_time,
        }
    }

    /// The bounds that the run is judged by: those the nodes ran with.
    pub fn bounds(&self) -> Bounds {
        let job = JobBounds {
            model: self.job.model.clone(),
            staleness_bound: self.job.spec.staleness_bound,
            samples_per_step: self.job.spec.samples_per_step,
        };
        Bounds {
            config_in_force_ms: self.world.node.freshness_bound_ms,
            default_deadline_ms: self.world.node.default_deadline_ms,
            jobs: [(self.job.name.clone(), job)].into(),
            ..Bounds::default()
        }
    }

    /// What the trainer does.
    pub fn trainer(&self) -> TrainerSettings {
        TrainerSettings {
            job: self.job.name.clone(),
            model: self.job.model.clone(),
            steps: self.job.steps,
            first_version: FIRST_VERSION,
            batch: 16,
            train_time: self.job.train_time,
            forgets: self.job.forgets,
        }
    }
}

/// Two groups of callers for each pool. Those of the pool that is trained come less often.
fn callers_of((index, pool): (usize, &PoolSettings)) -> Vec<CallerSettings> {
    let is_trained = index == 0;
    let mean_interval = Duration::from_millis(if is_trained { 600 } else { 250 });
    let ordinary = CallerSettings {
        caller: CallerName(format!("portal-{}", pool.name)),
        pool: pool.name.clone(),
        mean_interval,
        at_most_once: 0.4,
        keyed: 0.5,
        class: PriorityClass::Live,
        max_tokens: 160,
        deadline: Duration::from_secs(20),
        max_calls: 4,
    };
    let urgent = CallerSettings {
        caller: CallerName(format!("desk-{}", pool.name)),
        mean_interval: mean_interval * 3,
        at_most_once: 0.1,
        keyed: 0.2,
        class: PriorityClass::Urgent,
        deadline: Duration::from_secs(8),
        ..ordinary.clone()
    };
    vec![ordinary, urgent]
}

fn job_on(pool: &PoolSettings) -> JobScenario {
    let steps = 5;
    JobScenario {
        name: JobName(format!("train-{}", pool.model)),
        model: pool.model.clone(),
        spec: JobSpec {
            pool: PoolName(pool.name.0.clone()),
            prompts: (1..=6)
                .map(|number| format!("sample {number} of the job"))
                .collect(),
            group_size: 4,
            samples_per_step: 32,
            staleness_bound: 1,
            max_tokens: 256,
            steps: Some(steps),
            steps_ahead: 2,
        },
        steps,
        train_time: Duration::from_secs(3),
        forgets: 0.05,
    }
}

/// Runs all callers of a scenario until they are done.
pub(crate) async fn run_callers(world: Arc<World>, scenario: &Scenario) {
    let until = tokio::time::Instant::now() + scenario.load_time;
    let mut callers = tokio::task::JoinSet::new();
    for settings in &scenario.callers {
        let run = crate::clients::callers::run(world.clone(), settings.clone(), until);
        callers.spawn(run);
    }
    while callers.join_next().await.is_some() {}
}
