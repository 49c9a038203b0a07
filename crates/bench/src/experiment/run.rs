//! Runs one experiment and makes its report.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use havenstage_simulator::runtime;
use havenstage_simulator::world::World;
use havenstage_simulator::world::network::NetworkCounts;
use havenstage_types::resource::ResourceSpec;
use hdrhistogram::Histogram;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::error::ExperimentError;
use super::faults;
use super::live::{self, LiveRecord};
use super::lower_bound::{SampleWork, lower_bound};
use super::observe;
use super::report::{ControlReport, LiveReport, Percentiles, Report, StepReport, TrainingReport};
use super::resources::JOB;
use super::settings::{Experiment, seconds};
use super::trainer::{self, SharedRecord, StepRecord, TrainerRecord};

/// Longest virtual time until all nodes take work.
const READY_PATIENCE: Duration = Duration::from_secs(120);

/// Virtual time after the load in which swaps and decision batches come to their end.
const SETTLE_TIME: Duration = Duration::from_secs(10);

const MILLISECONDS: f64 = 1e3;

/// Runs an experiment to its end on the virtual clock.
///
/// # Errors
/// When settings are out of range, or the job does not end in the time allowed.
pub fn run(experiment: &Experiment) -> Result<Report, ExperimentError> {
    experiment.validate()?;
    let future = Box::pin(run_in_runtime(experiment));
    runtime::run(experiment.seed, future)?
}

async fn run_in_runtime(experiment: &Experiment) -> Result<Report, ExperimentError> {
    let world = Arc::new(World::new(experiment.world_settings(), experiment.seed)?);
    experiment.create_resources(&world);
    world.start_all_nodes();
    if !world.until_ready(READY_PATIENCE).await {
        return Err(ExperimentError::NotReady {
            seconds: READY_PATIENCE.as_secs(),
        });
    }
    let load = Load::run(experiment, &world).await?;
    Ok(load.report(experiment, &world))
}

/// What came of the load.
struct Load {
    virtual_s: f64,
    trainer: TrainerRecord,
    live: Vec<LiveRecord>,
    control: ControlReport,
    faults: usize,
}

impl Load {
    async fn run(experiment: &Experiment, world: &Arc<World>) -> Result<Self, ExperimentError> {
        let began_ms = world.recorder().clock().now_ms();
        let counts_before = world.network().counts();
        let faults = start_faults(experiment, world);
        let stop = CancellationToken::new();
        let mut callers = start_callers(experiment, world, &stop);
        let record = SharedRecord::default();
        let finished = run_job(experiment, world, &record).await;
        let ended_ms = world.recorder().clock().now_ms();
        let virtual_s = (ended_ms - began_ms) as f64 / MILLISECONDS;
        let control = control(&counts_before, &world.network().counts(), virtual_s, world);
        stop.cancel();
        let mut live = Vec::new();
        while let Some(joined) = callers.join_next().await {
            let (index, record) = joined.map_err(|_panicked| ExperimentError::Panicked)?;
            live.extend(record.map(|record| (index, record)));
        }
        live.sort_by_key(|(index, _)| *index);
        tokio::time::sleep(SETTLE_TIME).await;
        let trainer = record
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if !finished {
            return Err(unfinished(experiment, &trainer));
        }
        Ok(Self {
            virtual_s,
            trainer,
            live: live.into_iter().map(|(_, record)| record).collect(),
            control,
            faults,
        })
    }

    fn report(self, experiment: &Experiment, world: &World) -> Report {
        let executions = observe::executions(world);
        let groups = experiment.live.iter().zip(&self.live);
        Report {
            name: experiment.name.clone(),
            deployment: experiment.deployment,
            policy: experiment.policy,
            seed: experiment.seed,
            virtual_s: self.virtual_s,
            training: experiment
                .training
                .then(|| training(experiment, world, &self.trainer, &executions)),
            live: groups
                .map(|(settings, record)| live_report(&settings.name, record))
                .collect(),
            swaps: observe::swaps(world, &self.trainer.published_ms),
            decisions: observe::decisions(world),
            engine_preemptions: executions.engine_preemptions,
            control: self.control,
            log: world.log().counts(),
            faults: self.faults,
        }
    }
}

fn start_faults(experiment: &Experiment, world: &Arc<World>) -> usize {
    let engines = world.engines().len();
    let nodes = world.machines().all().len();
    let faults = faults::schedule(experiment, engines, nodes);
    let count = faults.len();
    tokio::spawn(faults::inject(world.clone(), faults));
    count
}

type CallerTasks = JoinSet<(usize, Option<LiveRecord>)>;

fn start_callers(
    experiment: &Experiment,
    world: &Arc<World>,
    stop: &CancellationToken,
) -> CallerTasks {
    let mut callers = JoinSet::new();
    for (index, settings) in experiment.live.iter().cloned().enumerate() {
        let called = live::run(world.clone(), settings, stop.clone());
        callers.spawn(async move { (index, called.await) });
    }
    callers
}

/// Runs the job, or waits as long without one; whether it ended in time.
async fn run_job(experiment: &Experiment, world: &Arc<World>, record: &SharedRecord) -> bool {
    let duration = seconds(experiment.duration_s);
    if !experiment.training {
        tokio::time::sleep(duration).await;
        return true;
    }
    world.create(JOB, ResourceSpec::Job(experiment.job_spec(world)));
    let trained = trainer::run(
        world.clone(),
        experiment.job,
        experiment.trainer,
        record.clone(),
    );
    timeout(duration, trained).await.is_ok()
}

fn unfinished(experiment: &Experiment, trainer: &TrainerRecord) -> ExperimentError {
    let complete = |step: &&StepRecord| step.complete_ms > 0;
    ExperimentError::Unfinished {
        seconds: experiment.duration_s,
        steps: trainer.steps.iter().filter(complete).count(),
    }
}

fn control(
    before: &NetworkCounts,
    after: &NetworkCounts,
    virtual_s: f64,
    world: &World,
) -> ControlReport {
    let datagram_bytes = after.datagram_bytes - before.datagram_bytes;
    let request_bytes = after.request_bytes - before.request_bytes;
    let node_seconds = virtual_s * world.machines().all().len() as f64;
    ControlReport {
        datagrams: after.datagrams - before.datagrams,
        datagram_bytes,
        requests: after.requests - before.requests,
        request_bytes,
        bytes_per_node_second: (datagram_bytes + request_bytes) as f64 / node_seconds.max(1.0),
    }
}

fn live_report(name: &str, record: &LiveRecord) -> LiveReport {
    LiveReport {
        name: name.to_owned(),
        requests: record.requests,
        repeats: record.repeats,
        unanswered: record.unanswered,
        first_text_ms: percentiles(&record.first_text_ms),
        total_ms: percentiles(&record.total_ms),
    }
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    Percentiles {
        p50: histogram.value_at_quantile(0.5),
        p90: histogram.value_at_quantile(0.9),
        p99: histogram.value_at_quantile(0.99),
        max: histogram.max(),
    }
}

fn training(
    experiment: &Experiment,
    world: &World,
    trainer: &TrainerRecord,
    executions: &observe::Executions,
) -> TrainingReport {
    let stream = observe::job_stream(world, experiment.job.staleness_bound);
    let mut tokens = executions.training;
    tokens.delivered = stream.delivered_tokens;
    tokens.dropped = stream.dropped_tokens;
    let wasted = tokens.generated.saturating_sub(tokens.delivered);
    let steps: Vec<StepReport> = trainer
        .steps
        .iter()
        .map(|step| step_report(experiment, step, executions.prompt_tokens))
        .collect();
    let whole = (trainer.idle + trainer.training).as_secs_f64();
    TrainingReport {
        ratio_to_bound: ratio_to_bound(&steps),
        steps,
        idle_share: trainer.idle.as_secs_f64() / whole.max(f64::EPSILON),
        staleness_at_commit: stream.staleness,
        staleness_at_delivery: staleness_at_delivery(trainer),
        past_bound: stream.past_bound,
        drops: stream.drops,
        tokens,
        wasted_share: wasted as f64 / tokens.generated.max(1) as f64,
        cache: executions.training_cache,
    }
}

fn step_report(experiment: &Experiment, step: &StepRecord, prompt_tokens: u32) -> StepReport {
    let samples: Vec<SampleWork> = step
        .samples
        .iter()
        .map(|sample| SampleWork {
            prompt_tokens,
            tokens: sample.tokens,
        })
        .collect();
    let bound = lower_bound(
        &samples,
        &experiment.engine.compute,
        experiment.trained_engines(),
        experiment.pool.max_running,
    );
    let seconds = step.complete_ms.saturating_sub(step.opened_ms) as f64 / MILLISECONDS;
    StepReport {
        seconds,
        bound,
        ratio: seconds / bound.seconds().max(f64::EPSILON),
        tokens: samples.iter().map(|sample| u64::from(sample.tokens)).sum(),
        longest_tokens: samples
            .iter()
            .map(|sample| sample.tokens)
            .max()
            .unwrap_or(0),
    }
}

/// The first step starts on cold engines; it counts only when it is the only one.
fn ratio_to_bound(steps: &[StepReport]) -> f64 {
    let warm = if steps.len() > 1 { &steps[1..] } else { steps };
    let seconds: f64 = warm.iter().map(|step| step.seconds).sum();
    let bound: f64 = warm.iter().map(|step| step.bound.seconds()).sum();
    seconds / bound.max(f64::EPSILON)
}

fn staleness_at_delivery(trainer: &TrainerRecord) -> std::collections::BTreeMap<u64, u64> {
    let mut staleness = std::collections::BTreeMap::new();
    for sample in trainer.steps.iter().flat_map(|step| &step.samples) {
        *staleness.entry(sample.versions_behind).or_default() += 1;
    }
    staleness
}
