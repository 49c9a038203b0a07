//! One request and one job step through the real node code.

use std::sync::Arc;
use std::time::Duration;

use havenstage_emulator::settings::LengthDistribution;
use havenstage_history::event::caller::CallId;
use havenstage_simulator::clients::call::{CallEnd, CallRequest, call};
use havenstage_simulator::clients::trainer::{self, TrainerSettings};
use havenstage_simulator::deployment::Deployment;
use havenstage_simulator::runtime;
use havenstage_simulator::world::World;
use havenstage_simulator::world::settings::WorldSettings;
use havenstage_types::ids::{CallerName, JobName, ModelName, PoolName, VersionNumber};
use havenstage_types::resource::{JobSpec, PriorityClass, ResourceSpec};

const READY: Duration = Duration::from_secs(30);

fn small_world(deployment: Deployment) -> Arc<World> {
    let mut settings = WorldSettings::new(deployment);
    settings.engine.output_length = LengthDistribution::Fixed { tokens: 24 };
    let world = World::new(settings, 11).expect("the settings are valid");
    world.create_resources();
    Arc::new(world)
}

fn request(pool: &str) -> CallRequest {
    CallRequest {
        call: CallId {
            caller: CallerName::new("portal"),
            request: 1,
            call: 1,
        },
        pool: PoolName::new(pool),
        prompt: "what do I owe".to_owned(),
        max_tokens: 64,
        key: None,
        at_most_once: false,
        class: PriorityClass::Live,
        deadline: Duration::from_secs(10),
        patience: Duration::from_secs(12),
    }
}

#[test]
fn a_call_gets_its_whole_answer() {
    let end = runtime::run(11, async {
        let world = small_world(Deployment::Cobrasur);
        world.start_all_nodes();
        assert!(world.until_ready(READY).await);
        call(&world, 0, request("aviso-app")).await
    });
    let CallEnd::Answered(answer) = end.expect("a runtime") else {
        panic!("no answer");
    };
    assert_eq!(answer.summary.segments.token_count(), 24);
    assert_eq!(answer.text.split_whitespace().count(), 24);
}

#[test]
fn a_trainer_gets_every_step_of_its_job() {
    let times = runtime::run(12, async {
        let world = small_world(Deployment::PoValley);
        let job = JobSpec {
            pool: PoolName::new("modelli-rotta"),
            prompts: vec!["road to Lodi".to_owned(), "road to Cremona".to_owned()],
            group_size: 2,
            samples_per_step: 8,
            staleness_bound: 1,
            max_tokens: 64,
            steps: Some(2),
            steps_ahead: 1,
        };
        world.create("rotta", ResourceSpec::Job(job));
        world.start_all_nodes();
        assert!(world.until_ready(READY).await);
        let settings = TrainerSettings {
            job: JobName::new("rotta"),
            model: ModelName::new("rotta"),
            steps: 2,
            first_version: VersionNumber(1),
            batch: 16,
            train_time: Duration::from_secs(2),
            forgets: 0.0,
        };
        let trained = trainer::run(world, settings);
        tokio::time::timeout(Duration::from_secs(120), trained).await
    });
    let times = times.expect("a runtime").expect("the job ends in time");
    assert_eq!((times.steps, times.samples), (2, 16));
}
