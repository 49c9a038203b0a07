//! One step of a training job on engines that take no time: what the system itself needs for it.

use std::time::{Duration, Instant};

use havenstage_types::config::{ConfigChange, Precondition};
use havenstage_types::ids::{ChangeId, JobName, LogOffset, StepNumber, TrainerName};
use havenstage_types::resource::{JobSpec, ResourceSpec, job_key};

use super::config_changes::accepted;
use crate::scale::cluster::Cluster;
use crate::scale::error::ScaleError;
use crate::scale::platform::{FIRST_VERSION, pool_name};
use crate::scale::report::{EventCost, TrainingReport, WindowReport};
use crate::scale::window::Reading;

/// Longest wait for the step.
const PATIENCE: Duration = Duration::from_secs(120);

/// Longest wait of one read of the trainer.
const READ_WAIT: Duration = Duration::from_secs(2);

/// Samples in one read of the trainer.
const SAMPLES_PER_READ: usize = 256;

/// Samples drawn from one prompt.
const GROUP_SIZE: u32 = 8;

/// Prompts of the job.
const PROMPTS: usize = 64;

/// Text of every prompt, after its number.
const PROMPT: &str = "Write a short and friendly script that reminds of an open invoice and \
    offers to pay it in three parts; name the date of each part and whom to call.";

/// Runs one step and reads it as a trainer does.
pub(super) async fn step(
    cluster: &mut Cluster,
    idle: Option<&WindowReport>,
) -> Result<TrainingReport, ScaleError> {
    let job = JobName::new("scale");
    let operator = cluster.random_node()?;
    let trainer = cluster.random_node()?;
    let change = job_change(cluster, &job);
    let reading = Reading::take(cluster)?;
    let creating = cluster.spawn_on_nodes(async move { operator.apply(change, None).await });
    accepted(creating.await?)?;
    let started = Instant::now();
    let step = StepNumber(0);
    let mut cursor = LogOffset(0);
    let mut samples = 0;
    while started.elapsed() < PATIENCE {
        let read = {
            let (node, job) = (trainer.clone(), job.clone());
            cluster.spawn_on_nodes(async move {
                node.samples(job, step, cursor, SAMPLES_PER_READ, READ_WAIT)
                    .await
            })
        };
        let Ok(batch) = read.await? else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        samples += batch.samples.len() as u64;
        cursor = batch.next_cursor;
        if batch.step_complete {
            break;
        }
    }
    let seconds = started.elapsed().as_secs_f64();
    let window = reading.until_now(cluster)?;
    let trainer_name = TrainerName::new("scale-trainer");
    let acknowledging = cluster.spawn_on_nodes(async move {
        trainer
            .acknowledge(job, step, trainer_name, FIRST_VERSION)
            .await
    });
    // The job has one step and costs nothing more, acknowledged or not.
    let _ = acknowledging.await?;
    let nodes = cluster.nodes.len();
    Ok(TrainingReport {
        samples,
        seconds,
        cost: idle.map(|idle| EventCost::of(idle, &window, nodes, samples)),
        window,
    })
}

fn job_change(cluster: &Cluster, job: &JobName) -> ConfigChange {
    let settings = &cluster.settings;
    let spec = JobSpec {
        pool: pool_name(0),
        prompts: (0..PROMPTS)
            .map(|number| format!("{number}: {PROMPT}"))
            .collect(),
        group_size: GROUP_SIZE,
        samples_per_step: settings.samples_per_step,
        staleness_bound: 2,
        max_tokens: settings.answer_tokens,
        steps: Some(1),
        steps_ahead: 1,
    };
    ConfigChange {
        id: ChangeId("training-step".to_owned()),
        key: job_key(job),
        precondition: Precondition::Absent,
        spec: Some(ResourceSpec::Job(spec)),
    }
}
