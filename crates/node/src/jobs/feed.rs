//! Serves trainers: any node reads a step's samples in the one order that the job's stream gives.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use havenstage_types::codec;
use havenstage_types::ids::{JobName, LogOffset, StepNumber, TrainerName, VersionNumber, streams};
use havenstage_types::job::{JobRecord, SampleBatch};
use havenstage_types::refusal::{BadRequest, Refusal, RefusalReason};
use tokio::time::{Instant, timeout_at};

use super::follower::{FollowedJob, JobFollowers};
use crate::context::NodeContext;
use crate::locks::lock;

/// How long a job's stream is followed after a trainer last asked for it.
const KEEP_FOLLOWING: Duration = Duration::from_secs(60);

/// How long an acknowledgement may take to be read back.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads steps for trainers and records their acknowledgements.
pub(crate) struct TrainerFeed {
    context: Arc<NodeContext>,
    followers: Arc<JobFollowers>,
    recent: Mutex<BTreeMap<JobName, (Instant, Arc<FollowedJob>)>>,
}

impl TrainerFeed {
    pub(crate) fn new(context: Arc<NodeContext>, followers: Arc<JobFollowers>) -> Arc<Self> {
        Arc::new(Self {
            context,
            followers,
            recent: Mutex::new(BTreeMap::new()),
        })
    }

    /// Samples of a step from a cursor on; waits for the first one, or for the step to be
    /// complete.
    pub(crate) async fn samples(
        &self,
        job: JobName,
        step: StepNumber,
        cursor: LogOffset,
        max: usize,
        wait: Duration,
    ) -> Result<SampleBatch, Refusal> {
        let deadline = Instant::now() + wait;
        let followed = self.follow(&job)?;
        let follower = &followed.follower;
        let mut progress = follower.subscribe();
        loop {
            progress.borrow_and_update();
            if follower.is_caught_up() {
                let batch = follower.with(|fold| fold.ledger.deliver(step, cursor, max));
                if !batch.samples.is_empty() || batch.step_complete {
                    return Ok(batch);
                }
            }
            if timeout_at(deadline, progress.changed()).await.is_err() {
                return Ok(SampleBatch {
                    samples: Vec::new(),
                    next_cursor: cursor,
                    step_complete: false,
                });
            }
        }
    }

    /// Records that the trainer has all samples of a step and waits until it is read back.
    pub(crate) async fn acknowledge(
        &self,
        job: JobName,
        step: StepNumber,
        trainer: TrainerName,
        version_in_use: VersionNumber,
    ) -> Result<(), Refusal> {
        let deadline = Instant::now() + ACKNOWLEDGE_TIMEOUT;
        let followed = self.follow(&job)?;
        let caught_up = timeout_at(deadline, followed.follower.caught_up()).await;
        if caught_up.is_err() {
            return Err(log_away());
        }
        if is_acknowledged(&followed, step) {
            return Ok(());
        }
        if !followed
            .follower
            .with(|fold| fold.ledger.step_complete(step))
        {
            return Err(step_not_complete(step));
        }
        let record = JobRecord::StepAcknowledged {
            step,
            trainer,
            version_in_use,
        };
        let recorded = self.record_until_acknowledged(&job, &followed, step, &record);
        timeout_at(deadline, recorded)
            .await
            .map_err(|_elapsed| Refusal::unknown(RefusalReason::LogAway))
    }

    async fn record_until_acknowledged(
        &self,
        job: &JobName,
        followed: &FollowedJob,
        step: StepNumber,
        record: &JobRecord,
    ) {
        let mut progress = followed.follower.subscribe();
        while !is_acknowledged(followed, step) {
            progress.borrow_and_update();
            self.append(job, record).await;
            if is_acknowledged(followed, step) {
                return;
            }
            let read_back = progress.changed();
            // A lost answer is repaired by appending again.
            let _ = tokio::time::timeout(self.context.settings.peer_timeout(), read_back).await;
        }
    }

    async fn append(&self, job: &JobName, record: &JobRecord) {
        let Ok(payload) = codec::encode(record) else {
            return;
        };
        let log = &self.context.environment.log;
        if let Err(error) = log.append(&streams::job(job), vec![payload]).await {
            log::debug!(job = job.as_str(); "acknowledgement to be repeated: {error}");
            tokio::time::sleep(self.context.settings.log_retry()).await;
        }
    }

    fn follow(&self, job: &JobName) -> Result<Arc<FollowedJob>, Refusal> {
        if self.context.state().job(job).is_none() {
            let reason = RefusalReason::UnknownJob(job.clone());
            return Err(Refusal::not_run(reason, None));
        }
        let followed = self.followers.follow(job);
        let now = Instant::now();
        let mut recent = lock(&self.recent);
        recent.retain(|_, (asked, _)| now.duration_since(*asked) < KEEP_FOLLOWING);
        recent.insert(job.clone(), (now, followed.clone()));
        Ok(followed)
    }
}

fn is_acknowledged(followed: &FollowedJob, step: StepNumber) -> bool {
    followed
        .follower
        .with(|fold| fold.ledger.acknowledged_through() >= Some(step))
}

fn log_away() -> Refusal {
    Refusal::not_run(RefusalReason::LogAway, Some(Duration::from_secs(1)))
}

fn step_not_complete(step: StepNumber) -> Refusal {
    let reason = RefusalReason::BadRequest(BadRequest::Malformed {
        detail: format!("step {step} is not complete yet"),
    });
    Refusal::not_run(reason, Some(Duration::from_secs(1)))
}
