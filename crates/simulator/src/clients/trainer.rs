//! A trainer: reads its job's steps through any node, acknowledges them, trains, and publishes the
//! next version.

use std::sync::Arc;
use std::time::Duration;

use havenstage_history::event::engine::AttemptLabel;
use havenstage_history::event::operator::VersionPublished;
use havenstage_history::event::trainer::{
    JobDrained, SampleReceived, StepAcknowledged, StepReportedComplete,
};
use havenstage_history::event::{EventBody, EventSource};
use havenstage_history::fingerprint::Fingerprint;
use havenstage_types::config::ChangeOutcome;
use havenstage_types::ids::{
    JobName, LogOffset, ModelName, StepNumber, TrainerName, VersionNumber,
};
use havenstage_types::job::SampleBatch;
use tokio::time::Instant;

use super::ask;
use crate::random::SharedRandom;
use crate::world::World;

/// Time one read waits for samples.
const READ_WAIT: Duration = Duration::from_secs(2);

/// Time beyond which a trainer takes a node for dead.
const PATIENCE: Duration = Duration::from_secs(15);

/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What a trainer does.
#[derive(Debug, Clone, PartialEq)]
pub struct TrainerSettings {
    /// Job it trains from.
    pub job: JobName,
    /// Model whose versions it publishes.
    pub model: ModelName,
    /// Number of steps.
    pub steps: u64,
    /// Version it starts from.
    pub first_version: VersionNumber,
    /// Samples it asks for in one read.
    pub batch: usize,
    /// Time one step of training takes.
    pub train_time: Duration,
    /// Probability, at each read, that it forgets where it was and reads its step from the start.
    pub forgets: f64,
}

/// Times of a trainer, for measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TrainerTimes {
    /// Steps acknowledged.
    pub steps: u64,
    /// Samples received, repeats included.
    pub samples: u64,
    /// Time it waited for samples.
    pub idle: Duration,
    /// Time it trained.
    pub training: Duration,
}

/// Runs the trainer to the end of its job.
pub async fn run(world: Arc<World>, settings: TrainerSettings) -> TrainerTimes {
    let part = format!("trainer-{}", settings.job);
    let mut trainer = Trainer {
        random: SharedRandom::new(world.seed(), &part),
        name: TrainerName(part),
        version: settings.first_version,
        reads: 0,
        times: TrainerTimes::default(),
        settings,
        world,
    };
    trainer.run().await;
    trainer.times
}

struct Trainer {
    world: Arc<World>,
    settings: TrainerSettings,
    random: SharedRandom,
    name: TrainerName,
    version: VersionNumber,
    reads: u64,
    times: TrainerTimes,
}

impl Trainer {
    async fn run(&mut self) {
        for number in 0..self.settings.steps {
            let step = StepNumber(number);
            let waited_from = Instant::now();
            self.read_step(step).await;
            self.acknowledge(step).await;
            self.times.idle += waited_from.elapsed();
            self.times.steps += 1;
            tokio::time::sleep(self.settings.train_time).await;
            self.times.training += self.settings.train_time;
            if number + 1 < self.settings.steps {
                self.publish_next().await;
            }
        }
        self.record(EventBody::JobDrained(JobDrained {
            job: self.settings.job.clone(),
            steps: self.settings.steps,
        }));
    }

    async fn read_step(&mut self, step: StepNumber) {
        let mut cursor = LogOffset(0);
        loop {
            if self.random.chance(self.settings.forgets) {
                cursor = LogOffset(0);
            }
            let Some(batch) = self.read(step, cursor).await else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            self.receive(cursor, &batch);
            cursor = batch.next_cursor;
            if batch.step_complete {
                self.record(EventBody::StepReportedComplete(StepReportedComplete {
                    trainer: self.name.clone(),
                    job: self.settings.job.clone(),
                    step,
                }));
                return;
            }
        }
    }

    async fn read(&mut self, step: StepNumber, cursor: LogOffset) -> Option<SampleBatch> {
        let job = self.settings.job.clone();
        let batch = self.settings.batch;
        let machine = self.any_machine();
        let answer = ask(&self.world, machine, PATIENCE, move |node| async move {
            node.samples(job, step, cursor, batch, READ_WAIT).await
        });
        answer.await?.result.ok()
    }

    fn receive(&mut self, cursor: LogOffset, batch: &SampleBatch) {
        self.reads += 1;
        for delivered in &batch.samples {
            let sample = &delivered.sample;
            self.times.samples += 1;
            self.record(EventBody::SampleReceived(SampleReceived {
                trainer: self.name.clone(),
                read: self.reads,
                cursor,
                offset: delivered.offset,
                sample: sample.id.clone(),
                attempt: AttemptLabel(sample.attempt.to_string()),
                segments: sample.segments.clone(),
                tokens: Fingerprint::of_tokens(&sample.tokens),
            }));
        }
    }

    async fn acknowledge(&mut self, step: StepNumber) {
        loop {
            let job = self.settings.job.clone();
            let trainer = self.name.clone();
            let version = self.version;
            let machine = self.any_machine();
            let answer = ask(&self.world, machine, PATIENCE, move |node| async move {
                node.acknowledge(job, step, trainer, version).await
            });
            if answer.await.is_some_and(|answer| answer.result.is_ok()) {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        self.record(EventBody::StepAcknowledged(StepAcknowledged {
            trainer: self.name.clone(),
            job: self.settings.job.clone(),
            step,
        }));
    }

    async fn publish_next(&mut self) {
        self.version = VersionNumber(self.version.0 + 1);
        loop {
            let model = self.settings.model.clone();
            let number = self.version;
            let location = format!("weights/{model}/{number}");
            let machine = self.any_machine();
            let answer = ask(&self.world, machine, PATIENCE, move |node| async move {
                node.publish_version(model, number, location, None).await
            });
            let report = answer.await.and_then(|answer| answer.result.ok());
            let accepted = |outcome: &ChangeOutcome| matches!(outcome, ChangeOutcome::Accepted(_));
            if report.is_some_and(|report| accepted(&report.outcome)) {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        self.record(EventBody::VersionPublished(VersionPublished {
            model: self.settings.model.clone(),
            version: self.version,
        }));
    }

    fn any_machine(&self) -> usize {
        self.random.below(self.world.machines().all().len() as u64) as usize
    }

    fn record(&self, body: EventBody) {
        let source = EventSource::Trainer(self.name.clone());
        self.world.recorder().record(source, body);
    }
}
