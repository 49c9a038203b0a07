//! The trainer: reads steps through any node, acknowledges them, trains, publishes versions, and
//! notes when everything happened.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use havenstage_simulator::clients::ask;
use havenstage_simulator::random::SharedRandom;
use havenstage_simulator::world::World;
use havenstage_simulator::world::resources::FIRST_VERSION;
use havenstage_types::config::ChangeOutcome;
use havenstage_types::ids::{LogOffset, ModelName, StepNumber, TrainerName, VersionNumber};
use havenstage_types::job::{DeliveredSample, SampleBatch};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::resources::{job_name, pool_of};
use super::settings::{JobSettings, PoolRole, TrainerSettings, seconds};

/// Time one read waits for samples.
const READ_WAIT: Duration = Duration::from_secs(2);

/// Time beyond which the trainer takes a node for dead.
const PATIENCE: Duration = Duration::from_secs(15);

/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Everything that happened, as far as it has.
#[derive(Debug, Clone, Default)]
pub(super) struct TrainerRecord {
    /// Steps in order.
    pub steps: Vec<StepRecord>,
    /// Milliseconds of the virtual clock at which each version's publication began.
    pub published_ms: Vec<(VersionNumber, u64)>,
    /// Time waited for samples, from the second step on.
    pub idle: Duration,
    /// Time trained, from the second step on.
    pub training: Duration,
}

/// One step as the trainer saw it.
#[derive(Debug, Clone, Default)]
pub(super) struct StepRecord {
    /// When the request that opened the step was sent.
    pub opened_ms: u64,
    /// When the trainer had all its samples.
    pub complete_ms: u64,
    /// Samples, without texts and tokens.
    pub samples: Vec<ReceivedSample>,
}

/// What the report needs of a sample.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReceivedSample {
    pub tokens: u32,
    /// Versions by which its oldest token was behind the trainer's when it was read.
    pub versions_behind: u64,
}

/// Record that outlives a trainer which is stopped.
pub(super) type SharedRecord = Arc<Mutex<TrainerRecord>>;

/// Runs the trainer to the end of its job.
pub(super) async fn run(
    world: Arc<World>,
    job: JobSettings,
    settings: TrainerSettings,
    record: SharedRecord,
) {
    let (complete, steps) = mpsc::unbounded_channel();
    let client = |part: &str| JobClient {
        random: SharedRandom::new(world.seed(), part),
        record: record.clone(),
        world: world.clone(),
    };
    let reader = Reader {
        client: client("bench-reader"),
        batch: settings.batch,
        complete,
    };
    let mut trainer = Trainer {
        client: client("bench-trainer"),
        name: TrainerName::new("bench-trainer"),
        version: FIRST_VERSION,
        model: pool_of(&world, PoolRole::Trained).model.clone(),
        job,
        settings,
    };
    tokio::join!(reader.run(job.steps), trainer.run(steps));
}

/// What reader and trainer share.
struct JobClient {
    world: Arc<World>,
    random: SharedRandom,
    record: SharedRecord,
}

impl JobClient {
    fn with_record(&self, change: impl FnOnce(&mut TrainerRecord)) {
        change(&mut self.record.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn now_ms(&self) -> u64 {
        self.world.recorder().clock().now_ms()
    }

    fn any_machine(&self) -> usize {
        self.random.below(self.world.machines().all().len() as u64) as usize
    }
}

/// Reads steps as their samples come, also while the trainer trains.
struct Reader {
    client: JobClient,
    batch: usize,
    complete: mpsc::UnboundedSender<Vec<DeliveredSample>>,
}

impl Reader {
    async fn run(self, steps: u64) {
        for number in 0..steps {
            let samples = self.read_step(StepNumber(number)).await;
            let complete_ms = self.client.now_ms();
            self.client.with_record(|record| {
                if let Some(step) = record.steps.get_mut(number as usize) {
                    step.complete_ms = complete_ms;
                }
            });
            if self.complete.send(samples).is_err() {
                return;
            }
        }
    }

    async fn read_step(&self, step: StepNumber) -> Vec<DeliveredSample> {
        let mut cursor = LogOffset(0);
        let mut samples = Vec::new();
        loop {
            let Some(batch) = self.read(step, cursor).await else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            cursor = batch.next_cursor;
            samples.extend(batch.samples);
            if batch.step_complete {
                return samples;
            }
        }
    }

    async fn read(&self, step: StepNumber, cursor: LogOffset) -> Option<SampleBatch> {
        let batch = self.batch;
        let answer = ask(
            &self.client.world,
            self.client.any_machine(),
            PATIENCE,
            move |node| async move {
                node.samples(job_name(), step, cursor, batch, READ_WAIT)
                    .await
            },
        );
        answer.await?.result.ok()
    }
}

struct Trainer {
    client: JobClient,
    job: JobSettings,
    settings: TrainerSettings,
    name: TrainerName,
    model: ModelName,
    version: VersionNumber,
}

impl Trainer {
    async fn run(&mut self, mut steps: mpsc::UnboundedReceiver<Vec<DeliveredSample>>) {
        let ahead = u64::from(self.job.steps_ahead).min(self.job.steps);
        for _ in 0..ahead {
            self.note_opened();
        }
        for number in 0..self.job.steps {
            let waited_from = Instant::now();
            let Some(samples) = steps.recv().await else {
                return;
            };
            self.note_samples(StepNumber(number), &samples);
            if number + ahead < self.job.steps {
                self.note_opened();
            }
            self.acknowledge(StepNumber(number)).await;
            let waited = waited_from.elapsed();
            self.train(number, waited).await;
            let is_last = number + 1 == self.job.steps;
            if !is_last && (number + 1) % self.settings.steps_per_version == 0 {
                self.publish_next().await;
            }
        }
    }

    /// The wait for the first step shows how fast the system starts, not how it runs.
    async fn train(&self, number: u64, waited: Duration) {
        let train_time = seconds(self.settings.train_s);
        tokio::time::sleep(train_time).await;
        if number > 0 {
            self.client.with_record(|record| {
                record.idle += waited;
                record.training += train_time;
            });
        }
    }

    async fn acknowledge(&self, step: StepNumber) {
        loop {
            let trainer = self.name.clone();
            let version = self.version;
            let machine = self.client.any_machine();
            let answer = ask(
                &self.client.world,
                machine,
                PATIENCE,
                move |node| async move { node.acknowledge(job_name(), step, trainer, version).await },
            );
            if answer.await.is_some_and(|answer| answer.result.is_ok()) {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn publish_next(&mut self) {
        self.version = VersionNumber(self.version.0 + 1);
        let now_ms = self.client.now_ms();
        self.client
            .with_record(|record| record.published_ms.push((self.version, now_ms)));
        loop {
            let model = self.model.clone();
            let number = self.version;
            let location = format!("weights/{model}/{number}");
            let machine = self.client.any_machine();
            let answer = ask(
                &self.client.world,
                machine,
                PATIENCE,
                move |node| async move { node.publish_version(model, number, location, None).await },
            );
            let report = answer.await.and_then(|answer| answer.result.ok());
            let accepted = |outcome: &ChangeOutcome| matches!(outcome, ChangeOutcome::Accepted(_));
            if report.is_some_and(|report| accepted(&report.outcome)) {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn note_opened(&self) {
        let opened_ms = self.client.now_ms();
        self.client.with_record(|record| {
            record.steps.push(StepRecord {
                opened_ms,
                ..StepRecord::default()
            });
        });
    }

    fn note_samples(&self, step: StepNumber, delivered: &[DeliveredSample]) {
        let received = delivered.iter().map(|delivered| {
            let sample = &delivered.sample;
            let oldest = sample.segments.oldest().unwrap_or(self.version);
            ReceivedSample {
                tokens: sample.segments.token_count(),
                versions_behind: self.version.0.saturating_sub(oldest.0),
            }
        });
        self.client.with_record(|record| {
            if let Some(step) = record.steps.get_mut(step.0 as usize) {
                step.samples.extend(received);
            }
        });
    }
}
