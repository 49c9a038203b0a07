//! The trainer, followed from its start to the end of its job.

use std::sync::Arc;
use std::time::Duration;

use havenstage_history::event::operator::VersionPublished;
use havenstage_history::event::trainer::{JobDrained, StepAcknowledged};
use havenstage_history::event::{EventBody, EventSource};
use havenstage_simulator::deployment::PoolSettings;
use havenstage_standin::Running;
use havenstage_standin::trainer::{TrainerRecord, TrainerSettings, TrainerStandin};
use havenstage_types::ids::{JobName, ModelName, TrainerName};

use super::console::Console;
use super::evidence;
use super::nodes::Nodes;
use super::options::DemoOptions;
use super::platform::{Platform, WEIGHT_BYTES, listen};
use super::recorder::Recorder;
use super::resources::FIRST_VERSION;
use crate::exit::Failure;

/// Time that training on one step takes.
const TRAINING_MS: u64 = 1_200;

/// Time between two looks at the trainer's record.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Time without any progress after which the job is given up.
const PATIENCE: Duration = Duration::from_secs(60);

/// Samples the trainer asks for at once.
const SAMPLES_PER_PULL: usize = 32;

/// A running trainer whose record is read again and again, so that what it notes gets a time.
pub struct Training {
    trainer: Running<TrainerStandin>,
    name: TrainerName,
    job: JobName,
    model: ModelName,
    wanted: u64,
    steps: u64,
    recorder: Arc<Recorder>,
    deliveries_seen: usize,
    steps_seen: usize,
}

impl Training {
    /// Starts the trainer.
    ///
    /// # Errors
    /// When it cannot listen.
    pub async fn start(
        options: &DemoOptions,
        job: &JobName,
        pool: &PoolSettings,
        nodes: &Nodes,
        platform: &Platform,
        recorder: Arc<Recorder>,
    ) -> Result<Self, Failure> {
        let name = TrainerName::new("trainer");
        let settings = TrainerSettings {
            name: name.clone(),
            job: job.clone(),
            model: pool.model.clone(),
            nodes: nodes.all().iter().map(|node| node.http_address).collect(),
            weight_store: Some(platform.weights.address()),
            weight_bytes: WEIGHT_BYTES,
            first_version: FIRST_VERSION.0,
            steps: Some(options.steps),
            training_ms: TRAINING_MS,
            max_samples_per_pull: SAMPLES_PER_PULL,
            ..TrainerSettings::default()
        };
        Ok(Self {
            trainer: TrainerStandin::start(listen().await?, settings).await?,
            name,
            job: job.clone(),
            model: pool.model.clone(),
            wanted: options.steps * u64::from(options.samples),
            steps: options.steps,
            recorder,
            deliveries_seen: 0,
            steps_seen: 0,
        })
    }

    /// Follows the trainer until it has trained all steps, or nothing has moved for a minute.
    pub async fn follow(&mut self, console: &Console) -> TrainerRecord {
        let mut last_progress = self.recorder.elapsed();
        for update in 0.. {
            let record = self.trainer.record();
            if self.take(&record) {
                last_progress = self.recorder.elapsed();
            }
            let message = format!("steps trained: {}/{}", record.steps.len(), self.steps);
            let delivered = record.deliveries.len() as u64;
            console.progress(update, delivered, self.wanted, &message);
            let stuck = self.recorder.elapsed() - last_progress > PATIENCE;
            if record.finished || stuck {
                break;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        let record = self.trainer.record();
        self.take(&record);
        if record.finished {
            self.record(EventBody::JobDrained(JobDrained {
                job: self.job.clone(),
                steps: self.steps,
            }));
        }
        record
    }

    /// Records what is new; says whether there is anything.
    fn take(&mut self, record: &TrainerRecord) -> bool {
        let new_deliveries = self.deliveries_seen..record.deliveries.len();
        for index in new_deliveries.clone() {
            let before = index
                .checked_sub(1)
                .map(|before| &record.deliveries[before]);
            let delivery = &record.deliveries[index];
            self.record(evidence::delivery(&self.name, index, before, delivery));
        }
        let new_steps = self.steps_seen..record.steps.len();
        for step in &record.steps[new_steps.clone()] {
            self.record(EventBody::StepAcknowledged(StepAcknowledged {
                trainer: self.name.clone(),
                job: self.job.clone(),
                step: step.step,
            }));
            self.record(EventBody::VersionPublished(VersionPublished {
                model: self.model.clone(),
                version: step.published,
            }));
        }
        self.deliveries_seen = record.deliveries.len();
        self.steps_seen = record.steps.len();
        !new_deliveries.is_empty() || !new_steps.is_empty()
    }

    fn record(&self, body: EventBody) {
        let source = EventSource::Trainer(self.name.clone());
        self.recorder.record(source, body);
    }
}
